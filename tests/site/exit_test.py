"""Stops an entry while its store fails, and checks that its process ends in its time."""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import wait_for  # noqa: E402
from stop_test import GRACE_S, StoppedEntry, slow_streams, start_loaded_site  # noqa: E402

SHORTLY_BEFORE_THE_END_S = 7


def record_targets(store):
    """Returns the last target of each connection to the store, by its writer."""
    targets, answer = {}, store.handle_request

    async def record(request, reader, writer):
        targets[writer] = request.target
        return await answer(request, reader, writer)
    store.handle_request = record
    return targets


async def lose_link(store, targets):
    """Closes the idle connections; the watches stay open, and no handshake is answered."""
    store.mode = "silent"
    for writer, target in targets.items():
        if "watch=" not in target:
            writer.close()
    store.listener.close()
    address = store.listener_address
    backlog = [socket.socket()]
    backlog[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    backlog[0].bind(address)
    backlog[0].listen(0)
    for _ in range(4):
        backlog.append(socket.socket())
        backlog[-1].setblocking(False)
        backlog[-1].connect_ex(address)
    return backlog


def test_a_lost_link_to_the_store_does_not_hold_the_exit(build, directory):
    """Guards against store calls whose handshakes take the process beyond its grace period."""
    site, callers = start_loaded_site(build, directory, [("/draft/a", "500,40")], 6)
    backlog = []
    try:
        targets = record_targets(site.store)
        wait_for(lambda: any("agateseam-entries" in target for target in targets.values()),
                 "the entries to be read")
        slow_streams(site, 2)
        site.store.listener_address = site.store.listener.sockets[0].getsockname()
        stop = StoppedEntry(site, 0)
        time.sleep(SHORTLY_BEFORE_THE_END_S)
        backlog = site.run_coroutine(lose_link(site.store, targets))
        code = stop.wait()
        took_s = stop.gone_at - stop.signalled_at
        slow_streams(site, 0.01)
        callers.stop()
        stopped = site.entries[0].log_lines("stopped")
        check(code in (0, 1) and took_s < GRACE_S, f"exit code {code} after {took_s:.2f} s")
        check(len(stopped) == 1, stopped)
    finally:
        for each in backlog:
            each.close()
        site.close()


if __name__ == "__main__":
    sys.exit(run.main(globals()))
