"""Tests that an answer which promises "not run" is given only when that is known."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, start_site  # noqa: E402
from platform_site import reset_connection, response_bytes, wait_for  # noqa: E402

# Callers take these statuses to mean that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
REFUSAL = response_bytes(503, {}, [("Agateseam-Not-Executed", "1")])


class ReusedConnections:
    """Tells which of the requests that replicas receive aren't the first on their connection."""

    def __init__(self):
        self.writers, self.count = [], 0

    def is_reused(self, writer):
        if writer in self.writers:
            self.count += 1
            return True
        self.writers.append(writer)
        return False


def check_promises(site, answered):
    """Checks that no request ran twice, and that none ran whose caller was told that it hadn't.

    `answered` has the response to each request by its id.
    """
    runs = [run_id for replica in site.replicas for run_id in replica.runs]
    check(len(runs) == len(set(runs)), runs)
    broken = {run_id: answered[run_id].status for run_id in runs
              if answered[run_id].status in PROMISES}
    check(not broken, broken)


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


def test_an_extra_refusal_that_names_no_request_isnt_the_next_ones(build, directory):
    """Guards against the extra refusal of an earlier call that passes for one of a call that
    then runs."""
    connections = ReusedConnections()

    async def refuse_and_run(_replica, _request, _reader, writer):
        if connections.is_reused(writer):
            writer.write(REFUSAL)

    with start_site(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = refuse_and_run
        answered = {f"once-{number}": site.post("/once/a", Agateseam_Request_Id=f"once-{number}")
                    for number in range(6)}
        check(connections.count > 0)
        check_promises(site, answered)


def test_an_extra_refusal_that_names_no_request_isnt_a_streams(build, directory):
    """Guards against the extra refusal of a reservation that passes for one of a stream that
    then runs."""
    extra_refusals = []

    async def refuse_and_run(_replica, request, _reader, writer):
        if not request.target.startswith("/v1/"):
            extra_refusals.append(request.id)
            writer.write(REFUSAL)

    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.handler = refuse_and_run
        answered = {f"draft-{number}": site.request_stream(
                        Agateseam_Request_Id=f"draft-{number}") for number in range(3)}
        check(extra_refusals)
        check_promises(site, answered)


def test_a_refusal_that_names_no_request_counts_on_a_new_connection_only(build, directory):
    """Guards against losing the promise of a server that names no request when it refuses one."""
    async def refuse(_replica, _request, _reader, writer):
        writer.write(REFUSAL)
        return True

    with start_site(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = refuse
        first, second = site.post("/once/a"), site.post("/once/a")
        check(first.status == 503 and b"not_run" in first.body, first.status, first.body)
        check(second.status == 502 and b"unknown" in second.body, second.status, second.body)


def test_a_refusal_that_names_no_request_sends_a_safe_request_elsewhere(build, directory):
    """Guards against a repeatable request that ends with a refusal which may not be its own."""
    connections = ReusedConnections()

    async def refuse_on_reuse(_replica, _request, _reader, writer):
        if not connections.is_reused(writer):
            return None
        writer.write(REFUSAL)
        return True

    with start_site(build, directory) as site:
        site.replicas_of("plain")[0].handler = refuse_on_reuse
        statuses = []
        while connections.count == 0 and len(statuses) < 40:
            statuses.append(site.get("/safe/a").status)
        check(connections.count > 0 and set(statuses) == {200}, statuses)


def test_an_extra_copy_of_a_refusal_isnt_the_next_attempts(build, directory):
    """Guards against a stream that is sent again on the connection of its refusal, where a copy
    of the refusal passes for the answer to the attempt that then runs."""
    refused_on = {}

    async def refuse_then_run(replica, request, _reader, writer):
        if request.target.startswith("/v1/"):
            return None
        is_first = request.id not in refused_on
        if is_first or refused_on[request.id] is writer:
            writer.write(replica.refusal(request))
        refused_on.setdefault(request.id, writer)
        return True if is_first else None

    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.handler = refuse_then_run
        answered = {f"copy-{number}": site.request_stream(
                        Agateseam_Request_Id=f"copy-{number}") for number in range(3)}
        check_promises(site, answered)


def repeat_refusal(sent_before):
    """Makes a server that, given a request again on a connection, repeats its earlier refusal
    there and runs the request."""
    async def handle(replica, request, _reader, writer):
        if request.target.startswith("/v1/"):
            return None
        # The writer itself, as Python gives the id of a closed one to another.
        earlier = sent_before.get((writer, request.id))
        if earlier:
            sent_before["repeated"] = earlier
            writer.write(earlier)
        if request.header("Agateseam-Expect-Instance") != replica.id:
            refusal = response_bytes(421, {}, [("Agateseam-Not-Executed", "1")]
                                     + replica.id_headers(request))
            sent_before[(writer, request.id)] = refusal
            writer.write(refusal)
            return True
        return None
    return handle


def list_under_two_names(site, replica):
    """Lists a server under its former name as well, as happens after a restart."""
    site.run_on_loop(site.store.put, "servers", "i-former-" + replica.id, replica.server_spec())


def test_a_repeated_refusal_of_a_former_incarnation_isnt_the_present_ones(build, directory):
    """Guards against a request that is sent again on the connection of its refusal, to the server
    that is listed under another name at the same address."""
    with start_site(build, directory) as site:
        sent_before = {}
        present, other = site.replicas_of("plain")
        site.run_on_loop(site.store.remove, "servers", other.id)
        list_under_two_names(site, present)
        present.handler = repeat_refusal(sent_before)
        wait_for(lambda: site.entries[0].log_lines("backend server changed")
                 and site.entries[0].log_lines("backend server gone"), "the former name")
        answered = {}

        def send_request():
            request_id = f"once-{len(answered)}"
            answered[request_id] = site.post("/once/a", Agateseam_Request_Id=request_id)
            return sent_before

        # A new server is published some time after it was logged.
        wait_for(send_request, "a request that is sent to the former name")
        for _ in range(20):
            send_request()
        check_promises(site, answered)
        check("repeated" not in sent_before)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
