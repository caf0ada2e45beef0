"""Injects faults into a running fleet and ends each of them; the seed is recorded."""

import json
import signal
import time
import urllib.error

from fleet import OPERATOR_TOKEN, call_http

FAULT_DURATION_S = 4.0  # longer than every lease between the processes


class Faults:
    """Injects faults by kind; each kind is the name of a method."""

    def __init__(self, fleet, random_source):
        self.fleet = fleet
        self.random = random_source
        self.log = []
        self.withdrawal_times_s = []  # until every entry refused the key

    KINDS = ("kill_agent", "kill_engine", "kill_entry", "pause_agent", "pause_entry",
             "pause_engine", "store_down", "store_slow", "store_loses_answers",
             "stall_transfers", "agent_leaves", "entry_leaves", "racing_operators",
             "withdraw_key")

    def inject(self, kind):
        started_at = time.monotonic()
        try:
            getattr(self, kind)()
            note = "done"
        except Exception as failure:  # the run continues and the log records the exception
            note = repr(failure)
        self.log.append({"fault": kind, "begun": started_at, "ended": time.monotonic(),
                         "note": note})

    def random_agent(self, *kinds):
        names = [name for name, kind, _ in self.fleet.agents if kind in (kinds or (kind,))]
        return self.random.choice(names)

    def random_model_agent(self):
        return self.random_agent("prefill", "decode")

    def kill_process(self, name):
        process = self.fleet.processes[name]
        process.child.kill()
        process.child.wait()
        return process

    def restart_process(self, name):
        """Restarts an ended program with the same command line and port."""
        previous = self.fleet.processes[name]
        command = list(previous.command)
        if name.startswith("backend-"):
            command += ["--port", str(previous.port)]
        else:
            path = command[-1]
            with open(path) as file:
                settings = json.load(file)
            settings["listen"]["port"] = previous.port
            with open(path, "w") as file:
                json.dump(settings, file, indent=2)
        port = previous.port
        process = self.fleet.launch(name, command)
        process.port = port
        if name.startswith("backend-"):
            self.fleet.backends[name.removeprefix("backend-")] = process

    def kill_agent(self):
        name = self.random_agent()
        self.kill_process(name)
        time.sleep(2)
        self.restart_process(name)

    def kill_engine(self):
        name = "backend-" + self.random_model_agent()
        self.kill_process(name)
        time.sleep(2)
        self.restart_process(name)

    def kill_entry(self):
        name = self.random.choice(self.fleet.entries)
        self.kill_process(name)
        time.sleep(2)
        self.restart_process(name)

    def pause_process(self, name):
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(FAULT_DURATION_S)
        process.send_signal(signal.SIGCONT)

    def pause_agent(self):
        self.pause_process(self.random_agent())

    def pause_entry(self):
        self.pause_process(self.random.choice(self.fleet.entries))

    def pause_engine(self):
        self.pause_process("backend-" + self.random_model_agent())

    def inject_store_fault(self, **fault):
        url = self.fleet.platform_url() + "/admin/faults"
        call_http("PUT", url, json.dumps(fault))
        time.sleep(FAULT_DURATION_S)
        call_http("PUT", url, json.dumps({"mode": "ok"}))

    def store_down(self):
        self.inject_store_fault(mode="down")

    def store_slow(self):
        self.inject_store_fault(mode="slow", delay_ms=1500)

    def store_loses_answers(self):
        self.inject_store_fault(mode="lose_answers", share=0.5,
                                seed=self.random.randint(1, 1 << 30))

    def stall_transfers(self):
        name = self.random_agent("prefill")
        url = f"http://127.0.0.1:{self.fleet.backends[name].port}/admin/faults"
        call_http("PUT", url, json.dumps({"stall_transfers": True}))
        time.sleep(2)
        call_http("PUT", url, json.dumps({"stall_transfers": False}))

    def stop_and_restart(self, name):
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGTERM)
        code = process.child.wait(40)
        self.restart_process(name)
        if code != 0:
            raise RuntimeError(f"{name} exited with code {code}")

    def agent_leaves(self):
        self.stop_and_restart(self.random_agent())

    def entry_leaves(self):
        self.stop_and_restart(self.random.choice(self.fleet.entries))

    def patch(self, url, against, patch):
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN,
                   "Content-Type": "application/json"}
        return call_http("PATCH", f"{url}/operator/config?against={against}", json.dumps(patch),
                         headers)

    def read_config(self, url):
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN}
        status, _, body = call_http("GET", url + "/operator/config", headers=headers)
        if status != 200:
            raise RuntimeError(f"reading the configuration failed with status {status}")
        return json.loads(body)

    def racing_operators(self):
        """Sends two patches against the same number; at most one may be accepted."""
        urls = self.fleet.entry_urls()
        number = self.read_config(urls[0])["number"]
        weights = [round(self.random.uniform(0.5, 2), 3) for _ in range(2)]
        answers = [self.patch(urls[index % len(urls)], number,
                              {"policy": {"cache_weight": weight}})[0]
                   for index, weight in enumerate(weights)]
        if answers.count(200) > 1:
            raise AssertionError(f"both patches against one number were accepted: {answers}")

    def withdraw_key(self):
        """Creates and withdraws a key and measures the time until every entry refuses it."""
        urls = self.fleet.entry_urls()
        workspace = sorted(self.fleet.keys)[0]
        code, output = self.fleet.run_cli("key", "create", workspace, check=False)
        if code != 0:
            raise RuntimeError("the key was not created")
        key = output.split()[-1].strip()
        headers = {"Authorization": "Bearer " + key}
        code, _ = self.fleet.run_cli("key", "withdraw", workspace, key.split("_")[1], check=False)
        if code != 0:
            raise RuntimeError("the key was not withdrawn")
        started_at = time.monotonic()
        admitting_urls = set(urls)
        while admitting_urls and time.monotonic() - started_at < 20:
            for url in sorted(admitting_urls):
                try:
                    if call_http("GET", url + "/v1/models", headers=headers, timeout=2)[0] == 401:
                        admitting_urls.discard(url)
                except (OSError, urllib.error.URLError):
                    admitting_urls.discard(url)  # an entry that is down admits no request
            time.sleep(0.05)
        self.withdrawal_times_s.append(time.monotonic() - started_at)
