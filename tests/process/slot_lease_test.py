"""Slots end with their relay: an entry that stops, an agent that starts anew."""

import json
import os
import signal
import sys
import threading

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

# The natural length of an answer depends on its prompt, so several are sent.
REQUESTS = 8
LEASE_LIMIT_S = 10


def send(fleet, entry, number, answers):
    body = json.dumps({"model": "drafter", "prompt": f"record {number} " * 50,
                       "max_tokens": 4000, "stream": False})
    headers = {"Authorization": "Bearer " + fleet.keys["oshana"]}
    try:
        answers.append(call_http("POST", fleet.entry_urls()[entry] + "/v1/completions", body,
                            headers, timeout=25)[0])
    except OSError as fault:
        answers.append(str(fault))


def start_requests(fleet, entry, answers):
    for number in range(REQUESTS):
        threading.Thread(target=send, args=(fleet, entry, number, answers),
                         daemon=True).start()
    wait_for(lambda: engine_running(fleet, "decode-1") >= REQUESTS / 2,
             "the engine to be busy")


def engine_running(fleet, name):
    url = f"http://127.0.0.1:{fleet.backends[name].port}/requests"
    return len(json.loads(call_http("GET", url)[2]))


def check_paused_entry(fleet):
    """A paused entry renews nothing: its slots and the engine's work end without it."""
    entry = fleet.processes["entry-1"]
    start_requests(fleet, 0, [])
    entry.send_signal(signal.SIGSTOP)
    try:
        wait_for(lambda: fleet.agent_load("decode-1")["used"] == 0 and
                 engine_running(fleet, "decode-1") == 0,
                 "the paused entry's slots to be free", LEASE_LIMIT_S)
    finally:
        entry.send_signal(signal.SIGCONT)


def start_orphan(fleet, name):
    """Gives the engine work behind its agent's back, as a lost agent leaves it."""
    url = f"http://127.0.0.1:{fleet.backends[name].port}/v1/completions"
    body = json.dumps({"model": "drafter", "prompt": "orphan", "max_tokens": 4000})

    def call():
        try:
            call_http("POST", url, body, {"x-request-id": "orphan.1"}, timeout=25)
        except OSError:
            pass

    threading.Thread(target=call, daemon=True).start()
    wait_for(lambda: engine_running(fleet, name) > 0, "the engine to run it")


def is_ready(fleet, name):
    try:
        return call_http("GET", fleet.agent_url(name) + "/readyz")[0] == 200
    except OSError:
        return False


def check_restarted_agent(fleet):
    """A new agent finds its engine busy for nobody, and cancels that before it serves."""
    agent = fleet.processes["decode-1"]
    port = agent.port
    agent.send_signal(signal.SIGKILL)
    agent.child.wait(10)
    start_orphan(fleet, "decode-1")
    domain = next(domain for name, _, domain in fleet.agents if name == "decode-1")
    fleet.launch_agent("decode-1", "decode", domain, port).await_port()
    wait_for(lambda: is_ready(fleet, "decode-1"), "the new agent to be ready", 10)
    if engine_running(fleet, "decode-1") != 0:
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
