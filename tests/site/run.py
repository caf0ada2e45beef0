"""Runs the test functions of a module, each in its own directory, and prints the results."""

import os
import sys
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../fakes"))


def main(functions):
    build = sys.argv[1]
    names = sys.argv[2:] or sorted(name for name in functions if name.startswith("test_"))
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
