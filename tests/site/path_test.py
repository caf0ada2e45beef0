"""The path of a request through an entry, on a stand-in of the platform."""

import asyncio
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from platform_site import Site, answer_bytes, reset, route, wait_for  # noqa: E402


def started(build, directory, **members):
    site = Site(build, directory, **members)
    site.usual_replicas()
    site.configure(1)
    return site.start()


def check(condition, *shown):
    if not condition:
        raise AssertionError(repr(shown))


def whole_stream(answer, events=4):
    last = f"id: {events}\n"
    check(answer.status == 200 and answer.whole and last in answer.body.decode(),
          answer.status, answer.whole, answer.body)


def test_each_kind_is_served(build, directory):
    with started(build, directory) as site:
        got = site.get("/safe/a", Agateseam_Request_Id="safe-1")
        check(got.status == 200 and got.body == b"body of safe-1", got.status, got.body)
        check(got.headers["Agateseam-Response-Signature"].endswith("safe-1"), got.headers)
        check(site.post("/once/a").status == 200)
        whole_stream(site.draft())
        prefill, = site.of("model", "prefill")
        decode = [replica for replica in site.of("model", "decode") if replica.runs][0]
        check(len(prefill.seen) == 1 and not prefill.runs)
        source = [request for request in decode.seen if request.method == "POST"
                  and not request.target.startswith("/v1/")][0]
        check(source.header("Agateseam-Kv-Source").startswith(prefill.address + "/"))
        check(source.header("Agateseam-Kv-Hold").startswith("hold"))


def test_what_only_the_system_sets_is_not_passed_on(build, directory):
    with started(build, directory) as site:
        forged = {name: "forged" for name in
                  ("Agateseam_Tenant", "Agateseam_Expect_Instance", "Agateseam_Kv_Hold",
                   "Agateseam_Kv_Pin", "Agateseam_Kv_Backup", "Agateseam_Kv_Source",
                   "Agateseam_Stage")}
        check(site.get("/safe/a", **forged).status == 200)
        asked = [seen for replica in site.of("plain") for seen in replica.seen][0]
        check(asked.header("Agateseam-Tenant") == "oshana", asked.headers)
        check(asked.header("Authorization") == "", asked.headers)
        check("forged" not in asked.headers.values(), asked.headers)
        check(0 < int(asked.header("Agateseam-Request-Deadline")) <= 3000, asked.headers)


def test_bad_requests_get_a_clear_status(build, directory):
    with started(build, directory) as site:
        check(site.get("/nowhere/a").status == 404)
        check(site.get("/safe/a", Host="other.example").status == 404)
        check(site.get("/safe/a", Authorization="Bearer wrong").status == 401)
        check(site.get("/open/a", Authorization="").status == 200)
        check(site.get("/safe/a", Agateseam_Request_Id="").status == 400)
        check(site.get("/safe/a", Large="x" * 5000).status == 431)
        check(site.post("/once/a", b"x" * 200_000).status == 413)
        check(sum(len(replica.runs) for replica in site.of("plain")) == 1)  # the open one


def raw(site, text, wait_s=3):
    """Sends bytes and returns all that comes until the entry closes."""
    with socket.create_connection(("127.0.0.1", site.entries[0].callers), wait_s) as link:
        link.sendall(text)
        got = b""
        try:
            while part := link.recv(65536):
                got += part
        except (TimeoutError, ConnectionError):
            pass
        return got


def test_smuggled_and_slow_requests_are_refused(build, directory):
    with started(build, directory) as site:
        both = (b"POST /once/a HTTP/1.1\r\nHost: site.example\r\nAgateseam-Request-Id: s1\r\n"
                b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/x")
        check(b" 400 " in raw(site, both).split(b"\r\n")[0])
        odd = both.replace(b"Content-Length: 5\r\n", b"").replace(b"chunked", b"gzip, chunked")
        check(raw(site, odd).split(b"\r\n")[0].split()[1] in (b"400", b"501"))
        check(b" 408 " in raw(site, b"GET /safe/a HT").split(b"\r\n")[0])
        check(not any(replica.runs for replica in site.replicas))


def test_a_stream_that_comes_whole_with_its_head_is_relayed(build, directory):
    """kessler scale-1, ORDER: all events in one read with the head were dropped."""
    async def at_once(replica, request, _reader, writer):
        if request.target.startswith("/v1/") or replica.stage != "decode":
            return None
        event = f"id: 1\ndata: {request.id}\n\n".encode()
        head = "".join(f"{name}: {value}\r\n" for name, value in replica.signed(request))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + head.encode() +
                     b"\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
        return True
    with started(build, directory) as site:
        for replica in site.of("model", "decode"):
            replica.script = at_once
        whole_stream(site.draft(), events=1)


async def cut_after_two(replica, request, _reader, writer):
    """Breaks off in the middle of the third event, once."""
    if request.target.startswith("/v1/") or replica.stage != "decode":
        return None
    replica.runs.append(request.id)
    head = "".join(f"{name}: {value}\r\n" for name, value in replica.signed(request))
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + head.encode() + b"\r\n")
    events = "".join(f"id: {number}\ndata: {request.id}.{number}\n\n" for number in (1, 2))
    text = (events + "id: 3\ndata: spoi").encode()
    writer.write(b"%x\r\n%s\r\n" % (len(text), text))
    await writer.drain()
    await asyncio.sleep(0.05)
    replica.script = None
    reset(writer)
    return False


