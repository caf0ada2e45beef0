"""Pauses an entry and restarts an agent while an engine is busy.

Guards against slots and engine requests that outlive the entry that relays their answers, and
against a restarted agent that is ready before it has cancelled orphans at its engine.
"""

import json
import os
import signal
import sys
import threading

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

# Several requests are sent, because the length of an answer depends on its prompt and a short
# answer may already have ended.
REQUESTS = 8
LEASE_TIMEOUT_S = 10  # A lease that is not renewed ends after 3 s.


def send_completion(fleet, entry, number, answers):
    body = json.dumps({"model": "drafter", "prompt": f"record {number} " * 50,
                       "max_tokens": 4000, "stream": False})
    headers = {"Authorization": "Bearer " + fleet.keys["oshana"]}
    try:
        answers.append(call_http("POST", fleet.entry_urls()[entry] + "/v1/completions", body,
                                 headers, timeout=25)[0])
    except OSError as error:
        answers.append(str(error))


def start_requests(fleet, entry, answers):
    for number in range(REQUESTS):
        threading.Thread(target=send_completion, args=(fleet, entry, number, answers),
                         daemon=True).start()
    wait_for(lambda: count_engine_requests(fleet, "decode-1") >= REQUESTS / 2,
             "the engine to be busy")


def count_engine_requests(fleet, name):
    url = f"http://127.0.0.1:{fleet.backends[name].port}/requests"
    return len(json.loads(call_http("GET", url)[2]))


def check_paused_entry(fleet):
    """The slots and engine requests of a paused entry must end, as it renews no lease."""
    entry = fleet.processes["entry-1"]
    start_requests(fleet, 0, [])
    entry.send_signal(signal.SIGSTOP)
    try:
        wait_for(lambda: fleet.agent_load("decode-1")["used"] == 0 and
                 count_engine_requests(fleet, "decode-1") == 0,
                 "the paused entry's slots to be free", LEASE_TIMEOUT_S)
    finally:
        entry.send_signal(signal.SIGCONT)


def start_orphan(fleet, name):
    """Sends a request directly to the engine, like one that a killed agent left."""
    url = f"http://127.0.0.1:{fleet.backends[name].port}/v1/completions"
    body = json.dumps({"model": "drafter", "prompt": "orphan", "max_tokens": 4000})

    def send_to_engine():
        try:
            call_http("POST", url, body, {"x-request-id": "orphan.1"}, timeout=25)
        except OSError:
            pass

    threading.Thread(target=send_to_engine, daemon=True).start()
    wait_for(lambda: count_engine_requests(fleet, name) > 0, "the engine to run the orphan")


def is_ready(fleet, name):
    try:
        return call_http("GET", fleet.agent_url(name) + "/readyz")[0] == 200
    except OSError:
        return False


def check_restarted_agent(fleet):
    """A restarted agent must cancel orphans at its engine before it is ready."""
    agent = fleet.processes["decode-1"]
    port = agent.port
    agent.send_signal(signal.SIGKILL)
    agent.child.wait(10)
    start_orphan(fleet, "decode-1")
    domain = next(domain for name, _, domain in fleet.agents if name == "decode-1")
    fleet.launch_agent("decode-1", "decode", domain, port).await_port()
    wait_for(lambda: is_ready(fleet, "decode-1"), "the new agent to be ready", 10)
    if count_engine_requests(fleet, "decode-1") != 0:
        raise AssertionError("the agent is ready while its engine runs an orphan")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "slot-lease"), entries=2, prefill=1, decode=1,
               services=0, engine_options=("--step-ms", "60")) as fleet:
        fleet.configure(("oshana",))
        check_restarted_agent(fleet)
        fleet.await_ready()
        check_paused_entry(fleet)
    return 0


if __name__ == "__main__":
    sys.exit(main())
