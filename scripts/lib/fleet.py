"""Starts the system and its stand-ins on loopback, for the demo, the tests and the benches.

A fleet ends each process that it started by its id and touches no other process.
"""

import json
import os
import resource
import signal
import subprocess
import time
import urllib.error
import urllib.request

FLEET_SECRET = "fleet-secret-for-loopback"
OPERATOR_TOKEN = "operator-token-for-loopback"
START_TIMEOUT_S = 20
LINGER_MS = 100  # for which a daemon keeps listening after SIGTERM

DOMAINS = ("khomas-a", "khomas-b", "khomas-c", "khomas-d")


def call_http(method, url, body=None, headers=None, timeout=10):
    """Sends a request and returns (status, headers, body), also for an error status."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error_answer:
        return error_answer.code, dict(error_answer.headers), error_answer.read()


def wait_for(condition, description, timeout_s=START_TIMEOUT_S):
    """Waits until the condition is true and raises TimeoutError after the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {timeout_s} s waiting for {description}")


class Process:
    """A started program and its log file, which later processes of its name append to."""

    def __init__(self, name, command, directory, descriptor_limit=None):
        self.name = name
        self.command = command
        self.log_path = os.path.join(directory, name + ".log")
        self.log = open(self.log_path, "ab")
        self.begin = os.path.getsize(self.log_path)

        def set_limit():
            if descriptor_limit is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))
        self.child = subprocess.Popen(command, stdout=self.log, stderr=self.log,
                                      preexec_fn=set_limit)
        self.port = None
        self.stop_requested = False

    def all_log_lines(self):
        with open(self.log_path, "rb") as log:
            return log.read().decode(errors="replace").splitlines()

    def current_log_lines(self):
        """Returns the log lines of this process, without those of earlier ones of its name."""
        with open(self.log_path, "rb") as log:
            log.seek(self.begin)
            return log.read().decode(errors="replace").splitlines()

    def read_port(self):
        for line in self.current_log_lines():
            if line.strip().isdigit():
                return int(line)
            if '"event":"started"' in line:
                return json.loads(line)["port"]
        if self.child.poll() is not None:
            raise RuntimeError(f"{self.name} ended: {self.all_log_lines()[-3:]}")
        return None

    def await_port(self):
        wait_for(lambda: self.read_port() is not None, f"{self.name} to listen on its port")
        self.port = self.read_port()
        return self.port

    def send_signal(self, signal_number):
        if self.child.poll() is None:
            self.child.send_signal(signal_number)

    def request_stop(self):
        """Sends SIGTERM only once: a second one makes a daemon exit without draining."""
        self.send_signal(signal.SIGCONT)
        if not self.stop_requested:
            self.send_signal(signal.SIGTERM)
            self.stop_requested = True

    def stop(self, timeout_s=10):
        """Requests a stop, kills the process after the timeout, and returns its exit code."""
        self.request_stop()
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()


