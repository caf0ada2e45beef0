"""The configuration's version on every entry, through kills, pauses, an unwilling store and
changes in quick succession: it never goes back while a process lives, and the newest one
comes into force everywhere once the fleet is well."""

import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from platform_site import Site, route, wait_for  # noqa: E402

SEEDS = (1, 2, 3)
STEPS = 60
ENTRIES = 3


def check(condition, *shown):
    if not condition:
        raise AssertionError(repr(shown))


def routes_of(version):
    """Only this version serves the path that is named after it."""
    return [route("/safe/", "safe", "plain"),
            route(f"/v{version}/", "safe", "plain", public=True)]


class Story:
    """A seeded series of changes and faults, and what each entry was seen to do."""

    def __init__(self, site, seed):
        self.site = site
        self.random = random.Random(seed)
        self.version = 1
        self.seen = [0] * ENTRIES
        self.paused = set()

    def change(self):
        self.version += self.random.randint(1, 5)
        self.site.configure(self.version, routes=routes_of(self.version))

    def kill(self):
        at = self.random.randrange(ENTRIES)
        self.resume(at)
        entry = self.site.entries[at]
        entry.end()
        entry.child.wait()
        self.seen[at] = 0  # another incarnation
        entry.start()

    def pause(self):
        at = self.random.randrange(ENTRIES)
        self.site.entries[at].end(signal.SIGSTOP)
        self.paused.add(at)

    def resume(self, at):
        self.site.entries[at].end(signal.SIGCONT)
        self.paused.discard(at)

    def resume_all(self):
        for at in list(self.paused):
            self.resume(at)

    def store_mode(self):
        self.site.store.mode = self.random.choice(("up", "up", "busy", "silent", "reset"))

    def compact(self):
        self.site.run(self.site.store.compact)

    def look(self):
        """Asks each entry for the paths of some versions: an older one than it has served
        before must not be served any more."""
        for at, entry in enumerate(self.site.entries):
            if at in self.paused or not entry.ready():
                continue
            for version in {self.version, self.seen[at], max(1, self.seen[at] - 1)}:
                try:
                    status = self.site.get(f"/v{version}/a", entry=at,
                                           Authorization="").status
                except OSError:
                    continue  # The entry has just been killed.
                if status == 200:
                    check(version >= self.seen[at], "went back", at, version, self.seen)
                    self.seen[at] = version

    def step(self):
        self.random.choice((self.change, self.change, self.change, self.kill, self.pause,
                            self.resume_all, self.store_mode, self.store_mode,
                            self.compact))()
        time.sleep(self.random.choice((0, 0.02, 0.1)))
        self.look()

    def end(self):
        self.resume_all()
        self.site.store.mode = "up"
        self.change()

        def everywhere():
            self.look()
            return all(version == self.version for version in self.seen)

        wait_for(everywhere, f"version {self.version} on every entry: {self.seen}", 10)
        for entry in self.site.entries:
            self.rises(entry)

    @staticmethod
    def rises(entry):
        """By its own log, too, each incarnation only takes newer versions."""
        newest = 0
        for line in entry.lines():
            if line["event"] == "started":
                newest = 0
            if line["event"] == "configuration in force":
                check(line["version"] > newest, entry.name, line)
                newest = line["version"]


def test_a_version_never_goes_back_through_kills_pauses_and_outages(build, directory):
    for seed in SEEDS:
        with Site(build, os.path.join(directory, str(seed)), entries=ENTRIES) as site:
            site.usual_replicas()
            site.configure(1, routes=routes_of(1))
            site.start()
            story = Story(site, seed)
            for _ in range(STEPS):
                story.step()
            story.end()
            print(f"seed {seed}: {story.version} is the newest of the versions; "
                  f"{len(site.store.calls)} store calls")


if __name__ == "__main__":
    sys.exit(run.main(dict(globals())))
