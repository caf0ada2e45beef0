"""Stops entries in turn under load, whose callers keep their connections until the process is
gone."""

import asyncio
import os
import random
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
        if ended_s < 0 or outcome.ended_at - outcome.sent_at >= outcome.deadline_ms / 1000:
            continue
        if sent_s <= EXCUSED_WHEN_SENT_WITHIN_S and ended_s >= EXCUSED_FROM_S:
            continue
        lost.append(f"sent {sent_s:.2f} s, ended {ended_s:.2f} s after SIGTERM: {outcome}")
    return lost


def start_loaded_site(build, directory, kinds, callers, timeout_ms=14_000, target_ms=500,
                      **options):
    site = Site(build, directory, entries=2, grace_ms=GRACE_S * 1000)
    site.add_default_replicas()
    routes = configuration(1)["routes"]
    for route in routes:
        route["timeout_ms"] = timeout_ms if route["route_type"] == "streaming" else 3000
        route["target_latency_ms"] = target_ms
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
        outcomes = callers.stop()
        lost = lost_requests(site, stop, outcomes)
        check(not lost, len(lost), "lost:", *lost)
        unknown = [outcome for outcome in outcomes if b"answer_lost" in outcome.body]
        check(not unknown, *unknown)
    finally:
        site.close()


def test_a_stop_answers_requests_that_wait_for_a_place(build, directory):
    """Guards against requests that a stopping entry holds without a place until it is gone."""
    site, callers = start_loaded_site(build, directory, [("/draft/a", "500,40")], 2,
                                      deadline_ms=40_000, timeout_ms=40_000, target_ms=5000)
    try:
        time.sleep(1)
        for replica in site.replicas_of("model", "decode"):
            replica.capacity = 0
        time.sleep(0.5)
        stop = StoppedEntry(site, 0)
        stop.wait()
        outcomes = [outcome for outcome in callers.stop() if outcome.entry == stop.number]
        waiting = [outcome for outcome in outcomes
                   if outcome.sent_at < stop.signalled_at < outcome.ended_at]
        check(len(waiting) == 1 and waiting[0].status == 503, *waiting)
        check(b"stopping" in waiting[0].body, waiting[0].body)
        check(not lost_requests(site, stop, outcomes))
    finally:
        site.close()


def test_a_stop_answers_requests_whose_servers_are_silent(build, directory):
    """Guards against requests that end without any answer when the process does."""
    silent = []

    async def accept_silently(_replica, request, _reader, _writer):
        if request.target.startswith("/v1/"):
            return None
        silent.append(request.id)
        await asyncio.sleep(20)
        return False

    site, callers = start_loaded_site(build, directory, [("/draft/a", "500,40")], 8)
    try:
        time.sleep(1)
        for replica in site.replicas_of("model", "decode"):
            replica.handler = accept_silently
        time.sleep(0.5)
        stop = StoppedEntry(site, 0)
        code = stop.wait()
        for replica in site.replicas_of("model", "decode"):
            replica.handler = None
        cut = [outcome for outcome in callers.outcomes
               if outcome.entry == stop.number and outcome.id in silent]
        check(cut and all(outcome.status == 502 and b"unknown" in outcome.body
                          for outcome in cut), *cut)
        check(code == 1, code)
        check(stop.entry.log_lines("stopped")[0]["requests_cut"] == len(cut))
    finally:
        callers.stopping = True
        site.close()


def test_a_stop_in_calm_answers_each_request_that_it_takes_late(build, directory):
    """Guards against requests that come late in the grace period, are passed on, and are cut at its
    end."""
    source = random.Random(1)

    async def answer_at_some_time(replica, request, _reader, writer):
        if request.target.startswith("/v1/") or request.header("Agateseam-Stage"):
            return None
        # Up to the whole of the time that the request has, and at times beyond it.
        left_s = int(request.header("Agateseam-Request-Deadline")) / 1000
        await asyncio.sleep(left_s * 1.1 * source.random())
        return await (replica.answer_stream(request, writer) if replica.stage else
                      replica.answer_plain(request, writer))

    site, callers = start_loaded_site(build, directory, [("/once/a", None), ("/safe/a", None)],
                                      10, deadline_ms=1500, target_ms=5000)
    groups = [callers] + [Callers(site, 10, kinds, deadline_ms, seed=deadline_ms).start()
                          for kinds, deadline_ms in
                          (([("/once/a", None)], 400), ([("/once/a", None)], 3000),
                           ([("/draft/a", "500,40")], 2500))]
    try:
        slow_streams(site, 0.01)
        time.sleep(1)
        for replica in site.replicas:
            replica.handler = answer_at_some_time
        time.sleep(2)
        stop = StoppedEntry(site, 0)
        code = stop.wait()
        outcomes = [outcome for group in groups for outcome in group.stop()]
        late = [outcome for outcome in outcomes if outcome.entry == stop.number
                and outcome.sent_at > stop.signalled_at + EXCUSED_WHEN_SENT_WITHIN_S]
        check(sum(outcome.status == 200 for outcome in late) > 20, len(late))
        unanswered = [outcome for outcome in late if outcome.status and not outcome.complete
                      and outcome.ended_at - outcome.sent_at < 0.9 * outcome.deadline_ms / 1000]
        check(not unanswered, *unanswered[:5])
        lost = lost_requests(site, stop, outcomes)
        check(not lost, len(lost), "lost:", *lost[:5])
        check(code == 0, code, stop.entry.log_lines("request cut by the stop")[:3])
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(run.main(globals()))
