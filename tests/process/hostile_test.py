"""Sends malformed, oversized, slow and abandoned requests over raw sockets.

Guards against crashes, connections that stay open past their limits, and slots or requests
that stay held afterwards.
"""

import json
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

LISTEN_SETTINGS = {"idle_seconds": 2, "request_ms": 2_500, "body_bytes": 8 << 20}
# The time-out of the request head counts from the connection's start, the idle time-out from
# the last byte.
DROP_TIMEOUT_S = 2.5 + 2 + 2
MEGABYTE = 1 << 20


class Caller:
    """A raw connection to an entry."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=DROP_TIMEOUT_S)

    def send(self, data):
        try:
            self.socket.sendall(data if isinstance(data, bytes) else data.encode())
            return True
        except OSError:
            return False

    def read(self):
        """Returns the bytes received until the peer closes, or None after the time-out."""
        received = b""
        try:
            while True:
                received_part = self.socket.recv(65536)
                if not received_part:
                    return received
                received += received_part
        except TimeoutError:
            return None
        except OSError:
            return received

    def close(self):
        self.socket.close()


def request_head(key, length, path="/v1/completions"):
    lines = [f"POST {path} HTTP/1.1", "Host: x"]
    if key:
        lines.append("Authorization: Bearer " + key)
    lines += [f"Content-Length: {length}", "Connection: close"]
    return "\r\n".join(lines) + "\r\n\r\n"


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def check_answered(port, data, status, code=None):
    caller = Caller(port)
    caller.send(data)
    answer = caller.read()
    caller.close()
    check(answer, f"no answer to {data[:60]!r}: {answer!r}")
    check(f" {status} ".encode() in answer.split(b"\r\n")[0], answer[:200])
    if code:
        error_body = json.loads(answer.split(b"\r\n\r\n", 1)[1])["error"]
        check(error_body["code"] == code and error_body["run"] == "not_run"
              and error_body["step"], error_body)


def check_dropped(caller, started_at, caller_description):
    answer = caller.read()
    caller.close()
    check(answer is not None,
          f"{caller_description} was not dropped in {time.monotonic() - started_at:.1f} s")
    check(b" 200 " not in answer[:20], f"{caller_description} was served")


def test_bad_requests(port, key):
    for body in ("{", "[]", "", '{"model":5,"prompt":"x"}',
                 '{"model":"drafter","prompt":7}', '{"model":"drafter"}',
                 '{"model":"drafter","prompt":"x","max_tokens":-1}',
                 '{"model":"drafter","prompt":"x","stream":"yes"}',
                 '{"model":"drafter","prompt":"x","resume_from":5}',
                 '{"model":"drafter","prompt":"x","a":' + "[" * 200_000):
        check_answered(port, request_head(key, len(body)) + body, 400, "invalid")
    valid_body = '{"model":"drafter","prompt":"x"}'
    check_answered(port, request_head(None, len(valid_body)) + valid_body, 401, "unauthorized")
    check_answered(port, request_head("as.wrong", len(valid_body)) + valid_body, 401,
                   "unauthorized")
    check_answered(port, request_head(key[:-1] + "_", len(valid_body)) + valid_body, 401,
                   "unauthorized")
    check_answered(port, request_head(key, len(valid_body)).replace("POST", "PUT") + valid_body,
                   405,
                   "method_not_allowed")
    check_answered(port, "no http at all\r\n\r\n", 400)
    check_answered(port, "POST / HTTP/1.1\r\nHost: x\r\nA: " + "a" * 200_000 + "\r\n\r\n", 431)


def test_oversize(port, key):
    caller = Caller(port)
    caller.send(request_head(key, 100 * MEGABYTE))
    answer = caller.read()
    check(answer and b" 413 " in answer[:20],
          f"100 MB announced, not refused with 413: {answer and answer[:100]!r}")
    caller.close()
    block = b"x" * MEGABYTE
    caller = Caller(port)
    caller.send(request_head(key, 0).replace("Content-Length: 0", "Transfer-Encoding: chunked"))
    for _ in range(100):
        if not caller.send(b"100000\r\n" + block + b"\r\n"):
            break
    caller.send(b"0\r\n\r\n")
    answer = caller.read()
    check(answer and b" 413 " in answer[:20],
          f"100 MB in chunks, not refused with 413: {answer and answer[:100]!r}")
    caller.close()


def test_slow(port, key):
    """Runs all slow callers concurrently; each must be dropped within the time-out."""
    partial_head, partial_body, trickled_head, trickled_body = (Caller(port) for _ in range(4))
    partial_head.send("POST /v1/completions HTTP/1.1\r\nHost:")
    partial_body.send(request_head(key, 1000) + '{"model":')
    trickled_head.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX: ")
    trickled_body.send(request_head(key, 1000))
    started_at = time.monotonic()
    while time.monotonic() - started_at < DROP_TIMEOUT_S:
        is_connected = trickled_head.send("a") + trickled_body.send(" ")
        if not is_connected:
            break
        time.sleep(0.2)
    for caller, caller_description in ((partial_head, "a partial head"),
                                       (partial_body, "a partial body"),
                                       (trickled_head, "a trickled head"),
                                       (trickled_body, "a trickled body")):
        check_dropped(caller, started_at, caller_description)


def test_gone(port, key):
    """Callers disconnect while waiting, during a stream, and before the end of the body."""
    body = json.dumps({"model": "drafter", "prompt": "gone " * 50, "stream": True,
                       "max_tokens": 4000})
    for tokens in (0, 3):
        caller = Caller(port)
        caller.send(request_head(key, len(body)) + body)
        received = b""
        while received.count(b"data:") < tokens:
            received += caller.socket.recv(4096)
        time.sleep(0.01)
        caller.close()
    caller = Caller(port)
    caller.send((request_head(key, 2, "/orders/42") + "{}")[:-1])
    caller.close()


def open_requests(url):
    text = call_http("GET", url + "/metrics")[2].decode()
    return [int(line.split()[1]) for line in text.splitlines()
            if line.startswith("agateseam_requests_open ")][0]


def list_engine_requests(fleet):
    urls = [f"http://127.0.0.1:{backend.port}/requests"
            for name, backend in fleet.backends.items() if "service" not in name]
    return [request for url in urls for request in json.loads(call_http("GET", url)[2])]


def check_nothing_held(fleet, key):
    url = fleet.entry_urls()[0]
    wait_for(lambda: fleet.occupied_slots() == 0, "all slots to be free", 5)
    wait_for(lambda: open_requests(url) == 0, "no request to be open", 5)
    wait_for(lambda: not list_engine_requests(fleet), "the engines to hold nothing", 5)
    valid_body = json.dumps({"model": "drafter", "prompt": "still here?", "max_tokens": 3})
    status, _, _ = call_http("POST", url + "/v1/completions", valid_body,
                             {"Authorization": "Bearer " + key})
    check(status == 200, f"afterwards a valid request got status {status}")
    ended = [name for name, process in fleet.processes.items()
             if process.child.poll() is not None]
    check(not ended, f"processes exited: {ended}")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-hostile"), entries=1, prefill=1, decode=2,
               services=1, listen=LISTEN_SETTINGS) as fleet:
        fleet.configure(("oshana",))
        port, key = fleet.processes["entry-1"].port, fleet.keys["oshana"]
        test_bad_requests(port, key)
        test_oversize(port, key)
        test_slow(port, key)
        test_gone(port, key)
        check_nothing_held(fleet, key)
        exit_codes = fleet.stop()
        check(not any(exit_codes.values()), exit_codes)


if __name__ == "__main__":
    main()
