"""Runs scripts/lib/chaos.py briefly with a fixed seed; fails if an invariant is violated."""

import os
import subprocess
import sys

SCRIPTS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib")
SEED, SECONDS = "2", "15"


def main():
    completed = subprocess.run([sys.executable, os.path.join(SCRIPTS, "chaos.py"), sys.argv[1],
                                "--seed", SEED, "--seconds", SECONDS, "--callers", "8"],
                               timeout=100)
    return completed.returncode


if __name__ == "__main__":
    sys.exit(main())
