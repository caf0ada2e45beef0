"""Faults against a running fleet, each with its end; drawn from a recorded seed."""

import json
import signal
import time
import urllib.error

from fleet import OPERATOR_TOKEN, http

PAUSE_S = 4.0  # past every lease between our processes


class Faults:
    """Causes one fault at a time, or two at once."""

    def __init__(self, fleet, source):
        self.fleet = fleet
        self.random = source
        self.log = []
        self.withdrawals = []  # seconds until every entry refused the key

    KINDS = ("kill_agent", "kill_engine", "kill_entry", "pause_agent", "pause_entry",
             "pause_engine", "store_down", "store_slow", "store_loses_answers",
             "stall_transfers", "agent_leaves", "entry_leaves", "racing_operators",
             "withdraw_key")

    def cause(self, kind):
        begun = time.monotonic()
        try:
            getattr(self, kind)()
            note = "done"
        except Exception as fault:  # a fault run goes on; the log shows what was missed
            note = repr(fault)
        self.log.append({"fault": kind, "begun": begun, "ended": time.monotonic(),
                         "note": note})

    def agent(self, *kinds):
        names = [name for name, kind, _ in self.fleet.agents if kind in (kinds or (kind,))]
        return self.random.choice(names)

    def model_agent(self):
        return self.agent("prefill", "decode")

    def kill(self, name):
        process = self.fleet.processes[name]
        process.child.kill()
        process.child.wait()
        return process

    def restart(self, name):
        """Starts a killed program again with the same command line and port."""
        old = self.fleet.processes[name]
        command = list(old.command)
        if name.startswith("backend-"):
            command += ["--port", str(old.port)]
        else:
            path = command[-1]
            with open(path) as file:
                settings = json.load(file)
            settings["listen"]["port"] = old.port
            with open(path, "w") as file:
                json.dump(settings, file, indent=2)
        port = old.port
        process = self.fleet.launch(name, command)
        process.port = port
        if name.startswith("backend-"):
            self.fleet.backends[name.removeprefix("backend-")] = process

    def kill_agent(self):
        name = self.agent()
        self.kill(name)
        time.sleep(2)
        self.restart(name)

    def kill_engine(self):
        name = "backend-" + self.model_agent()
        self.kill(name)
        time.sleep(2)
        self.restart(name)

    def kill_entry(self):
        name = self.random.choice(self.fleet.entries)
        self.kill(name)
        time.sleep(2)
        self.restart(name)

    def pause(self, name):
        process = self.fleet.processes[name]
        process.send(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        process.send(signal.SIGCONT)

    def pause_agent(self):
        self.pause(self.agent())

    def pause_entry(self):
        self.pause(self.random.choice(self.fleet.entries))

    def pause_engine(self):
        self.pause("backend-" + self.model_agent())

    def store(self, **fault):
        url = self.fleet.platform_url() + "/admin/faults"
        http("PUT", url, json.dumps(fault))
        time.sleep(PAUSE_S)
        http("PUT", url, json.dumps({"mode": "ok"}))

    def store_down(self):
        self.store(mode="down")

    def store_slow(self):
        self.store(mode="slow", delay_ms=1500)

    def store_loses_answers(self):
        self.store(mode="lose_answers", share=0.5, seed=self.random.randint(1, 1 << 30))

    def stall_transfers(self):
        name = self.agent("prefill")
        url = f"http://127.0.0.1:{self.fleet.backends[name].port}/admin/faults"
        http("PUT", url, json.dumps({"stall_transfers": True}))
        time.sleep(2)
        http("PUT", url, json.dumps({"stall_transfers": False}))

    def leave(self, name):
        process = self.fleet.processes[name]
        process.send(signal.SIGTERM)
        code = process.child.wait(40)
        self.restart(name)
        if code != 0:
            raise RuntimeError(f"{name} ended with {code}")

    def agent_leaves(self):
        self.leave(self.agent())

    def entry_leaves(self):
        self.leave(self.random.choice(self.fleet.entries))

    def patch(self, url, against, patch):
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN,
                   "Content-Type": "application/json"}
        return http("PATCH", f"{url}/operator/config?against={against}", json.dumps(patch),
                    headers)

    def config(self, url):
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN}
        status, _, body = http("GET", url + "/operator/config", headers=headers)
        if status != 200:
            raise RuntimeError(f"configuration not read: {status}")
        return json.loads(body)

    def racing_operators(self):
        """Two patches against one number: exactly one may be accepted."""
        urls = self.fleet.entry_urls()
        number = self.config(urls[0])["number"]
        weights = [round(self.random.uniform(0.5, 2), 3) for _ in range(2)]
        answers = [self.patch(urls[index % len(urls)], number,
                              {"policy": {"cache_weight": weight}})[0]
                   for index, weight in enumerate(weights)]
        if answers.count(200) > 1:
            raise AssertionError(f"both stale patches were accepted: {answers}")

    def withdraw_key(self):
        """Makes a key, withdraws it, and times until every entry refuses it."""
        urls = self.fleet.entry_urls()
        workspace = sorted(self.fleet.keys)[0]
        code, output = self.fleet.cli("key", "create", workspace, check=False)
        if code != 0:
            raise RuntimeError("no key was made")
        key = output.split()[-1].strip()
        headers = {"Authorization": "Bearer " + key}
        code, _ = self.fleet.cli("key", "withdraw", workspace, key.split("_")[1], check=False)
        if code != 0:
            raise RuntimeError("the key was not withdrawn")
        begun = time.monotonic()
        waiting = set(urls)
        while waiting and time.monotonic() - begun < 20:
            for url in sorted(waiting):
                try:
                    if http("GET", url + "/v1/models", headers=headers, timeout=2)[0] == 401:
                        waiting.discard(url)
                except (OSError, urllib.error.URLError):
                    waiting.discard(url)  # an entry that is down answers nobody
            time.sleep(0.05)
        self.withdrawals.append(time.monotonic() - begun)
