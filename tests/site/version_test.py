"""Tests the configuration's version on each entry through kills, pauses, store outages and
changes in quick succession. The version must never decrease while a process lives, and the
newest one must come into force on every entry once the faults are over."""

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


def check(condition, *details):
    if not condition:
        raise AssertionError(repr(details))


def routes_of(version):
    """Returns routes with a path that only this version serves."""
    return [route("/safe/", "safe", "plain"),
            route(f"/v{version}/", "safe", "plain", public=True)]


class Scenario:
    """A seeded series of changes and faults, and the newest version that each entry served."""

    def __init__(self, site, seed):
        self.site = site
        self.random = random.Random(seed)
        self.version = 1
        self.newest_served = [0] * ENTRIES
        self.paused = set()

    def publish_version(self):
        self.version += self.random.randint(1, 5)
        self.site.configure(self.version, routes=routes_of(self.version))

    def kill(self):
        index = self.random.randrange(ENTRIES)
        self.resume(index)
        entry = self.site.entries[index]
        entry.end()
        entry.process.wait()
        self.newest_served[index] = 0  # The new process may start with any version.
        entry.start()

    def pause(self):
        index = self.random.randrange(ENTRIES)
        self.site.entries[index].end(signal.SIGSTOP)
        self.paused.add(index)

    def resume(self, index):
        self.site.entries[index].end(signal.SIGCONT)
        self.paused.discard(index)

    def resume_all(self):
        for index in list(self.paused):
            self.resume(index)

    def change_store_mode(self):
        self.site.store.mode = self.random.choice(("up", "up", "busy", "silent", "reset"))

    def compact(self):
        self.site.run_on_loop(self.site.store.compact)

    def check_versions(self):
        """Requests the paths of several versions from each entry: an entry must not serve a
        version that is older than one it has served before."""
        for index, entry in enumerate(self.site.entries):
            if index in self.paused or not entry.is_ready():
                continue
            for version in {self.version, self.newest_served[index],
                            max(1, self.newest_served[index] - 1)}:
                try:
                    status = self.site.get(f"/v{version}/a", entry=index,
                                           Authorization="").status
                except OSError:
                    continue  # The entry has just been killed.
                if status == 200:
                    check(version >= self.newest_served[index], "the version decreased",
                          index, version, self.newest_served)
                    self.newest_served[index] = version

    def step(self):
        self.random.choice((self.publish_version, self.publish_version, self.publish_version,
                            self.kill, self.pause, self.resume_all,
                            self.change_store_mode, self.change_store_mode,
                            self.compact))()
        time.sleep(self.random.choice((0, 0.02, 0.1)))
        self.check_versions()

    def end(self):
        self.resume_all()
        self.site.store.mode = "up"
        self.publish_version()

        def all_current():
            self.check_versions()
            return all(version == self.version for version in self.newest_served)

        wait_for(all_current, f"version {self.version} on every entry: {self.newest_served}", 10)
        for entry in self.site.entries:
            self.check_log_order(entry)

    @staticmethod
    def check_log_order(entry):
        """Checks in the log that each incarnation only took newer versions."""
        newest = 0
        for line in entry.log_lines():
            if line["event"] == "started":
                newest = 0
            if line["event"] == "configuration in force":
                check(line["version"] > newest, entry.name, line)
                newest = line["version"]


def test_a_version_never_goes_back_through_kills_pauses_and_outages(build, directory):
    for seed in SEEDS:
        with Site(build, os.path.join(directory, str(seed)), entries=ENTRIES) as site:
            site.add_default_replicas()
            site.configure(1, routes=routes_of(1))
            site.start()
            scenario = Scenario(site, seed)
            for _ in range(STEPS):
                scenario.step()
            scenario.end()
            print(f"seed {seed}: newest version {scenario.version}; "
                  f"{len(site.store.calls)} store calls")


if __name__ == "__main__":
    sys.exit(run.main(dict(globals())))
