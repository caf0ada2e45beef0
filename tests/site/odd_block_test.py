"""Tests entries whose store has another writer's object where they store a block of prompt parts."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from crash_test import Drill  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import wait_for  # noqa: E402


KIND = "agateseam-part-blocks"
NESTED = "[" * 1_000 + "]" * 1_000
ODD_OBJECTS = [{}, {"metadata": None}, {"metadata": []}, {"metadata": {"name": 5}}, [], "text",
               {"metadata": {"name": "a", "revision": "x"}, "spec": NESTED}]


def block_reads(site):
    return sum(method == "GET" and target.startswith(f"/v1/objects/{KIND}/")
               for method, target in list(site.store.calls))


def test_an_odd_object_in_place_of_a_block_stops_no_entry(build, directory):
    """Guards against an entry that ends, or stores no blocks any more, when another writer's object
    stands where it stores one."""
    for number, odd in enumerate(ODD_OBJECTS):
        with Drill(build, os.path.join(directory, str(number)), entries=2) as drill:
            store = drill.site.store
            store.raw_texts[NESTED] = NESTED.encode()
            store.odd_objects[KIND] = odd
            drill.start_callers()
            wait_for(lambda: block_reads(drill.site) >= 2, "a block to be written twice", 20)
            ended = [entry.name for entry in drill.site.entries if entry.process.poll() is not None]
            check(not ended, odd, ended)
            check(not store.objects_by_kind.get(KIND), odd)
            store.odd_objects.clear()
            wait_for(lambda: store.objects_by_kind.get(KIND), f"a block after {odd}", 10)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
