"""Kills engines and agents while requests are in each phase.

Guards against answers that are cut, crossed or repeated, and against slots or engine requests
that stay held afterwards.
"""

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
# The prefill is slow, so that requests wait for it when a process is killed.
ENGINE_OPTIONS = ("--step-ms", "20", "--prefill-rate", "20000")


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def write_addresses(fleet):
    path = os.path.join(fleet.directory, "addresses.json")
    with open(path, "w") as file:
        json.dump({"entries": fleet.entry_urls(), "keys": fleet.keys}, file)
    return path


def start_load(fleet, seed):
    command = [fleet.program_path("load"), "--addresses", write_addresses(fleet),
               "--requests", str(REQUESTS), "--concurrency", "20", "--booking-share", "0",
               "--output-tokens", str(OUTPUT_TOKENS), "--seed", str(seed)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def kill(process):
    process.child.send_signal(signal.SIGKILL)
    process.child.wait()


def list_engine_requests(fleet, name):
    url = f"http://127.0.0.1:{fleet.backends[name].port}/requests"
    return json.loads(call_http("GET", url)[2])


def test_kill(fleet, name, process_name, seed):
    load = start_load(fleet, seed)
    wait_for(lambda: list_engine_requests(fleet, name), f"a request at {name}", 10)
    kill(fleet.processes[process_name])
    output, _ = load.communicate(timeout=60)
    outcome = json.loads(output)
    message = f"{process_name} killed: {outcome}"
    check(outcome["cut"] == 0 and outcome["crossed"] == 0, message)
    check(outcome["whole"] == REQUESTS, message)


def restart_agent(fleet, name):
    agent = next(item for item in fleet.agents if item[0] == name)
    port = fleet.processes[name].port
    fleet.launch_agent(*agent, port=port).await_port()


def restart_engine(fleet, name):
    port = fleet.backends[name].port
    fleet.backends[name] = fleet.launch(
        "backend-" + name, [fleet.program_path("engine_fake"), "--port", str(port),
                            *ENGINE_OPTIONS])
    fleet.backends[name].await_port()


def await_recovery(fleet):
    """Waits until every agent accepts work, and two heartbeats more for the entries."""
    wait_for(lambda: not any(fleet.agent_load(name)["leaving"] for name, _, _ in fleet.agents),
             "all agents to accept work", 5)
    time.sleep(2 * HEARTBEAT_S)


def read_counter(url, name):
    text = call_http("GET", url + "/metrics")[2].decode()
    return sum(float(line.split()[1]) for line in text.splitlines()
               if line.startswith(name + " "))


def stream_with_kill(fleet, kill_after_parts):
    """Kills the decode engine during a streamed answer; returns the ids in the answer."""
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
            event = json.loads(line[6:])
            ids.add(event["id"])
            texts.append(event["choices"][0]["text"])
            if len(texts) == kill_after_parts:
                decode_agent = next(name for name, kind, _ in fleet.agents
                                    if kind == "decode" and list_engine_requests(fleet, name))
                kill(fleet.processes["backend-" + decode_agent])
                killed_agent = decode_agent
    restart_engine(fleet, killed_agent)
    return ids


def test_attempts(fleet):
    """An agent reports the outcome of an attempt and refuses to run it again."""
    url = fleet.agent_url("decode-1")
    secret = {"x-agateseam-fleet": FLEET_SECRET}
    check(call_http("GET", url + "/agent/attempts/none/1", headers=secret)[0] == 404,
          "an unknown attempt was found")
    check(call_http("GET", url + "/agent/attempts/none/1")[0] == 401,
          "an attempt was shown without the secret")
    order = {"request": "test-1", "attempt": 1, "workspace": "oshana", "weight": 1,
             "method": "POST", "path": "/v1/completions", "idempotency_key": "",
             "repeatable": True, "prefill_vm": "prefill-1",
             "prefill_address": f"127.0.0.1:{fleet.processes['prefill-1'].port}",
             "prompt_tokens": 3, "output_tokens": 2, "resume_from": 0, "deadline_ms": 5000}
    request_headers = {**secret, "x-agateseam-attempt": json.dumps(order)}
    body = json.dumps({"model": "drafter", "prompt": "x", "max_tokens": 2})
    status, _, answer = call_http("POST", url + "/agent/decode", body, request_headers)
    check(status == 200 and b"[DONE]" in answer, answer)
    check(call_http("POST", url + "/agent/decode", body, request_headers)[0] == 409,
          "a repeated attempt was not refused")
    status, _, answer = call_http("GET", url + "/agent/attempts/test-1/1", headers=secret)
    outcome = json.loads(answer)
    check(status == 200 and outcome["ended"] and outcome["run"] == "ran", outcome)


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-resume"), entries=2, prefill=2, decode=3,
               services=1, engine_options=ENGINE_OPTIONS) as fleet:
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
        check(len(stream_with_kill(fleet, 5)) == 1,
              "the resumed answer does not have exactly one id")
        resumed = sum(read_counter(url, "agateseam_resumed_total") for url in fleet.entry_urls())
        check(resumed > 0, "no answer was resumed")
        wait_for(lambda: fleet.occupied_slots() == 0, "all slots to be free", 10)
        for name, kind, _ in fleet.agents:
            if kind != "service":
                wait_for(lambda: not list_engine_requests(fleet, name), f"{name} to hold nothing",
                         5)


if __name__ == "__main__":
    main()
