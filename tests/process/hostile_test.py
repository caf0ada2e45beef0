"""Hostile callers over raw sockets: each is answered with a 4xx or dropped within its limit,
nothing crashes, and afterwards nothing is held."""

import json
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

LISTEN = {"idle_seconds": 2, "request_ms": 2_500, "body_bytes": 8 << 20}
# The head's limit counts from the connection's begin, the silence limit from the last byte.
DROP_LIMIT_S = 2.5 + 2 + 2
MEGABYTE = 1 << 20


class Caller:
    """One raw connection to an entry."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=DROP_LIMIT_S)

    def send(self, data):
        try:
            self.socket.sendall(data if isinstance(data, bytes) else data.encode())
            return True
        except OSError:
            return False

    def read(self):
        """Returns what arrives until the peer closes; None if it doesn't in time."""
        got = b""
        try:
            while True:
                part = self.socket.recv(65536)
                if not part:
                    return got
                got += part
        except TimeoutError:
            return None
        except OSError:
            return got

    def close(self):
        self.socket.close()


def head(key, length, path="/v1/completions"):
    lines = [f"POST {path} HTTP/1.1", "Host: x"]
    if key:
        lines.append("Authorization: Bearer " + key)
    lines += [f"Content-Length: {length}", "Connection: close"]
    return "\r\n".join(lines) + "\r\n\r\n"


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def answered(port, data, status, code=None):
    caller = Caller(port)
    caller.send(data)
    answer = caller.read()
    caller.close()
    check(answer, f"no answer to {data[:60]!r}: {answer!r}")
    check(f" {status} ".encode() in answer.split(b"\r\n")[0], answer[:200])
    if code:
        fault = json.loads(answer.split(b"\r\n\r\n", 1)[1])["error"]
        check(fault["code"] == code and fault["run"] == "not_run" and fault["step"], fault)


def dropped(caller, begun, what):
    answer = caller.read()
    caller.close()
    check(answer is not None, f"{what} was not dropped in {time.monotonic() - begun:.1f} s")
    check(b" 200 " not in answer[:20], f"{what} was served")


def test_bad_requests(port, key):
    for body in ("{", "[]", "", '{"model":5,"prompt":"x"}',
                 '{"model":"drafter","prompt":7}', '{"model":"drafter"}',
                 '{"model":"drafter","prompt":"x","max_tokens":-1}',
                 '{"model":"drafter","prompt":"x","stream":"yes"}',
                 '{"model":"drafter","prompt":"x","resume_from":5}',
                 '{"model":"drafter","prompt":"x","a":' + "[" * 200_000):
        answered(port, head(key, len(body)) + body, 400, "invalid")
    good = '{"model":"drafter","prompt":"x"}'
    answered(port, head(None, len(good)) + good, 401, "unauthorized")
    answered(port, head("as.wrong", len(good)) + good, 401, "unauthorized")
    answered(port, head(key[:-1] + "_", len(good)) + good, 401, "unauthorized")
    answered(port, head(key, len(good)).replace("POST", "PUT") + good, 405,
             "method_not_allowed")
    answered(port, "no http at all\r\n\r\n", 400)
    answered(port, "POST / HTTP/1.1\r\nHost: x\r\nA: " + "a" * 200_000 + "\r\n\r\n", 431)


def test_oversize(port, key):
    caller = Caller(port)
    caller.send(head(key, 100 * MEGABYTE))
    answer = caller.read()
    check(answer and b" 413 " in answer[:20], f"100 MB announced: {answer and answer[:100]!r}")
    caller.close()
    block = b"x" * MEGABYTE
    caller = Caller(port)
    caller.send(head(key, 0).replace("Content-Length: 0", "Transfer-Encoding: chunked"))
    for _ in range(100):
        if not caller.send(b"100000\r\n" + block + b"\r\n"):
            break
    caller.send(b"0\r\n\r\n")
    answer = caller.read()
    check(answer and b" 413 " in answer[:20], f"100 MB in chunks: {answer and answer[:100]!r}")
    caller.close()


def test_slow(port, key):
    """All the slow callers at the same time, each dropped within the limit."""
    half_head, half_body, trickled_head, trickled_body = (Caller(port) for _ in range(4))
    half_head.send("POST /v1/completions HTTP/1.1\r\nHost:")
    half_body.send(head(key, 1000) + '{"model":')
    trickled_head.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX: ")
    trickled_body.send(head(key, 1000))
    begun = time.monotonic()
    while time.monotonic() - begun < DROP_LIMIT_S:
        alive = trickled_head.send("a") + trickled_body.send(" ")
        if not alive:
            break
        time.sleep(0.2)
    for caller, what in ((half_head, "half a head"), (half_body, "half a body"),
                         (trickled_head, "a trickled head"),
                         (trickled_body, "a trickled body")):
        dropped(caller, begun, what)


def test_gone(port, key):
    """Callers that close while they wait, in mid-stream, and before their body's end."""
    body = json.dumps({"model": "drafter", "prompt": "gone " * 50, "stream": True,
                       "max_tokens": 4000})
    for tokens in (0, 3):
        caller = Caller(port)
        caller.send(head(key, len(body)) + body)
        got = b""
        while got.count(b"data:") < tokens:
            got += caller.socket.recv(4096)
        time.sleep(0.01)
        caller.close()
    caller = Caller(port)
    caller.send((head(key, 2, "/orders/42") + "{}")[:-1])
    caller.close()


def open_requests(url):
    text = call_http("GET", url + "/metrics")[2].decode()
    return [int(line.split()[1]) for line in text.splitlines()
            if line.startswith("agateseam_requests_open ")][0]


def running_at_engines(fleet):
    urls = [f"http://127.0.0.1:{backend.port}/requests"
            for name, backend in fleet.backends.items() if "service" not in name]
    return [request for url in urls for request in json.loads(call_http("GET", url)[2])]


def check_nothing_held(fleet, key):
    url = fleet.entry_urls()[0]
    wait_for(lambda: fleet.occupied_slots() == 0, "all slots to be free", 5)
    wait_for(lambda: open_requests(url) == 0, "no request to be open", 5)
    wait_for(lambda: not running_at_engines(fleet), "the engines to hold nothing", 5)
    good = json.dumps({"model": "drafter", "prompt": "still here?", "max_tokens": 3})
    status, _, _ = call_http("POST", url + "/v1/completions", good,
                        {"Authorization": "Bearer " + key})
    check(status == 200, f"afterwards a good request got {status}")
    ended = [name for name, process in fleet.processes.items()
             if process.child.poll() is not None]
    check(not ended, f"ended: {ended}")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-hostile"), entries=1, prefill=1, decode=2,
               services=1, listen=LISTEN) as fleet:
        fleet.configure(("oshana",))
        port, key = fleet.processes["entry-1"].port, fleet.keys["oshana"]
        test_bad_requests(port, key)
        test_oversize(port, key)
        test_slow(port, key)
        test_gone(port, key)
        check_nothing_held(fleet, key)
        codes = fleet.stop()
        check(not any(codes.values()), codes)


if __name__ == "__main__":
    main()
