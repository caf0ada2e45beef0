"""Lets runs fail at services and checks what the answers say about them.

Guards against an answer that says `not_run` although one of its attempts may have run.
"""

import json
import os
import signal
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import FLEET_SECRET, Fleet, call_http, wait_for  # noqa: E402

SLOTS = 20  # of an agent of the fleet
ORDER_DEADLINE_MS = 6_000
SERVICE_DELAY_MS = 1_000


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def occupy_all_slots(fleet, name):
    """Fills the slots of a service's agent with calls that its stopped backend holds."""
    fleet.backends[name].send_signal(signal.SIGSTOP)

    def hold_slot(number):
        order = {"request": f"occupy-{number}", "attempt": 1, "workspace": "oshana", "weight": 1,
                 "method": "POST", "path": "/orders/held", "idempotency_key": "",
                 "repeatable": True, "prefill_vm": "", "prefill_address": "",
                 "prompt_tokens": 0, "output_tokens": 0, "resume_from": 0,
                 "deadline_ms": ORDER_DEADLINE_MS}
        call_http("POST", fleet.agent_url(name) + "/agent/service", "{}",
                  {"x-agateseam-fleet": FLEET_SECRET, "x-agateseam-attempt": json.dumps(order)})

    threads = [threading.Thread(target=hold_slot, args=(number,)) for number in range(SLOTS)]
    for thread in threads:
        thread.start()
    wait_for(lambda: fleet.agent_load(name)["used"] == SLOTS, f"{name} to be full", 3)
    return threads


def test_a_refused_second_attempt_does_not_hide_the_first(fleet):
    service = f"http://127.0.0.1:{fleet.backends['service-1'].port}"

    def has_run():
        runs = json.loads(call_http("GET", service + "/admin/runs")[2])
        return any(run["path"] == "/orders/weekly" for run in runs)

    def send_order():
        status, headers, _ = call_http("POST", fleet.entry_urls()[0] + "/orders/weekly", "{}",
                                       {"Authorization": "Bearer " + fleet.keys["oshana"]})
        answers.append((status, headers.get("x-agateseam-run")))

    answers = []
    holders = occupy_all_slots(fleet, "service-2")
    caller = threading.Thread(target=send_order)
    caller.start()
    wait_for(has_run, "the call to run at service-1", 3)
    fleet.processes["service-1"].child.kill()
    caller.join()
    fleet.backends["service-2"].send_signal(signal.SIGCONT)
    for holder in holders:
        holder.join()
    check(answers == [(502, "unknown")], f"unexpected answer to a call that ran: {answers}")


class FailingEngine(BaseHTTPRequestHandler):
    """An engine that runs each request and fails before its first token."""

    protocol_version = "HTTP/1.1"
    status, runs = 200, 0

    def do_GET(self):  # pylint: disable=invalid-name
        self.answer(200, b"[]")

    def do_POST(self):  # pylint: disable=invalid-name
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/v1/completions":
            FailingEngine.runs += 1
            self.answer(FailingEngine.status, b"")
        else:
            self.answer(200, b"{}")

    def answer(self, status, body):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def test_a_failed_engine_may_have_run_the_request(fleet):
    """Guards against `not_run` for a request that an engine began and did not finish."""
    backend = fleet.backends["decode-1"]
    backend.child.kill()
    backend.child.wait()
    engine = ThreadingHTTPServer(("127.0.0.1", backend.port), FailingEngine)
    threading.Thread(target=engine.serve_forever, daemon=True).start()
    body = json.dumps({"model": "drafter", "prompt": "promise", "max_tokens": 4})
    answers = {}
    try:
        for status in (200, 500):
            FailingEngine.status, FailingEngine.runs = status, 0
            answer = call_http("POST", fleet.entry_urls()[0] + "/v1/completions", body,
                               {"Authorization": "Bearer " + fleet.keys["oshana"]})
            answers[status] = (answer[0], answer[1].get("x-agateseam-run"), FailingEngine.runs)
    finally:
        engine.shutdown()
        engine.server_close()
    check(all(runs > 0 for _, _, runs in answers.values()), f"no run: {answers}")
    check(all(run != "not_run" for _, run, _ in answers.values()), f"false promise: {answers}")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-promise"), entries=1, prefill=1, decode=1,
               services=2, limits={"attempts": 2},
               service_options=("--delay-ms", str(SERVICE_DELAY_MS))) as fleet:
        fleet.configure(["oshana"])
        test_a_failed_engine_may_have_run_the_request(fleet)
        test_a_refused_second_attempt_does_not_hide_the_first(fleet)


if __name__ == "__main__":
    main()