def test_a_cut_stream_does_not_look_whole(build, directory):
    with started(build, directory) as site:
        for replica in site.of("model", "decode"):
            replica.script = cut_after_two
        got = site.draft()
        check(not got.whole and b"spoi" not in got.body, got.whole, got.body)
        check(sum(len(replica.runs) for replica in site.of("model", "decode")) == 1)


def test_a_resumable_stream_goes_on_at_the_exact_event(build, directory):
    with started(build, directory) as site:
        decode = site.of("model", "decode")
        for replica in decode:
            replica.script = cut_after_two
            replica.events = 6
        for _ in range(6):
            got = site.draft("/resume/a")
            # A replica that still has its script begins anew and is cut once more.
            ids = [line for line in got.body.decode().split("\n") if line.startswith("id:")]
            check(ids == [f"id: {number}" for number in range(1, len(ids) + 1)], ids)
            check(len(ids) in (2, 6) and got.whole == (len(ids) == 6), ids, got.whole)
            check(b"spoi" not in got.body, got.body)
        check(len(ids) == 6, ids)


def test_a_lost_answer_ends_an_unsafe_request_as_unknown(build, directory):
    async def run_and_reset(replica, request, _reader, writer):
        replica.runs.append(request.id)
        reset(writer)
        return False
    with started(build, directory) as site:
        for replica in site.of("plain"):
            replica.script = run_and_reset
        got = site.post("/once/a")
        check(got.status == 502 and b"unknown" in got.body, got.status, got.body)
        check(sum(len(replica.runs) for replica in site.of("plain")) == 1)
        check(site.get("/safe/a").status == 502)
        check(sum(len(replica.runs) for replica in site.of("plain")) == 3)


def test_a_refused_request_goes_to_another_replica(build, directory):
    async def full(replica, request, _reader, writer):
        writer.write(replica.refusal())
        return True
    with started(build, directory) as site:
        first, second = site.of("plain")
        first.script = full
        for _ in range(6):
            check(site.post("/once/a").status == 200)
        check(len(second.runs) == 6 and not first.runs)
        second.script = full
        got = site.post("/once/a")
        check(got.status == 503 and b"not_run" in got.body and "Retry-After" in got.headers)


def test_a_slow_answer_is_waited_for_when_no_repeat_is_left(build, directory):
    """Giving it up for another server that may not be asked would leave the caller nothing."""
    async def slowly(replica, request, _reader, writer):
        await asyncio.sleep(0.7)  # the target is 500 ms, another server is asked after 300
        return await replica.plain(request, writer)

    fleet = {"allowance_reserve_tokens": 100_000, "repeat_extra": 0, "repeat_ratio": 0}
    with started(build, directory, fleet=fleet) as site:
        for replica in site.of("plain"):
            replica.script = slowly
        got = site.get("/safe/a")
        check(got.status == 200, got.status, got.body)
        check(sum(len(replica.runs) for replica in site.of("plain")) == 1)


def test_a_slow_answer_is_asked_for_elsewhere(build, directory):
    async def slowly(replica, request, _reader, writer):
        await asyncio.sleep(2)
        return await replica.plain(request, writer)

    with started(build, directory) as site:
        first, second = site.of("plain")
        first.script = slowly
        for _ in range(6):
            begun = time.monotonic()
            check(site.get("/safe/a").status == 200)
            check(time.monotonic() - begun < 1)
        check(second.runs)


def test_a_late_extra_answer_belongs_to_no_other_request(build, directory):
    async def twice(replica, request, _reader, writer):
        replica.runs.append(request.id)
        answer = answer_bytes(200, f"body of {request.id}".encode(), replica.signed(request))
        writer.write(answer)
        await writer.drain()

        async def later():
            await asyncio.sleep(0.02)
            writer.write(answer)
        asyncio.ensure_future(later())
        return True
    with started(build, directory) as site:
        for replica in site.of("plain"):
            replica.script = twice
        for number in range(30):
            name = f"extra-{number}"
            got = site.get("/safe/a", Agateseam_Request_Id=name)
            check(got.body == f"body of {name}".encode(), name, got.body)
            time.sleep(0.01)


