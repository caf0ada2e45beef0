"""From a failed request's id to its cause, by the steps of docs/OPERATIONS.md ("A request
that failed"): the test provokes each kind of failure and runs the page's commands."""

import asyncio
import json
import os
import re
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from platform_site import Site, configuration, reset, wait_for  # noqa: E402

PAGE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../docs/OPERATIONS.md")


def check(condition, *shown):
    if not condition:
        raise AssertionError(repr(shown))


def commands_of(kind):
    """The commands that the page gives for a kind of failure."""
    with open(PAGE, encoding="utf-8") as page:
        section = page.read().split(f"### {kind}\n", 1)[1].split("\n### ", 1)[0]
    block = re.search(r"```sh\n(.*?)```", section, re.DOTALL).group(1)
    return block.strip().splitlines()


def follow(site, build, kind, request):
    """Runs the page's commands for the id; returns all that they print."""
    logs = " ".join(entry.log_path for entry in site.entries)
    shown = ""
    for command in commands_of(kind):
        command = command.replace("REQUEST-ID", request).replace("LOGS", logs)
        command = command.replace("METRICS", f"127.0.0.1:{site.entries[0].metrics}")
        path = build + os.pathsep + os.environ["PATH"]
        done = subprocess.run(command, shell=True, capture_output=True, text=True,
                              timeout=20, env={**os.environ, "PATH": path})
        check(done.returncode == 0, command, done.returncode, done.stdout, done.stderr)
        shown += done.stdout
    return shown


def await_end(site, request):
    wait_for(lambda: any(line.get("request") == request and line["event"] == "request"
                         for entry in site.entries for line in entry.lines()),
             "the request's last line")


def started(build, directory, tenants=None, entries=2):
    site = Site(build, directory, entries=entries,
                fleet={"allowance_reserve_tokens": 0, "repeat_extra": 100})
    site.usual_replicas()
    if tenants:
        site.configure(1, tenants=tenants)
    else:
        site.configure(1)
    return site.start()


def test_refused_under_an_allowance(build, directory):
    tenants = configuration(1)["tenants"]
    tenants[0].update(rate_per_s=10, burst=1000)
    with started(build, directory, tenants) as site:
        refused = None
        for number in range(20):
            request = f"spent-{number}"
            if site.draft(Agateseam_Request_Id=request).status == 429:
                refused = request
                break
        check(refused, "nothing was refused")
        await_end(site, refused)
        shown = follow(site, build, "Refused under an allowance or load", refused)
        check("outcome: over_allowance" in shown, shown)
        check("workspace oshana had spent its allowance" in shown, shown)
        check("540 tokens asked for" in shown, shown)
        check('outcome="over_allowance"' in shown, shown)


def test_refused_under_load(build, directory):
    with started(build, directory) as site:
        for replica in site.of("model", "decode"):
            replica.capacity = 0
        got = site.draft(Agateseam_Request_Id="loaded")
        check(got.status == 503, got.status)
        await_end(site, "loaded")
        shown = follow(site, build, "Refused under an allowance or load", "loaded")
        check("outcome: no_decode_place" in shown, shown)
        check("2 decode servers were known" in shown, shown)
        refused = re.search(r"(\d+) reservations were refused", shown)
        check(refused and int(refused.group(1)) > 0, shown)


def test_a_cut_stream(build, directory):
    async def dies(replica, request, _reader, writer):
        if request.target.startswith("/v1/"):
            return None
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     b"Transfer-Encoding: chunked\r\nAgateseam-Request-Id: "
                     + request.id.encode() + b"\r\nAgateseam-Response-Signature: s\r\n\r\n"
                     b"d\r\nid: 1\ndata: x\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.1)
        site.store.remove("servers", replica.id)
        await asyncio.sleep(0.1)
        reset(writer)
        return False

    with started(build, directory) as site:
        for replica in site.of("model", "decode"):
            replica.script = dies
        got = site.draft(Agateseam_Request_Id="cut")
        check(not got.whole, got.body)
        await_end(site, "cut")
        shown = follow(site, build, "A cut or late stream", "cut")
        check("outcome: stream_cut" in shown, shown)
        check("stream broke at server" in shown, shown)
        check("the entry noted: backend server gone" in shown, shown)


def test_a_late_stream(build, directory):
    with started(build, directory) as site:
        for replica in site.of("model", "decode"):
            replica.event_pause = 0.4
        check(site.draft(Agateseam_Request_Id="late").whole)
        await_end(site, "late")
        shown = follow(site, build, "A cut or late stream", "late")
        check("outcome: answered" in shown, shown)
        gap = int(re.search(r"longest_gap_ms=(\d+)", shown).group(1))
        check(gap >= 400, shown)


def test_an_unsafe_call_with_unknown_outcome(build, directory):
    async def loses(replica, request, _reader, writer):
        replica.runs.append(request.id)
        reset(writer)
        return False

    with started(build, directory) as site:
        for replica in site.of("plain"):
            replica.script = loses
        got = site.post("/once/a", Agateseam_Request_Id="unknown")
        check(got.status == 502, got.status)
        await_end(site, "unknown")
        shown = follow(site, build, "A call with unknown outcome", "unknown")
        check("outcome: answer_lost" in shown, shown)
        check("it may have run" in shown and "attempt failed at server" in shown, shown)
        server = re.search(r"attempt failed at server (\S+)", shown).group(1)
        ran = [replica.id for replica in site.of("plain") if replica.runs]
        check(ran == [server], ran, server)


def test_json_and_exit_codes(build, directory):
    with started(build, directory, entries=1) as site:
        check(site.get("/safe/a", Agateseam_Request_Id="fine").status == 200)
        await_end(site, "fine")
        log = site.entries[0].log_path
        program = os.path.join(build, "agateseam")
        done = subprocess.run([program, "explain", "fine", log, "--json"],
                              capture_output=True, text=True, check=True, timeout=20)
        check(json.loads(done.stdout)["outcome"] == "answered", done.stdout)
        with open(log, encoding="utf-8") as text:
            done = subprocess.run([program, "explain", "fine"], stdin=text,
                                  capture_output=True, text=True, check=True, timeout=20)
        check("outcome: answered" in done.stdout, done.stdout)
        for words, code in ((["none", log], 1), (["fine", "/nowhere"], 1), ([], 2)):
            done = subprocess.run([program, "explain", *words], capture_output=True,
                                  text=True, check=False, timeout=20)
            check(done.returncode == code and done.stderr, words, done)


if __name__ == "__main__":
    sys.exit(run.main(dict(globals())))
