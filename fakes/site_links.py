"""Links of limited rate in front of the store and the entries of a site."""

import asyncio
import time

CHUNK_BYTES = 16 << 10


class Link:
    """Forwards connections to an address at a limited rate, shared by all of them.

    Only what the target sends is limited, as that is what documents travel by. Datagrams pass at
    once; `peer_links` gives the link that stands for a datagram's sender. While a link `is_cut`,
    its connections are silent and datagrams are lost.
    """

    def __init__(self, target, bytes_per_s, peer_links=None):
        self.host, port = target.rsplit(":", 1)
        self.port = int(port)
        self.bytes_per_s = bytes_per_s
        self.peer_links = peer_links
        self.address, self.datagrams = None, None
        self.bytes_sent, self.connection_count = 0, 0
        self.is_cut = False
        self.free_at = 0.0  # When the link will have sent what it was given.

    async def start(self, port=0):
        listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        port = listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        if self.peer_links is not None:
            self.datagrams, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: DatagramForwarder(self), local_addr=("127.0.0.1", port))
        return self

    async def serve(self, reader, writer):
        self.connection_count += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.close()
            return
        try:
            directions = [asyncio.ensure_future(self.pump(reader, target_writer, False)),
                          asyncio.ensure_future(self.pump(target_reader, writer, True))]
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in directions:
                direction.cancel()
        finally:
            target_writer.close()
            writer.close()

    async def pump(self, reader, writer, is_limited):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if is_limited:
                    self.free_at = (max(time.monotonic(), self.free_at)
                                    + len(chunk) / self.bytes_per_s)
                    await asyncio.sleep(self.free_at - time.monotonic())
                    self.bytes_sent += len(chunk)
                while self.is_cut:
                    await asyncio.sleep(0.01)
                writer.write(chunk)
                await writer.drain()
        except (ConnectionError, OSError):
            pass  # Either end closed the connection.


class DatagramForwarder(asyncio.DatagramProtocol):
    """Passes an entry's datagrams on as if they came from its own link."""

    def __init__(self, link):
        self.link = link

    def datagram_received(self, data, addr):
        sender = self.link.peer_links.get(f"{addr[0]}:{addr[1]}")
        if sender is not None and not sender.is_cut and not self.link.is_cut:
            sender.datagrams.sendto(data, (self.link.host, self.link.port))