def test_an_early_answer_leaves_no_body_for_the_next_request(build, directory):
    """The replica answers before it reads the body, then reads on where the rest is due."""
    broken = []

    async def early(replica, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if not head.startswith(("GET /", "POST /")):
                    broken.append(head)
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:]
                              if ": " in line)
                name = [("Agateseam-Request-Id", fields["agateseam-request-id"]),
                        ("Agateseam-Response-Signature", "early")]
                writer.write(answer_bytes(400, b"", name))
                await writer.drain()
                await asyncio.sleep(0.02)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if body.strip(b"y"):
                    broken.append(body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()
    with started(build, directory) as site:
        for replica in site.of("plain"):
            replica.connection = lambda reader, writer, at=replica: early(at, reader, writer)
            site.call(replica.start())
            site.list(replica)
        time.sleep(0.2)
        for _ in range(5):
            check(site.post("/once/a", b"y" * 90_000).status == 400)
            check(site.get("/safe/a").status == 400)
        check(not broken, broken[:1])


def unframed(end):
    async def script(replica, request, _reader, writer):
        replica.runs.append(request.id)
        head = "".join(f"{name}: {value}\r\n" for name, value in replica.signed(request))
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\nbody of {request.id}".encode())
        await writer.drain()
        await asyncio.sleep(0.02)
        if end == "reset":
            replica.script = None
            reset(writer)
        return False
    return script


def test_an_answer_without_length_ends_with_its_connection(build, directory):
    with started(build, directory) as site:
        for replica in site.of("plain"):
            replica.script = unframed("close")
        got = site.get("/safe/a", Agateseam_Request_Id="open-end")
        check(got.status == 200 and got.body == b"body of open-end", got.body)
        for replica in site.of("plain"):
            replica.script = unframed("reset")
        got = site.post("/once/a")
        check(got.status == 502, got.status, got.body)


def test_a_caller_that_leaves_ends_its_work(build, directory):
    with started(build, directory) as site:
        for replica in site.of("model", "decode"):
            replica.events, replica.event_pause = 1000, 0.02
        link = socket.create_connection(("127.0.0.1", site.entries[0].callers))
        lines = [f"{name}: {value}\r\n" for name, value in
                 site.headers(Agateseam_Model="m", Agateseam_Token_Count="500,40").items()]
        link.sendall(("POST /draft/a HTTP/1.1\r\n" + "".join(lines) +
                      "Content-Length: 0\r\n\r\n").encode())
        check(b"200" in link.recv(4096))
        link.close()
        wait_for(lambda: any(replica.closed_early for replica in site.of("model", "decode")),
                 "the replica's connection to close", 0.5)


def test_a_route_time_out_is_kept(build, directory):
    async def hang(replica, request, _reader, _writer):
        replica.runs.append(request.id)
        await asyncio.sleep(60)
    with started(build, directory) as site:
        site.configure(2, routes=[route("/once/", "unsafe", "plain", max_attempts=1,
                                        timeout_ms=400)])
        wait_for(lambda: site.get("/safe/a").status == 404, "version 2")
        for replica in site.of("plain"):
            replica.script = hang
        begun = time.monotonic()
        got = site.post("/once/a")
        took = time.monotonic() - begun
        check(got.status == 504 and 0.3 < took < 0.6, got.status, took)


def test_a_full_engine_is_waited_for(build, directory):
    site = Site(build, directory)
    site.add("model", stage="prefill")
    decode = site.add("model", stage="decode", capacity=1000)
    decode.event_pause = 0.05
    site.configure(1)
    with site.start():
        answers = []
        callers = [threading.Thread(target=lambda: answers.append(site.draft()))
                   for _ in range(3)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        check([answer.status for answer in answers] == [200] * 3,
              [(answer.status, answer.body) for answer in answers])
        check(not decode.holds, decode.holds)
        large = site.draft(tokens="200000,40")
        check(large.status == 503 and b"not_run" in large.body, large.status)


def test_a_prompt_whose_reading_failed_is_read_elsewhere(build, directory):
    """kessler trouble-2: the decode server read it instead, between others' tokens."""
    async def lose(replica, request, _reader, writer):
        replica.script = None
        reset(writer)
        return False
    with started(build, directory) as site:
        second = site.add("model", stage="prefill")
        wait_for(lambda: len(site.entries[0].lines("backend server changed")) >= 1, "it")
        time.sleep(0.1)  # changes are published together, 10 ms after the line
        first = site.of("model", "prefill")[0]
        for _ in range(4):
            first.script = lose
            whole_stream(site.draft())
        drafts = [request for replica in site.of("model", "decode") for request in replica.seen
                  if request.target.startswith("/draft/")]
        check(len(drafts) == 4 and len(second.seen) >= 1, len(drafts), len(second.seen))
        check(all(request.header("Agateseam-Kv-Source") for request in drafts))


def test_another_incarnation_at_the_address_is_not_given_work(build, directory):
    with started(build, directory) as site:
        first, second = site.of("plain")
        first.id = "i-reborn"
        for _ in range(6):
            check(site.get("/safe/a").status == 200)
        check(not first.runs and len(second.runs) == 6)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
