"""Callers that send prepared bytes, hardly read and keep their connections open."""

import os
import selectors
import socket
import time

SEND_BYTES = 65536
QUIET_S = 2.0  # without any progress, after which the crowd has sent what it could
MAX_SEND_S = 40.0


class CrowdCaller:
    """One connection with the bytes that it has yet to send, as a list of blocks."""

    def __init__(self, port, blocks, receive_buffer):
        self.blocks = [memoryview(block) for block in reversed(blocks) if block]
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.setblocking(False)
        try:
            self.socket.connect(("127.0.0.1", port))
        except BlockingIOError:
            pass

    def send(self):
        """Sends some bytes. Returns whether more are left and the connection takes them."""
        try:
            while self.blocks:
                block = self.blocks.pop()
                sent = self.socket.send(block[:SEND_BYTES])
                if sent < len(block):
                    self.blocks.append(block[sent:])
                if sent < SEND_BYTES:
                    break
        except BlockingIOError:
            self.blocks.append(block)
        except OSError:
            return False  # The peer refused the rest.
        return bool(self.blocks)

    def read_available(self):
        """Returns what has arrived."""
        self.socket.setblocking(False)
        received = b""
        try:
            while part := self.socket.recv(SEND_BYTES):
                received += part
        except OSError:
            pass  # Nothing more has arrived, or the connection was reset.
        return received


class Crowd:
    """Opens one connection for each list of blocks and sends until nothing moves any more.

    With `reads_begin`, one caller after the other sends its request and reads the first byte of
    the answer.
    """

    def __init__(self, port, callers, receive_buffer=None, reads_begin=False):
        self.callers = [CrowdCaller(port, blocks, receive_buffer) for blocks in callers]
        self.reads_begin = reads_begin

    def __enter__(self):
        if self.reads_begin:
            for caller in self.callers:
                self.read_begin(caller)
        self.send_all()
        time.sleep(QUIET_S)  # The process may have bytes to read yet.
        return self

    @staticmethod
    def read_begin(caller):
        caller.socket.settimeout(MAX_SEND_S)
        try:
            while caller.blocks:
                caller.socket.sendall(caller.blocks.pop())
            caller.socket.recv(1)
        except OSError:
            pass  # The peer refused it.

    def send_all(self):
        selector = selectors.DefaultSelector()
        for caller in self.callers:
            selector.register(caller.socket, selectors.EVENT_WRITE, caller)
        deadline = time.monotonic() + MAX_SEND_S
        while selector.get_map() and time.monotonic() < deadline:
            ready = selector.select(QUIET_S)
            if not ready:
                break
            for key, _ in ready:
                if not key.data.send():
                    selector.unregister(key.fileobj)
        selector.close()

    def __exit__(self, *_):
        for caller in self.callers:
            caller.socket.close()


def chunks(body, size):
    """Returns a body in chunks of a size, without the last chunk."""
    return b"".join(b"%x\r\n%s\r\n" % (len(body[at:at + size]), body[at:at + size])
                    for at in range(0, len(body), size))


def peak_memory_mb(process_id):
    with open(f"/proc/{process_id}/status", encoding="utf-8") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def unread_mb(process_id):
    """Returns what the kernel holds for a process's connections: received and not read, or
    written and not yet received by the peer."""
    descriptors = f"/proc/{process_id}/fd"
    owned = set()
    for name in os.listdir(descriptors):
        try:
            owned.add(os.readlink(os.path.join(descriptors, name)))
        except OSError:
            pass  # Closed meanwhile.
    total = 0
    with open(f"/proc/{process_id}/net/tcp", encoding="utf-8") as connections:
        for line in list(connections)[1:]:
            fields = line.split()
            is_listener = fields[3] == "0A"  # Its queue counts connections.
            if f"socket:[{fields[9]}]" in owned and not is_listener:
                total += sum(int(size, 16) for size in fields[4].split(":"))
    return total / (1 << 20)
