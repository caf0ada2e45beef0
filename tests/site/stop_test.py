"""Stops entries in turn under load, whose callers keep their connections until the process is
gone."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import Site, configuration, wait_for  # noqa: E402
from site_callers import Callers  # noqa: E402

GRACE_S = 8
# The rule excuses a stream that was sent in the first seconds of a stop and that its server
# still runs in the last sixth of the grace period.
EXCUSED_WHEN_SENT_WITHIN_S = 3
EXCUSED_FROM_S = GRACE_S * 5 / 6
CALLER_DEADLINE_S = 14


class StoppedEntry:
    """Stops an entry as the platform does: SIGTERM, then SIGKILL after the grace period."""

    def __init__(self, site, number):
        self.site, self.number, self.entry = site, number, site.entries[number]
        self.signalled_at = time.monotonic()
        self.entry.end(signal.SIGTERM)

    def wait(self):
        left = self.signalled_at + GRACE_S - time.monotonic()
        try:
            self.entry.process.wait(left)
        except Exception:  # pylint: disable=broad-except
            self.entry.end(signal.SIGKILL)
            self.entry.process.wait()
        self.gone_at = time.monotonic()
        return self.entry.process.returncode


def slow_streams(site, event_delay_s, event_count=8):
    for replica in site.replicas_of("model", "decode"):
        replica.event_delay_s, replica.event_count = event_delay_s, event_count


def lost_requests(site, stop, outcomes):
    """Returns the requests that LOST counts: a server had them, and their connection ended
    around the stop without a whole answer."""
    received = {request.id for replica in site.replicas for request in replica.requests}
    lost = []
    for outcome in outcomes:
        if outcome.entry != stop.number or outcome.complete or outcome.id not in received:
            continue
        sent_s = outcome.sent_at - stop.signalled_at
        ended_s = outcome.ended_at - stop.signalled_at
        if ended_s < 0 or outcome.ended_at - outcome.sent_at >= CALLER_DEADLINE_S:
            continue
        if sent_s <= EXCUSED_WHEN_SENT_WITHIN_S and ended_s >= EXCUSED_FROM_S:
            continue
        lost.append(f"sent {sent_s:.2f} s, ended {ended_s:.2f} s after SIGTERM: {outcome}")
    return lost


def start_loaded_site(build, directory, kinds, callers, **options):
    site = Site(build, directory, entries=2, grace_ms=GRACE_S * 1000)
    site.add_default_replicas()
    routes = configuration(1)["routes"]
    for route in routes:
        route["timeout_ms"] = 14_000 if route["route_type"] == "streaming" else 3000
    site.configure(1, routes=routes)
    slow_streams(site, 0.05)
    site.start()
    return site, Callers(site, callers, kinds, **options).start()


def test_a_stop_loses_no_stream_that_takes_longer_than_expected(build, directory):
    """Guards against streams that a stop accepts because it expects them to end in time."""
    site, callers = start_loaded_site(build, directory, [("/draft/a", "500,40")], 12)
    try:
        time.sleep(2)
        stop = StoppedEntry(site, 0)
        time.sleep(2)
        slow_streams(site, 0.6)
        code = stop.wait()
        slow_streams(site, 0.01)
        outcomes = callers.stop()
        lost = lost_requests(site, stop, outcomes)
        check(not lost, len(lost), "lost:", *lost)
        check(code in (0, 1), code)
    finally:
        site.close()


def test_a_stop_loses_no_plain_request_that_turns_slow(build, directory):
    """Guards against plain requests that a stop accepts because they usually end in time."""
    delay_s = 0.05

    async def answer_late(replica, request, _reader, writer):
        await asyncio.sleep(delay_s)
        return await replica.answer_plain(request, writer)

    site, callers = start_loaded_site(build, directory, [("/once/a", None)], 6)
    try:
        for replica in site.replicas_of("plain"):
            replica.handler = answer_late
        time.sleep(1)
        stop = StoppedEntry(site, 0)
        time.sleep(3)
        delay_s = 2.6
        stop.wait()
        delay_s = 0.05
        lost = lost_requests(site, stop, callers.stop())
        check(not lost, len(lost), "lost:", *lost)
    finally:
        site.close()


def test_a_stop_answers_requests_that_wait_for_a_place(build, directory):
    """Guards against requests that a stopping entry holds without a place until it is gone."""
    site, callers = start_loaded_site(build, directory, [("/draft/a", "500,40")], 12)
    try:
        time.sleep(1)
        stop = StoppedEntry(site, 0)
        for replica in site.replicas_of("model", "decode"):
            replica.capacity = 0
        stop.wait()
        outcomes = callers.stop()
        unanswered = [outcome for outcome in outcomes
                      if outcome.entry == stop.number and not outcome.complete
                      and outcome.ended_at > stop.signalled_at and outcome.status is None
                      and outcome.ended_at - outcome.sent_at > 0.2]
        check(not unanswered, *unanswered)
        refused = [outcome for outcome in outcomes if b"stopping" in outcome.body]
        check(refused and all(outcome.status == 503 for outcome in refused), len(refused))
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(run.main(globals()))