class Fleet:
    """The processes of a complete system: platform, backends, agents and entries."""

    def __init__(self, build, directory, entries=2, prefill=3, decode=5, services=4,
                 domains=DOMAINS, engine_options=(), service_options=(),
                 platform_options=(), limits=None, listen=None):
        self.build = os.path.abspath(build)
        self.directory = os.path.abspath(directory)
        os.makedirs(self.directory, exist_ok=True)
        for name in os.listdir(self.directory):
            if name.endswith((".log", ".json")):
                os.unlink(os.path.join(self.directory, name))
        self.domains = domains
        self.counts = {"prefill": prefill, "decode": decode, "service": services}
        self.entry_count = entries
        self.engine_options = list(engine_options)
        self.service_options = list(service_options)
        self.platform_options = list(platform_options)
        self.limits = limits or {}
        self.listen = listen or {}
        self.descriptor_limit = None  # Of each entry, if set.
        self.processes = {}
        self.agents = []
        self.entries = []
        self.backends = {}
        self.keys = {}

    def program_path(self, name):
        return os.path.join(self.build, name)

    def launch(self, name, command, descriptor_limit=None):
        process = Process(name, command, self.directory, descriptor_limit)
        self.processes[name] = process
        return process

    def write_settings(self, name, content):
        path = os.path.join(self.directory, name + ".settings.json")
        with open(path, "w") as file:
            json.dump(content, file, indent=2)
        return path

    def daemon_settings(self, name, domain, role, port=0):
        content = {"role": role, "vm": name, "failure_domain": domain,
                   "listen": {"address": "127.0.0.1", "port": port, **self.listen},
                   "platform_url": f"http://127.0.0.1:{self.processes['platform'].port}",
                   "fleet_secret": FLEET_SECRET}
        content["limits"] = {"linger_ms": LINGER_MS, **self.limits}
        return content

    def launch_daemon(self, name, content):
        path = self.write_settings(name, content)
        limit = self.descriptor_limit if content["role"] == "entry" else None
        return self.launch(name, [self.program_path("agateseamd"), "--settings", path], limit)

    def launch_agent(self, name, kind, domain, port=0):
        pool = "booking" if kind == "service" else "drafting"
        content = self.daemon_settings(name, domain, "agent", port)
        content["backend"] = {"kind": kind, "pool": pool, "slots": 20,
                              "url": f"http://127.0.0.1:{self.backends[name].port}"}
        return self.launch_daemon(name, content)

    def launch_entry(self, name, domain, port=0):
        content = self.daemon_settings(name, domain, "entry", port)
        content["operator_token"] = OPERATOR_TOKEN
        return self.launch_daemon(name, content)

    def start(self):
        self.launch("platform", [self.program_path("platform_fake"),
                                 *self.platform_options]).await_port()
        self.start_backends()
        self.start_agents()
        self.publish_vms()
        for index in range(self.entry_count):
            name = f"entry-{index + 1}"
            self.entries.append(name)
            self.launch_entry(name, self.domains[index % len(self.domains)])
        for name in self.entries:
            self.processes[name].await_port()
        self.publish_vms()
        return self

    def planned_agents(self):
        """Yields (name, kind, failure domain) of each agent."""
        index = 0
        for kind, count in self.counts.items():
            for number in range(count):
                yield f"{kind}-{number + 1}", kind, self.domains[index % len(self.domains)]
                index += 1

    def start_backends(self):
        for name, kind, _ in self.planned_agents():
            program = "service_fake" if kind == "service" else "engine_fake"
            options = self.service_options if kind == "service" else self.engine_options
            self.backends[name] = self.launch("backend-" + name,
                                              [self.program_path(program), *options])
        for backend in self.backends.values():
            backend.await_port()

    def start_agents(self):
        for name, kind, domain in self.planned_agents():
            self.agents.append((name, kind, domain))
            self.launch_agent(name, kind, domain)
        for name, _, _ in self.agents:
            self.processes[name].await_port()

    def publish_vms(self, leaving=(), gone=()):
        """Sets the platform's list of VMs; `leaving` and `gone` are names of VMs."""
        vms = [{"name": name, "address": f"127.0.0.1:{self.processes[name].port}",
                "role": "agent", "failure_domain": domain, "leaving": name in leaving}
               for name, _, domain in self.agents if name not in gone]
        vms += [{"name": name, "address": f"127.0.0.1:{self.processes[name].port}",
                 "role": "entry", "leaving": name in leaving,
                 "failure_domain": self.domains[index % len(self.domains)]}
                for index, name in enumerate(self.entries)
                if name not in gone and self.processes[name].port]
        call_http("PUT", self.platform_url() + "/admin/vms", json.dumps(vms))

    def platform_url(self):
        return f"http://127.0.0.1:{self.processes['platform'].port}"

    def entry_urls(self):
        return [f"http://127.0.0.1:{self.processes[name].port}" for name in self.entries]

    def agent_url(self, name):
        return f"http://127.0.0.1:{self.processes[name].port}"

    def agent_load(self, name):
        status, _, body = call_http("GET", self.agent_url(name) + "/agent/load",
                                    headers={"x-agateseam-fleet": FLEET_SECRET})
        return json.loads(body) if status == 200 else None

    def occupied_slots(self):
        return sum(self.agent_load(name)["used"] for name, _, _ in self.agents)

    def run_cli(self, *arguments, entry=0, check=True):
        """Runs the command-line tool and returns (exit code, output)."""
        command = [self.program_path("agateseam"), "--entry", self.entry_urls()[entry],
                   "--token", OPERATOR_TOKEN, *arguments]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30)
        if check and completed.returncode != 0:
            raise RuntimeError(f"{arguments}: exit {completed.returncode}: {completed.stderr}")
        return completed.returncode, completed.stdout

    def configure(self, workspaces, rate=1e6, burst=1e6):
        """Creates the pools, the routes, the workspaces and a key for each workspace."""
        patch = {"pools": {"drafting": {"model": "drafter"}, "booking": {}},
                 "routes": {"booking": {"prefix": "/booking/", "pool": "booking",
                                        "repeatable": False},
                            "orders": {"prefix": "/orders/", "pool": "booking",
                                       "repeatable": True}},
                 "prices": {"drafting": {"prompt": 0.5, "cached": 0.05, "output": 2.0}}}
        path = os.path.join(self.directory, "first.patch.json")
        with open(path, "w") as file:
            json.dump(patch, file)
        self.run_cli("config", "patch", path)
        for name in workspaces:
            self.run_cli("workspace", "set", name, "--rate", str(rate), "--burst", str(burst))
            self.keys[name] = self.run_cli("key", "create", name)[1].strip()
        self.await_ready()

    def await_ready(self):
        headers = {"Authorization": "Bearer " + list(self.keys.values())[-1]}

        def lists_models(url):
            return call_http("GET", url + "/v1/models", headers=headers)[0] == 200

        def completes(url):
            body = json.dumps({"model": "drafter", "prompt": "ready?", "max_tokens": 1})
            return call_http("POST", url + "/v1/completions", body, headers)[0] == 200

        for url in self.entry_urls():
            wait_for(lambda: lists_models(url) and completes(url), f"{url} to serve")

    def stop(self):
        """Stops entries, agents and then the others, and returns the exit codes by name."""
        order = [*self.entries, *[name for name, _, _ in self.agents]]
        order += [name for name in self.processes if name not in order]
        for name in order:
            self.processes[name].request_stop()
        return {name: self.processes[name].stop() for name in order}

    def __enter__(self):
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_):
        self.stop()
