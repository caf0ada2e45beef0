"""A replica that answers before it has read a long body, without a length.

PROTOCOL.md: "A replica may answer before it has read a long body, keep the connection and read
on later." RULES.md: "A replica's answer may have no length and end with its connection".

Half of the answer is sent at once; the other half follows when the process gets SIGUSR1, then
the rest of the request is read and the connection is ended in order.
Arguments: the replica's id. Prints its port, then a line for each run.
"""

import os
import signal
import socket
import sys
import threading

ID = sys.argv[1]
HALF = b"0123456789abcdef" * 64
go_on = threading.Event()


def serve(connection):
    head = b""
    while b"\r\n\r\n" not in head:
        received = connection.recv(1024)
        if not received:
            return
        head += received
    head, body = head.split(b"\r\n\r\n", 1)
    fields = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    request, length = fields.get("agateseam-request-id", ""), int(fields.get("content-length", 0))
    if fields.get("agateseam-expect-instance", ID) != ID:
        connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\nConnection: close\r\n"
                           + f"Agateseam-Request-Id: {request}\r\n\r\n".encode())
        return
    connection.sendall((f"HTTP/1.1 200 OK\r\nAgateseam-Request-Id: {request}\r\n"
                        f"Agateseam-Response-Signature: {ID}.{request}\r\n"
                        "Connection: close\r\n\r\n").encode() + HALF)
    print(f"ran {request}: sent {len(HALF)} of {2 * len(HALF)} bytes of its answer, "
          f"read {len(body)} of {length} bytes of its body", flush=True)
    go_on.wait()
    connection.sendall(HALF)
    left = length - len(body)
    while left > 0:
        received = connection.recv(65536)
        if not received:
            return
        left -= len(received)
    print(f"whole {request}", flush=True)


def handle(connection):
    try:
        serve(connection)
    except OSError:
        pass
    connection.close()


signal.signal(signal.SIGUSR1, lambda *_: go_on.set())
listener = socket.socket()
# Small windows, and packets of the size that they have between machines.
listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
listener.bind(("127.0.0.1", 0))
listener.listen(64)
print(listener.getsockname()[1], flush=True)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=handle, args=(accepted,), daemon=True).start()
