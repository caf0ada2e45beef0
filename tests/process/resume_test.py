"""Engines and agents killed with SIGKILL while requests are in each phase: every answer is
whole, none is cut, crossed or repeated, and nothing stays held."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import FLEET_SECRET, Fleet, call_http, wait_for  # noqa: E402

REQUESTS = 80
OUTPUT_TOKENS = 30
HEARTBEAT_S = 0.5
# Slow prefill, so that a kill meets requests that wait for it.
ENGINE = ("--step-ms", "20", "--prefill-rate", "20000")


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def addresses(fleet):
    path = os.path.join(fleet.directory, "addresses.json")
    with open(path, "w") as file:
        json.dump({"entries": fleet.entry_urls(), "keys": fleet.keys}, file)
    return path


def start_load(fleet, seed):
    command = [fleet.program_path("load"), "--addresses", addresses(fleet),
               "--requests", str(REQUESTS), "--concurrency", "20", "--booking-share", "0",
               "--output-tokens", str(OUTPUT_TOKENS), "--seed", str(seed)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def kill(process):
    process.child.send_signal(signal.SIGKILL)
    process.child.wait()


def running(fleet, name):
    url = f"http://127.0.0.1:{fleet.backends[name].port}/requests"
    return json.loads(call_http("GET", url)[2])


def test_kill(fleet, name, victim, seed):
    load = start_load(fleet, seed)
    wait_for(lambda: running(fleet, name), f"work at {name}", 10)
    kill(fleet.processes[victim])
    out, _ = load.communicate(timeout=60)
    outcome = json.loads(out)
    what = f"{victim} killed: {outcome}"
    check(outcome["cut"] == 0 and outcome["crossed"] == 0, what)
    check(outcome["whole"] == REQUESTS, what)


def restart_agent(fleet, name):
    index = next(item for item in fleet.agents if item[0] == name)
    port = fleet.processes[name].port
    fleet.launch_agent(*index, port=port).await_port()


def restart_engine(fleet, name):
    port = fleet.backends[name].port
    fleet.backends[name] = fleet.launch(
        "backend-" + name, [fleet.program_path("engine_fake"), "--port", str(port), *ENGINE])
    fleet.backends[name].await_port()


def await_recovery(fleet):
    """Waits until every agent takes work, and for two heartbeats more, so that all know."""
    wait_for(lambda: not any(fleet.agent_load(name)["leaving"] for name, _, _ in fleet.agents),
             "all agents to take work", 5)
    time.sleep(2 * HEARTBEAT_S)


def counter(url, name):
    text = call_http("GET", url + "/metrics")[2].decode()
    return sum(float(line.split()[1]) for line in text.splitlines()
               if line.startswith(name + " "))


def stream_ids(fleet, kill_at):
    """Returns the ids of one streamed answer whose decode engine dies in the middle."""
    body = json.dumps({"model": "drafter", "prompt": "one id " * 9, "stream": True,
                       "max_tokens": OUTPUT_TOKENS})
    request = urllib.request.Request(
        fleet.entry_urls()[0] + "/v1/completions", body.encode(),
        {"Authorization": "Bearer " + fleet.keys["oshana"]})
    ids, texts = set(), []
    with urllib.request.urlopen(request, timeout=20) as answer:
        for line in answer:
            if not line.startswith(b"data: {"):
                continue
            chunk = json.loads(line[6:])
            ids.add(chunk["id"])
            texts.append(chunk["choices"][0]["text"])
            if len(texts) == kill_at:
                holder = next(name for name, kind, _ in fleet.agents
                              if kind == "decode" and running(fleet, name))
                kill(fleet.processes["backend-" + holder])
                killed = holder
    restart_engine(fleet, killed)
    return ids


def test_attempts(fleet):
    """An agent tells what became of an attempt, and runs none twice."""
    url = fleet.agent_url("decode-1")
    secret = {"x-agateseam-fleet": FLEET_SECRET}
    check(call_http("GET", url + "/agent/attempts/none/1", headers=secret)[0] == 404, "unknown")
    check(call_http("GET", url + "/agent/attempts/none/1")[0] == 401, "without the secret")
    order = {"request": "test-1", "attempt": 1, "workspace": "oshana", "weight": 1,
             "method": "POST", "path": "/v1/completions", "idempotency_key": "",
             "repeatable": True, "prefill_vm": "prefill-1",
             "prefill_address": f"127.0.0.1:{fleet.processes['prefill-1'].port}",
             "prompt_tokens": 3, "output_tokens": 2, "resume_from": 0, "deadline_ms": 5000}
    head = {**secret, "x-agateseam-attempt": json.dumps(order)}
    body = json.dumps({"model": "drafter", "prompt": "x", "max_tokens": 2})
    status, _, answer = call_http("POST", url + "/agent/decode", body, head)
    check(status == 200 and b"[DONE]" in answer, answer)
    check(call_http("POST", url + "/agent/decode", body, head)[0] == 409, "ran twice")
    status, _, answer = call_http("GET", url + "/agent/attempts/test-1/1", headers=secret)
    outcome = json.loads(answer)
    check(status == 200 and outcome["ended"] and outcome["run"] == "ran", outcome)


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-resume"), entries=2, prefill=2, decode=3,
               services=1, engine_options=ENGINE) as fleet:
        fleet.configure(("oshana", "swakop"))
        test_attempts(fleet)
        test_kill(fleet, "decode-1", "backend-decode-1", 1)
        restart_engine(fleet, "decode-1")
        await_recovery(fleet)
        test_kill(fleet, "decode-2", "decode-2", 2)
        restart_agent(fleet, "decode-2")
        await_recovery(fleet)
        test_kill(fleet, "prefill-1", "backend-prefill-1", 3)
        restart_engine(fleet, "prefill-1")
        await_recovery(fleet)
        test_kill(fleet, "prefill-2", "prefill-2", 4)
        restart_agent(fleet, "prefill-2")
        await_recovery(fleet)
        check(len(stream_ids(fleet, 5)) == 1, "one id over a resumed answer")
        resumed = sum(counter(url, "agateseam_resumed_total") for url in fleet.entry_urls())
        check(resumed > 0, "no answer was resumed")
        wait_for(lambda: fleet.occupied_slots() == 0, "all slots to be free", 10)
        for name, kind, _ in fleet.agents:
            if kind != "service":
                wait_for(lambda: not running(fleet, name), f"{name} to hold nothing", 5)


if __name__ == "__main__":
    main()
