"""Tests the steps in docs/OPERATIONS.md ("A request that failed") that lead from the id of a
failed request to its cause: provokes each kind of failure and runs the commands there."""

import asyncio
import json
import os
import re
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from platform_site import Site, configuration, reset_connection, wait_for  # noqa: E402

PAGE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../docs/OPERATIONS.md")


def check(condition, *details):
    if not condition:
        raise AssertionError(repr(details))


def commands_of(kind):
    """Returns the commands in docs/OPERATIONS.md for a kind of failure."""
    with open(PAGE, encoding="utf-8") as page:
        section = page.read().split(f"### {kind}\n", 1)[1].split("\n### ", 1)[0]
    block = re.search(r"```sh\n(.*?)```", section, re.DOTALL).group(1)
    return block.strip().splitlines()


def run_commands(site, build, kind, request):
    """Runs the commands for a kind of failure with a request's id; returns their output."""
    logs = " ".join(entry.log_path for entry in site.entries)
    output = ""
    for command in commands_of(kind):
        command = command.replace("REQUEST-ID", request).replace("LOGS", logs)
        command = command.replace("METRICS", f"127.0.0.1:{site.entries[0].metrics}")
        path = build + os.pathsep + os.environ["PATH"]
        completed = subprocess.run(command, shell=True, capture_output=True, text=True,
                                   timeout=20, env={**os.environ, "PATH": path})
        check(completed.returncode == 0,
              command, completed.returncode, completed.stdout, completed.stderr)
        output += completed.stdout
    return output


def wait_for_last_log_line(site, request):
    wait_for(lambda: any(line.get("request") == request and line["event"] == "request"
                         for entry in site.entries for line in entry.log_lines()),
             "the last log line of the request")


def start_site(build, directory, tenants=None, entries=2):
    site = Site(build, directory, entries=entries,
                fleet={"allowance_reserve_tokens": 0, "repeat_extra": 100})
    site.add_default_replicas()
    if tenants:
        site.configure(1, tenants=tenants)
    else:
        site.configure(1)
    return site.start()


def test_refused_under_an_allowance(build, directory):
    tenants = configuration(1)["tenants"]
    tenants[0].update(rate_per_s=10, burst=1000)
    with start_site(build, directory, tenants) as site:
        refused = None
        for number in range(20):
            request = f"spent-{number}"
            if site.request_stream(Agateseam_Request_Id=request).status == 429:
                refused = request
                break
        check(refused, "nothing was refused")
        wait_for_last_log_line(site, refused)
        output = run_commands(site, build, "Refused under an allowance or load", refused)
        check("outcome: over_allowance" in output, output)
        check("workspace oshana had spent its allowance" in output, output)
        check("540 tokens asked for" in output, output)
        check('outcome="over_allowance"' in output, output)


def test_refused_under_load(build, directory):
    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.capacity = 0
        response = site.request_stream(Agateseam_Request_Id="loaded")
        check(response.status == 503, response.status)
        wait_for_last_log_line(site, "loaded")
        output = run_commands(site, build, "Refused under an allowance or load", "loaded")
        check("outcome: no_decode_place" in output, output)
        check("2 decode servers were known" in output, output)
        refused = re.search(r"(\d+) reservations were refused", output)
        check(refused and int(refused.group(1)) > 0, output)


def test_a_cut_stream(build, directory):
    async def break_stream(replica, request, _reader, writer):
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
        reset_connection(writer)
        return False

    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.handler = break_stream
        response = site.request_stream(Agateseam_Request_Id="cut")
        check(not response.complete, response.body)
        wait_for_last_log_line(site, "cut")
        output = run_commands(site, build, "A cut or late stream", "cut")
        check("outcome: stream_cut" in output, output)
        check("stream broke at server" in output, output)
        check("the entry noted: backend server gone" in output, output)


def test_a_late_stream(build, directory):
    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.event_delay_s = 0.4
        check(site.request_stream(Agateseam_Request_Id="late").complete)
        wait_for_last_log_line(site, "late")
        output = run_commands(site, build, "A cut or late stream", "late")
        check("outcome: answered" in output, output)
        gap = int(re.search(r"longest_gap_ms=(\d+)", output).group(1))
        check(gap >= 400, output)


def test_an_unsafe_call_with_unknown_outcome(build, directory):
    async def reset_after_run(replica, request, _reader, writer):
        replica.runs.append(request.id)
        reset_connection(writer)
        return False

    with start_site(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = reset_after_run
        response = site.post("/once/a", Agateseam_Request_Id="unknown")
        check(response.status == 502, response.status)
        wait_for_last_log_line(site, "unknown")
        output = run_commands(site, build, "A call with unknown outcome", "unknown")
        check("outcome: answer_lost" in output, output)
        check("it may have run" in output and "attempt failed at server" in output, output)
        server = re.search(r"attempt failed at server (\S+)", output).group(1)
        used_replicas = [replica.id for replica in site.replicas_of("plain") if replica.runs]
        check(used_replicas == [server], used_replicas, server)


def test_json_and_exit_codes(build, directory):
    with start_site(build, directory, entries=1) as site:
        check(site.get("/safe/a", Agateseam_Request_Id="fine").status == 200)
        wait_for_last_log_line(site, "fine")
        log = site.entries[0].log_path
        program = os.path.join(build, "agateseam")
        completed = subprocess.run([program, "explain", "fine", log, "--json"],
                                   capture_output=True, text=True, check=True, timeout=20)
        check(json.loads(completed.stdout)["outcome"] == "answered", completed.stdout)
        with open(log, encoding="utf-8") as text:
            completed = subprocess.run([program, "explain", "fine"], stdin=text,
                                       capture_output=True, text=True, check=True, timeout=20)
        check("outcome: answered" in completed.stdout, completed.stdout)
        for arguments, exit_code in ((["none", log], 1), (["fine", "/nowhere"], 1), ([], 2)):
            completed = subprocess.run([program, "explain", *arguments], capture_output=True,
                                       text=True, check=False, timeout=20)
            check(completed.returncode == exit_code and completed.stderr, arguments, completed)


if __name__ == "__main__":
    sys.exit(run.main(dict(globals())))
