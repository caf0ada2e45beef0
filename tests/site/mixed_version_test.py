"""Tests that a stream holds events of one software version only, in whatever way it goes on, and
that streams go on while two replicas of their version serve."""

import asyncio
import http.client
import itertools
import os
import random
import re
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import KEY, Site, configuration, reset_connection, wait_for  # noqa: E402

MAX_MIXED = 2
MIN_TAKEN_UP = 12
EVENTS = 30
EVENT_PAUSE_S = 0.04
GIVE_UP_S = 6.0
LINE = re.compile(rb"(id: (\d+)|data: .*\.(v[0-9.]+))\n")


class Stream:
    """One stream of a caller who takes it up elsewhere when its connection breaks."""

    numbers = itertools.count(1)

    def __init__(self, site, source, path="/resume/a", names_begin=True):
        self.site, self.source, self.path = site, source, path
        self.names_begin = names_begin
        self.events, self.versions = [], []
        self.begun_by, self.refusals = None, []  # (status, seconds) of tries without an event
        self.broke_at, self.went_on, self.complete = None, False, False
        self.began_at = time.monotonic()

    def follow(self, first_entry=None, choose=None):
        while not self.complete and time.monotonic() < self.began_at + GIVE_UP_S:
            entry = first_entry if first_entry is not None else (
                choose() if choose else self.source.randrange(len(self.site.entries)))
            first_entry = None
            known = len(self.events)
            try:
                self.attempt(entry)
            except (OSError, http.client.HTTPException):
                pass
            if self.events and not self.complete:
                self.broke_at = self.broke_at or time.monotonic()
            self.went_on |= known > 0 and len(self.events) > known
            if not self.complete:
                time.sleep(0.05)
        return self

    def attempt(self, entry):
        name = f"s{next(Stream.numbers):08x}"
        headers = {"Host": "site.example", "Agateseam-Request-Id": name,
                   "Agateseam-Request-Deadline": str(int(1000 * GIVE_UP_S)),
                   "Authorization": "Bearer " + KEY, "Agateseam-Model": "m",
                   "Agateseam-Token-Count": "500,40"}
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1])
            if self.names_begin:
                headers["Resumes"] = self.begun_by
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.site.entries[entry].callers, timeout=4)
        began = time.monotonic()
        try:
            connection.request("POST", self.path, b"{}", headers)
            response = connection.getresponse()
            if response.status != 200:
                self.refusals.append((response.status, time.monotonic() - began))
                return
            while True:
                line = response.readline()
                if not line:
                    self.complete = bool(self.events) and self.events[-1] == EVENTS
                    return
                found = LINE.match(line)
                if found and found.group(2):
                    number = int(found.group(2))
                elif found:
                    self.begun_by = self.begun_by or name
                    self.events.append(number)
                    self.versions.append(found.group(3).decode())
        finally:
            connection.close()

    @property
    def is_mixed(self):
        return len(set(self.versions)) > 1


