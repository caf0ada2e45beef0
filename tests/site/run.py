"""Runs the test functions of a module, each in its own directory, and prints the results."""

import os
import re
import sys
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../fakes"))


def known_red(module):
    """Returns the tests of a module that KNOWN-RED.txt lists, without those that run anyway."""
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../KNOWN-RED.txt")
    with open(path, encoding="utf-8") as file:
        return {match.group(1) for match in
                re.finditer(rf"^tests/site/{module}\.py, (test_\w+)$", file.read(), re.MULTILINE)}


def main(functions):
    build = sys.argv[1]
    names = sys.argv[2:]
    if not names:
        module = os.path.splitext(os.path.basename(sys.argv[0]))[0]
        listed = known_red(module)
        names = sorted(name for name in functions
                       if name.startswith("test_") and name not in listed)
        for name in sorted(listed):
            print("known red, not run:", name)
    failed = []
    for name in names:
        try:
            functions[name](build, os.path.join(build, "site_tests", name))
            print("ok", name)
        except Exception:  # pylint: disable=broad-except
            traceback.print_exc()
            failed.append(name)
    print(f"{len(names) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0
