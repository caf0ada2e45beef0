"""Puts backends in front of the agents that send what isn't valid HTTP, break off, or don't end.

Guards against callers who get such bytes as an answer, and against processes that keep them all.
"""

import json
import os
import socket
import struct
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "../../scripts/lib"), os.path.join(HERE, "../../fakes")]
from caller_crowd import peak_memory_mb  # noqa: E402
from fleet import Fleet, call_http, wait_for  # noqa: E402

MEMORY_MB = 64
CALLERS = 16
STREAM = b'data: {"id":"x","choices":[{"text":"odd"}]}\n\ndata: [DONE]\n\n'
JSON = b'{"kv_transfer_params":{"odd":1},"usage":{}}'
STATUS_LINES = ["HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X",
                "HTTP/1.1 999 X", "HTTP/1.1 200 X\x01"]
FIELDS = ["Some Name: v", "Some-Name : v", "Some\x01Name: v", "Some\x00Name: v", "some line",
          "Some-Name: v\x01", "Content-Length : 2", "Content-Length: 2", "Transfer-Encoding: gzip"]
ENDLESS = {
    "head of fields": (b"HTTP/1.1 200 OK\r\n", b"Some-Field: " + b"x" * 500 + b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "head without a line": (b"", b"x" * 65536),
    "body": (b"HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", b"x" * 65536),
    "body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    "chunk": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", b"x" * 65536),
    "event": (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
              b"Transfer-Encoding: chunked\r\n\r\nfffffff\r\ndata: ", b"x" * 65536),
    "failure": (b"HTTP/1.1 500 X\r\nContent-Length: 900000000000\r\n\r\n", b"x" * 65536),
}


def check(condition, *details):
    if not condition:
        raise AssertionError(details)


def odd_heads(body):
    """Yields complete answers whose head isn't valid."""
    length = f"Content-Length: {len(body)}\r\n\r\n".encode()
    for line in STATUS_LINES:
        yield line.encode("latin-1") + b"\r\n" + length + body
    for field in FIELDS:
        yield b"HTTP/1.1 200 X\r\n" + field.encode("latin-1") + b"\r\n" + length + body


class Backend:
    """Stands between an agent and its backend. `answer`, if set, is called with the connection
    for each request that runs something; all others are passed on."""

    def __init__(self, target_port):
        self.target_port, self.answer, self.hits, self.heads = target_port, None, 0, []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return  # The listener was closed.
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection:
                self.serve_request(connection)
        except OSError:
            pass  # The agent closed the connection.

    def serve_request(self, connection):
        received = b""
        while b"\r\n\r\n" not in received:
            part = connection.recv(65536)
            if not part:
                return
            received += part
        head, body = received.split(b"\r\n\r\n", 1)
        self.heads.append(head.decode("latin-1"))
        method, path = head.split(b" ", 2)[:2]
        runs = path not in (b"/healthz", b"/requests", b"/abort", b"/orders") and method == b"POST"
        if runs and self.answer is not None:
            self.hits += 1
            self.answer(connection)
            return
        fields = dict(line.split(": ", 1) for line in head.decode("latin-1").split("\r\n")[1:])
        length = int(fields.get("Content-Length", 0))
        while len(body) < length:
            body += connection.recv(65536)
        fields.pop("Content-Length", None)
        status, headers, answer = call_http(
            method.decode(), f"http://127.0.0.1:{self.target_port}{path.decode()}",
            body if method != b"GET" else None, fields)
        connection.sendall((f"HTTP/1.1 {status} X\r\nConnection: close\r\n"
                            f"Content-Type: {headers.get('Content-Type', 'text/plain')}\r\n"
                            f"Content-Length: {len(answer)}\r\n\r\n").encode() + answer)


class OddFleet(Fleet):
    """A fleet whose agents call their backends through `Backend`."""

    def __init__(self, build, directory):
        super().__init__(build, directory, entries=1, prefill=1, decode=1, services=1,
                         listen={"memory_mb": MEMORY_MB, "body_bytes": 16 << 20})

    def start_backends(self):
        super().start_backends()
        self.backends = {name: Backend(process.port) for name, process in self.backends.items()}

    def start(self):
        super().start()
        self.configure(("oshana",))
        return self

    def set_answer(self, names, answer):
        for name, backend in self.backends.items():
            backend.answer = answer if name.startswith(names) else None

    def post(self, path, body):
        try:
            return call_http("POST", self.entry_urls()[0] + path, body,
                             {"Authorization": "Bearer " + self.keys["oshana"],
                              "Content-Type": "application/json"}, timeout=30)
        except Exception as broken:  # pylint: disable=broad-except
            return None, {}, repr(broken).encode()  # The answer breaks off.

    def book(self, size=2):
        return self.post("/booking/a", b"u" * size)

    def look(self):
        return self.post("/orders/a", b"{}")

    def chat(self):
        return self.post("/v1/chat/completions", json.dumps(
            {"model": "drafter", "messages": [{"role": "user", "content": "p"}],
             "max_tokens": 3, "stream": True}))

    def complete(self, stream, size=1):
        return self.post("/v1/completions", json.dumps(
            {"model": "drafter", "prompt": "p" * size, "max_tokens": 3, "stream": stream}))

    def check_serves(self, step):
        for process in self.processes.values():
            check(process.child.poll() is None, step, process.name, "has ended")
        self.set_answer((), None)
        for call in (self.book, self.look, lambda: self.complete(False),
                     lambda: self.complete(True)):
            wait_for(lambda call=call: call()[0] == 200, f"service after {step}", 20)

    def check_memory(self, step):
        for name in (*self.entries, *[agent for agent, _, _ in self.agents]):
            process = self.processes[name].child
            check(process.poll() is None, step, name, "has ended", process.poll())
            peak = peak_memory_mb(process.pid)
            check(peak <= MEMORY_MB, step, name, "MB", peak)


