"""Tests that a service behind the daemon learns after which event its caller resumes a stream."""

import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http  # noqa: E402
from odd_answer_test import Backend, check  # noqa: E402

SERVICES = 2


class ResumedFleet(Fleet):
    """A fleet whose agents call their services through `Backend`."""

    def __init__(self, build, directory):
        super().__init__(build, directory, entries=1, prefill=1, decode=1, services=SERVICES)

    def start_backends(self):
        super().start_backends()
        self.backends = {name: Backend(process.port) for name, process in self.backends.items()}
        self.services = [backend for name, backend in self.backends.items()
                         if name.startswith("service")]

    def call(self, path, last_event, key=None):
        headers = {"Authorization": "Bearer " + self.keys["oshana"],
                   "Content-Type": "application/json"}
        if last_event is not None:
            headers["Last-Event-Id"] = last_event
        if key:
            headers["Idempotency-Key"] = key
        return call_http("POST", self.entry_urls()[0] + path, b"{}", headers, timeout=30)[0]

    def last_events(self, path):
        """Returns the `Last-Event-Id` of each call that reached a service, and clears them."""
        found = []
        for backend in self.services:
            for head in backend.heads:
                if path in head.split("\r\n", 1)[0]:
                    lines = [line.split(": ", 1)[1] for line in head.split("\r\n")
                             if line.lower().startswith("last-event-id:")]
                    found.append(lines[0] if lines else None)
            backend.heads.clear()
        return found


def test_each_attempt_names_the_last_event(fleet):
    """Guards against a stream that begins anew, so that its caller gets events twice."""
    for path in ("/orders/a", "/booking/a"):
        check(fleet.call(path, "7-b") == 200, path)
        check(fleet.last_events(path) == ["7-b"], path)
        check(fleet.call(path, None) == 200, path)
        check(fleet.last_events(path) == [None], path)
    # A call that comes to the first service's agent is repeated at the other one.
    fleet.services[0].listener.shutdown(socket.SHUT_RDWR)
    fleet.services[0].listener.close()
    for _ in range(6):
        check(fleet.call("/orders/a", "8") == 200)
    check(fleet.last_events("/orders/a") == ["8"] * 6)


def test_a_recorded_answer_is_not_the_rest_of_a_stream(fleet):
    """Guards against the whole recorded answer for a caller that has the first events of it."""
    check(fleet.call("/booking/a", None, "key-1") == 200)
    check(fleet.call("/booking/a", None, "key-1") == 200)
    check(fleet.last_events("/booking/a") == [None])
    resumed = fleet.call("/booking/a", "7", "key-1")
    check(400 <= resumed < 500, resumed)
    check(fleet.last_events("/booking/a") == [])


def main():
    build = sys.argv[1]
    failed = 0
    for test in (test_each_attempt_names_the_last_event,
                 test_a_recorded_answer_is_not_the_rest_of_a_stream):
        with ResumedFleet(build, os.path.join(build, "test-resumed-calls",
                                              test.__name__)) as fleet:
            fleet.configure(("oshana",))
            try:
                test(fleet)
                print("ok", test.__name__, flush=True)
            except AssertionError as wrong:
                print("FAILED", test.__name__, wrong, flush=True)
                failed += 1
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
