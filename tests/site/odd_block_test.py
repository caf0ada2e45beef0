"""Tests entries whose store has another writer's object where they store a block of prompt parts."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from crash_test import Drill  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import wait_for  # noqa: E402


def stored_blocks(site):
    return site.store.objects_by_kind.get("agateseam-part-blocks", {})


def test_an_odd_object_in_place_of_a_block_stops_no_entry(build, directory):
    """Guards against an entry that ends, or stores no blocks any more, when another writer's object
    stands where it stores one."""
    with Drill(build, os.path.join(directory, "learn")) as drill:
        drill.start_callers()
        wait_for(lambda: stored_blocks(drill.site), "a block to be stored", 15)
        names = list(stored_blocks(drill.site))
    nested = "[" * 1_000 + "]" * 1_000
    odd_objects = [{}, {"metadata": None}, {"metadata": []}, {"metadata": {"name": 5}}, [], "text",
                   {"metadata": {"name": names[0], "revision": "x"}, "spec": nested}]
    for number, odd in enumerate(odd_objects):
        with Drill(build, os.path.join(directory, str(number)), entries=2) as drill:
            drill.site.store.raw_texts[nested] = nested.encode()
            drill.site.store.odd_answers = {f"/v1/objects/agateseam-part-blocks/{name}": odd
                                            for name in names}
            drill.start_callers()
            wait_for(lambda: any(target in drill.site.store.odd_answers
                                 for _, target in list(drill.site.store.calls)),
                     "the block to be written", 15)
            time.sleep(2)
            ended = [entry.name for entry in drill.site.entries if entry.process.poll() is not None]
            check(not ended, odd, ended)
            drill.site.store.odd_answers = {}
            wait_for(lambda: any(name in names for name in stored_blocks(drill.site)),
                     f"the block to be stored after {odd}", 5)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
