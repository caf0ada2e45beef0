"""Short seeded runs of the soak; longer ones are run by hand with soak.py."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check  # noqa: E402
from soak import Soak  # noqa: E402

SECONDS = 10


def play(build, directory, seed, planned, domains=False, pauses=False):
    soak = Soak(build, directory, seed, seconds=SECONDS, planned=planned, domains=domains,
                pauses=pauses)
    requests = soak.play()
    check(not soak.faults, f"seed {seed}", *soak.log, *soak.faults)
    check(requests > 100, requests)


def test_stops_and_changes_lose_nothing(build, directory):
    play(build, directory, seed=3, planned=True)


def test_mixed_troubles_break_no_rule(build, directory):
    play(build, directory, seed=104, planned=False)


def test_evacuations_and_cold_servers_among_troubles_break_no_rule(build, directory):
    play(build, directory, seed=301, planned=False, domains=True)


def test_pauses_of_servers_while_others_refuse_lose_nothing(build, directory):
    play(build, directory, seed=5001, planned=True, pauses=True)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
