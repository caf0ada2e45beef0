"""Tests that an answer which promises "not run" is given only when that is known."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, start_site  # noqa: E402
from platform_site import reset_connection, response_bytes  # noqa: E402

# Callers take these statuses to mean that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


def test_a_servers_failure_after_a_run_is_relayed_as_no_promise(build, directory):
    """Guards against a server's own 408 or 429, given after a run, that reaches the caller."""
    status = None

    async def run_and_fail(replica, request, _reader, writer):
        replica.runs.append(request.id)
        writer.write(response_bytes(status, {}, replica.identity_headers(request)))
        return True

    with start_site(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = run_and_fail
        answered = {}
        for status in (408, 429, 503):
            response = site.post("/once/a")
            answered[status] = (response.status, response.body)
        check(all(status not in PROMISES for status, _ in answered.values()), answered)
        check(all(b"unknown" in body for _, body in answered.values()), answered)


def test_a_lost_stream_without_another_place_is_no_promise(build, directory):
    """Guards against 503 for a request that one server may have run, when no other server has
    a place for it."""
    async def run_and_reset(replica, request, _reader, writer):
        if request.target.startswith("/v1/") or request.header("Agateseam-Stage"):
            return None
        replica.runs.append(request.id)
        replica.capacity = 0
        for other in site.replicas_of("model", "decode"):
            other.capacity = 0
        reset_connection(writer)
        return False

    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.handler = run_and_reset
        response = site.request_stream("/resume/a")
        check(response.status not in PROMISES, response.status, response.body)
        check(b"unknown" in response.body, response.body)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