class Drill:
    """A site with replicas of some versions, and callers that follow streams."""

    def __init__(self, build, directory, versions=("v1", "v1", "v1", "v2", "v2", "v2"), entries=4):
        self.site = Site(build, directory, entries=entries)
        for version in sorted(set(versions)):
            self.add("prefill", version)
        self.decode = [self.add("decode", version) for version in versions]
        routes = configuration(1)["routes"]
        for item in routes:
            item.update(timeout_ms=int(1000 * GIVE_UP_S), max_attempts=3)
        self.site.configure(1, routes=routes)
        self.site.start()
        self.threads, self.streams, self.stopped = [], [], False

    def add(self, stage, version):
        replica = self.site.add_replica("model", stage=stage, listed=False)
        replica.version, replica.shows_version = version, True
        replica.event_count, replica.event_delay_s = EVENTS, EVENT_PAUSE_S
        self.site.publish_replica(replica)
        return replica

    def remove(self, replica):
        """Crashes a replica for good."""
        self.site.run_on_loop(replica.listener.close)
        self.site.run_on_loop(self.cut, replica)
        self.site.run_on_loop(self.site.store.remove, "servers", replica.id)

    @staticmethod
    def cut(replica):
        for writer in list(replica.open_connections):
            reset_connection(writer)

    def run_caller(self, number, options):
        source = random.Random(number)
        while not self.stopped:
            self.streams.append(Stream(self.site, source, **options).follow())

    def start_callers(self, count=24, **options):
        for number in range(count):
            thread = threading.Thread(target=self.run_caller, args=(number, options))
            thread.start()
            self.threads.append(thread)

    def stop_callers(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def check(self, min_broken=MIN_TAKEN_UP):
        self.stop_callers()
        mixed = [stream for stream in self.streams if stream.is_mixed]
        check(len(mixed) <= MAX_MIXED, "mixed", len(mixed), "of", len(self.streams),
              [stream.versions for stream in mixed[:1]])
        for stream in self.streams:
            check(stream.events == list(range(1, len(stream.events) + 1)), stream.events)
        broken = [stream for stream in self.streams if stream.broke_at]
        began = [stream for stream in self.streams if stream.events]
        share_on = sum(stream.went_on for stream in broken) / max(1, len(broken))
        check(len(broken) >= min_broken, "broken", len(broken))
        check(not broken or share_on >= 0.5 * len(began) / len(self.streams),
              "taken up", len(broken), "went on", share_on, "began", len(began),
              len(self.streams))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_callers()
        self.site.close()


def test_streams_go_on_at_their_version_inside_an_answer(build, directory):
    async def reset_midway(replica, request, _reader, writer):
        if not request.target.startswith("/v1/") and not request.header("Last-Event-Id"):
            asyncio.get_running_loop().call_later(0.3, reset_connection, writer)

    with Drill(build, directory) as drill:
        for replica in drill.decode:
            replica.handler = reset_midway
        drill.start_callers()
        time.sleep(5)
        drill.check(min_broken=0)
        check(sum(stream.complete for stream in drill.streams) > 0.9 * len(drill.streams),
              "complete", sum(stream.complete for stream in drill.streams), len(drill.streams))


def test_silent_streams_are_replaced_by_servers_of_their_version(build, directory):
    with Drill(build, directory) as drill:
        for replica in drill.decode:
            replica.silent_from = 6
        drill.start_callers(count=12)
        time.sleep(5)
        drill.check(min_broken=0)
        check(sum(stream.complete for stream in drill.streams) > 0.9 * len(drill.streams),
              "complete", sum(stream.complete for stream in drill.streams), len(drill.streams))


def test_streams_of_a_killed_entry_are_taken_up_at_their_version(build, directory):
    with Drill(build, directory) as drill:
        drill.start_callers()
        for number in range(6):
            time.sleep(1.2)
            entry = drill.site.entries[number % 4]
            entry.end()
            entry.process.wait()
            entry.start()
        drill.check()


def test_streams_go_on_through_a_rolling_update(build, directory):
    with Drill(build, directory, versions=("v1",) * 6) as drill:
        drill.start_callers()
        time.sleep(1)
        old = list(drill.decode)
        for number in range(6):
            drill.add("decode", "v1.1")
            if number == 0:
                drill.add("prefill", "v1.1")
            time.sleep(0.5)
            drill.remove(old[number])
            if number in (1, 3):
                entry = drill.site.entries[number]
                entry.end()
                entry.process.wait()
                entry.start()
        time.sleep(1)
        drill.check()


def test_a_stream_of_an_unknown_version_is_refused_at_once(build, directory):
    """Guards against entries that have all just started and guess a version."""
    with Drill(build, directory) as drill:
        source = random.Random(1)
        streams = [Stream(drill.site, source) for _ in range(8)]
        threads = [threading.Thread(target=stream.follow) for stream in streams]
        for thread in threads:
            thread.start()
        wait_for(lambda: all(len(stream.events) > 3 for stream in streams), "streams")
        for entry in drill.site.entries:
            entry.end(signal.SIGKILL)
        for entry in drill.site.entries:
            entry.process.wait()
            entry.start()
        for thread in threads:
            thread.join()
        check(not any(stream.is_mixed for stream in streams),
              [stream.versions for stream in streams])
        refusals = [refusal for stream in streams for refusal in stream.refusals
                    if refusal[0] == 503]
        check(refusals, "no refusal")
        check(all(seconds < 0.6 for _, seconds in refusals), refusals)


def test_streams_begin_where_another_replica_can_go_on(build, directory):
    with Drill(build, directory, versions=("v1", "v1", "v2")) as drill:
        source = random.Random(1)
        for _ in range(8):
            check(Stream(drill.site, source).follow().versions[0] == "v1")
        for replica in drill.decode[:2]:
            drill.remove(replica)
        wait_for(lambda: all(len(entry.log_lines("backend server gone")) >= 2
                             for entry in drill.site.entries), "the removal")
        check(Stream(drill.site, source).follow().versions == ["v2"] * EVENTS)


def test_a_stream_whose_version_is_gone_is_refused_at_once(build, directory):
    with Drill(build, directory, versions=("v1", "v2", "v2")) as drill:
        source = random.Random(1)
        streams = [Stream(drill.site, source) for _ in range(12)]
        threads = [threading.Thread(target=stream.follow) for stream in streams]
        for thread in threads:
            thread.start()
        wait_for(lambda: all(len(stream.events) > 3 for stream in streams), "streams")
        for replica in drill.decode[1:]:
            drill.remove(replica)
        for thread in threads:
            thread.join()
        refusals = [refusal for stream in streams for refusal in stream.refusals]
        check(refusals and all(status == 503 and seconds < 0.3 for status, seconds in refusals),
              refusals)
        check(not any(stream.is_mixed for stream in streams))


def test_a_stream_without_its_beginning_goes_on_only_at_the_one_version(build, directory):
    """A caller that doesn't say which of its tries began the stream."""
    with Drill(build, directory) as drill:
        drill.start_callers(count=12, names_begin=False)
        for number in range(3):
            time.sleep(1)
            entry = drill.site.entries[number]
            entry.end()
            entry.process.wait()
            entry.start()
        drill.stop_callers()
        mixed = [stream for stream in drill.streams if stream.is_mixed]
        check(len(mixed) <= MAX_MIXED, "mixed", len(mixed), "of", len(drill.streams))


if __name__ == "__main__":
    sys.exit(run.main(globals()))
