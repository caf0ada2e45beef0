"""Tests that what servers get beyond the first arrival of each request stays in the budget."""

import os
import sys
import threading

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, start_site  # noqa: E402
from platform_site import response_bytes  # noqa: E402

EXTRA, RATIO = 20, 0.2
FLEET = {"allowance_reserve_tokens": 100_000, "repeat_extra": EXTRA, "repeat_ratio": RATIO}
CALLERS, REQUESTS = 10, 200


def send_streams(site, answers):
    def send(caller):
        for number in range(REQUESTS // CALLERS):
            answers.append(site.request_stream(entry=(caller + number) % len(site.entries)))
    callers = [threading.Thread(target=send, args=(caller,)) for caller in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()


def arrivals_beyond_the_first(site):
    """Counts as the platform does: a prefill that a server accepts is no arrival once."""
    arrivals, prefilled = {}, set()
    for replica in site.replicas_of("model", "prefill") + site.replicas_of("model", "decode"):
        for request in replica.requests:
            if not request.id or request.target.startswith("/v1/"):
                continue
            is_accepted = request.header("Agateseam-Stage") and request.is_accepted
            if is_accepted and request.id not in prefilled:
                prefilled.add(request.id)
                continue
            arrivals[request.id] = arrivals.get(request.id, 0) + 1
    return sum(count - 1 for count in arrivals.values())


def refuse_prefills(share):
    async def handle(replica, request, _reader, writer):
        request.is_accepted = True
        if request.header("Agateseam-Stage") and replica.random.random() < share:
            request.is_accepted = False
            writer.write(response_bytes(503, {}, [("Agateseam-Not-Executed", "1")]
                                        + replica.id_headers(request)))
            return True
        return None
    return handle


def check_refused_prefills(build, directory, share):
    with start_site(build, directory, entries=2, fleet=FLEET) as site:
        for replica in site.replicas_of("model", "prefill"):
            replica.handler = refuse_prefills(share)
        site.add_replica("model", stage="prefill").handler = refuse_prefills(share)
        answers = []
        send_streams(site, answers)
        extra = arrivals_beyond_the_first(site)
        check(extra <= EXTRA + RATIO * REQUESTS, extra)
        # Decode servers read prompts themselves, so no caller is refused for the budget.
        served = sum(answer.status == 200 for answer in answers)
        check(served >= 0.9 * REQUESTS, served)


def test_refused_prefills_are_paid_from_the_repeat_budget(build, directory):
    """Guards against a prefill that a server refuses, and the decode that follows it, which cost
    the server two arrivals and the budget nothing."""
    check_refused_prefills(build, directory, 1.0)


def test_prefills_that_are_often_refused_are_paid_from_the_repeat_budget(build, directory):
    check_refused_prefills(build, os.path.join(directory, "often"), 0.8)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