def is_failure(answer):
    """Tells whether a caller can see that an answer is none of the backend's."""
    status, _, body = answer
    cut_stream = status == 200 and b"[DONE]" not in body and b"odd" not in body
    return status is None or status >= 500 and status < 600 or cut_stream


def test_an_answer_that_is_not_valid_http_reaches_no_caller(fleet):
    check_odd_answers(fleet, b"")


def test_an_odd_answer_behind_an_interim_one_reaches_no_caller(fleet):
    check_odd_answers(fleet, b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")


def check_odd_answers(fleet, interim):
    wrong = []
    for names, body, calls in (
            ("service", b"odd", {"book": fleet.book, "look": fleet.look}),
            ("decode", STREAM, {"stream": lambda: fleet.complete(True),
                                "whole": lambda: fleet.complete(False),
                                "chat": fleet.chat}),
            ("prefill", JSON, {"prefill": lambda: fleet.complete(True)})):
        for answer in odd_heads(body):
            answer = interim + answer
            fleet.set_answer((names,), lambda connection, sent=answer: connection.sendall(sent))
            for name, call in calls.items():
                outcome = call()
                denies_run = name == "book" and outcome[1].get("x-agateseam-run") != "unknown"
                if not is_failure(outcome) or b"odd" in outcome[2] or denies_run:
                    wrong.append((name, answer[:100], outcome[0], outcome[2][:60]))
        hits = sum(backend.hits for backend in fleet.backends.values())
        check(hits > 0)
        fleet.check_serves(f"odd answers of {names}")
    check(not wrong, len(wrong), wrong)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def test_an_early_answer_to_an_upload_that_breaks_off_is_none(fleet):
    for head in (b"", f"Content-Length: {len(STREAM) + 1}\r\n".encode(),
                 b"Transfer-Encoding: chunked\r\n"):
        def answer(connection, head=head):
            body = STREAM if b"chunked" not in head else b"%x\r\n%s\r\n" % (len(STREAM), STREAM)
            connection.sendall(b"HTTP/1.1 200 X\r\n" + head + b"\r\n" + body)
            time.sleep(0.1)
            reset(connection)
        fleet.set_answer(("service", "decode"), answer)
        for size in (100, 64 << 10, 6 << 20):
            outcome = fleet.book(size)
            check(is_failure(outcome), head, size, outcome[0], outcome[2][:60])
        outcome = fleet.complete(False, 100_000)
        check(is_failure(outcome), head, "whole", outcome[0], outcome[2][:60])
    fleet.check_serves("early answers")


def send_without_end(kind):
    first, block = ENDLESS[kind]

    def answer(connection):
        connection.sendall(first)
        while True:
            connection.sendall(block)
    return answer


def test_bytes_without_end_are_not_kept(fleet):
    for names, call in (("service", fleet.look), ("decode", lambda: fleet.complete(True)),
                        ("prefill", lambda: fleet.complete(True))):
        for kind in ENDLESS:
            fleet.set_answer((names,), send_without_end(kind))
            answers = []
            threads = [threading.Thread(target=lambda: answers.append(call()))
                       for _ in range(CALLERS)]
            began = time.monotonic()
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            print(f"  {names}, {kind}: {time.monotonic() - began:.1f} s,",
                  sorted({str(answer[0]) for answer in answers}), flush=True)
            fleet.check_memory((names, kind))
            check(all(is_failure(answer) for answer in answers), names, kind,
                  [(answer[0], answer[2][:40]) for answer in answers])
            fleet.set_answer((), None)
    fleet.check_serves("bytes without end")


TESTS = [test_an_answer_that_is_not_valid_http_reaches_no_caller,
         test_an_odd_answer_behind_an_interim_one_reaches_no_caller,
         test_an_early_answer_to_an_upload_that_breaks_off_is_none,
         test_bytes_without_end_are_not_kept]


def main():
    build = sys.argv[1]
    failed = 0
    for test in TESTS:
        if sys.argv[2:] and test.__name__ not in sys.argv[2:]:
            continue
        try:
            with OddFleet(build, os.path.join(build, "test-odd-answers", test.__name__)) as fleet:
                test(fleet)
            print("ok", test.__name__, flush=True)
        except Exception:  # pylint: disable=broad-except
            traceback.print_exc()
            failed += 1
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
