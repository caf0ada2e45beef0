"""Tests that a stream isn't taken up by an entry that missed the version which began it."""

import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from mixed_version_test import EVENTS, Stream  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import Site, configuration, wait_for  # noqa: E402

# An entry takes the version of its list for the only one after following it for this time.
FOLLOWED_S = 61
CUT_S = 1.5
STREAMS = 8


class Release:
    """Three entries, the last of which can be cut off, and replicas of one version."""

    def __init__(self, build, directory):
        self.site = Site(build, directory, entries=3)
        self.site.link_bytes_per_s = 1e9
        self.old = [self.add(stage, "v1") for stage in ("prefill", "decode", "decode")]
        routes = configuration(1)["routes"]
        for item in routes:
            item.update(timeout_ms=6000, max_attempts=3)
        self.site.configure(1, routes=routes)
        self.site.start()
        wait_for(lambda: all(len(entry.log_lines("entry heard")) == 2
                             for entry in self.site.entries), "the entries")
        self.streams, self.threads = [], []

    def add(self, stage, version):
        replica = self.site.add_replica("model", stage=stage, listed=False)
        replica.version, replica.shows_version = version, True
        replica.event_count, replica.event_delay_s = EVENTS, 0.04
        self.site.publish_replica(replica)
        return replica

    def replace_version(self):
        """Lists replicas of a new version, and removes those of the old one from the list."""
        for stage in ("prefill", "decode", "decode"):
            self.add(stage, "v2")
        for replica in self.old:
            self.site.run_on_loop(self.site.store.remove, "servers", replica.id)
        wait_for(lambda: len(self.site.entries[0].log_lines("backend server gone")) == 3,
                 "the new version at the first entry")

    def begin_streams(self, **options):
        """Begins streams at the first entry; what breaks is taken up at the last one."""
        for number in range(STREAMS):
            stream = Stream(self.site, random.Random(number), **options)
            self.streams.append(stream)
            self.threads.append(threading.Thread(
                target=stream.follow, kwargs={"first_entry": 0, "choose": lambda: 2}))
            self.threads[-1].start()
        wait_for(lambda: all(len(stream.events) > 2 for stream in self.streams), "streams")

    def check_streams(self, max_refusal_s=1.0):
        for thread in self.threads:
            thread.join()
        check(all(stream.broke_at for stream in self.streams))
        check(not any(stream.is_mixed for stream in self.streams),
              [stream.versions for stream in self.streams if stream.is_mixed][:1])
        refusals = [refusal for stream in self.streams for refusal in stream.refusals]
        check(refusals and all(status == 503 and seconds < max_refusal_s
                               for status, seconds in refusals),
              refusals[:3])

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for thread in self.threads:
            thread.join()
        self.site.close()


def play_cut(release):
    first, _, last = release.site.entries
    last.store_link.is_cut = last.peer_link.is_cut = True
    cut_at = time.monotonic()
    release.replace_version()
    release.begin_streams()
    first.end()
    time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    last.store_link.is_cut = last.peer_link.is_cut = False
    release.check_streams()
    # The entry that was told of the streams is reached again.
    check(all(stream.went_on for stream in release.streams),
          [stream.refusals for stream in release.streams if not stream.went_on][:1])


def play_standstill(release):
    """The callers don't say which of their tries began the stream, so no entry can be asked."""
    first, _, last = release.site.entries
    last.process.send_signal(signal.SIGSTOP)
    stopped_at = time.monotonic()
    release.replace_version()
    release.begin_streams(names_begin=False)
    first.end()
    time.sleep(max(0.0, stopped_at + CUT_S - time.monotonic()))
    last.process.send_signal(signal.SIGCONT)
    release.check_streams(max_refusal_s=CUT_S + 1.0)


def test_an_entry_out_of_step_takes_up_no_stream_of_a_version_it_missed(build, directory):
    """Guards against a list of servers that is out of date and names one version only."""
    with Release(build, os.path.join(directory, "cut")) as cut, \
            Release(build, os.path.join(directory, "standstill")) as standstill:
        time.sleep(FOLLOWED_S)
        play_cut(cut)
        play_standstill(standstill)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
