"""A replica crashes while it sends an answer without a length, before it has read the body."""

import os
import signal
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from common import TROUBLE, DeployedEntry, platform_site, route, run_case, wait_for  # noqa: E402

REPLICAS = 4  # of which one crashes: the site's largest share, 0.25
REQUESTS = 16
BODY = b"b" * 1_000_000
ANSWER_BYTES = 2048


class Process:
    """A replica's process, and the requests that it began to answer."""

    def __init__(self, number, record):
        self.id = f"i-early{number}"
        self.program = subprocess.Popen([sys.executable, os.path.join(FOLDER, "replica.py"),
                                         self.id], stdout=subprocess.PIPE, text=True)
        self.address = f"127.0.0.1:{int(self.program.stdout.readline())}"
        self.began = []
        self.record = record
        threading.Thread(target=self.read_lines, daemon=True).start()

    def read_lines(self):
        for line in self.program.stdout:
            self.record(f"{self.id}: {line.strip()}")
            if line.startswith("ran "):
                self.began.append(line.split()[1].rstrip(":"))


def case(site, record):
    replicas = [Process(number, record) for number in range(REPLICAS)]
    try:
        site.configure(1, routes=[route("/book/", "unsafe", "desk", max_attempts=1,
                                        timeout_ms=8000, target_latency_ms=300)],
                       services=[{"name": "desk"}],
                       limits={"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
                               "header_timeout_ms": 2000, "idle_timeout_ms": 10000})
        for replica in replicas:
            site.run_on_loop(site.store.put, "servers", replica.id,
                             {"service": "desk", "address": replica.address, "zone": "zone-a",
                              "version": "v1", "slots": 8, "state": "ready", "sequence": 1,
                              "cold_remaining_ms": 0, "born": int(time.time() * 1000)})
        entry = DeployedEntry(site, 0)
        site.entries.append(entry)
        wait_for(entry.is_ready, "the entry to be ready")
        answers = {}

        def send():
            headers = site.headers(**{"Agateseam-Request-Deadline": "8000"})
            name = headers["Agateseam-Request-Id"]
            record(f"sent {name}: POST /book/a, {len(BODY)} bytes of body")
            try:
                answer = platform_site.send_request(entry.callers, "POST", "/book/a", headers,
                                                    BODY, timeout=10)
                answers[name] = answer
            except Exception as error:  # pylint: disable=broad-except
                answers[name] = error
        threads = [threading.Thread(target=send) for _ in range(REQUESTS)]
        for thread in threads:
            thread.start()
        wait_for(lambda: sum(len(replica.began) for replica in replicas) == REQUESTS,
                 "the replicas to begin their answers")
        time.sleep(0.5)
        crashing = max(replicas, key=lambda replica: len(replica.began))
        for replica in replicas:
            if TROUBLE and replica is crashing:
                replica.program.send_signal(signal.SIGKILL)
                record(f"{replica.id} crashed (SIGKILL) with {len(replica.began)} answers begun")
            else:
                replica.program.send_signal(signal.SIGUSR1)
        for thread in threads:
            thread.join()
        wrong = 0
        for name, answer in sorted(answers.items()):
            if isinstance(answer, Exception):
                record(f"answered {name}: no answer ({answer!r})")
                continue
            success = 200 <= answer.status < 300 and answer.complete
            whole = len(answer.body) == ANSWER_BYTES
            wrong += success and not whole
            record(f"answered {name}: {answer.status}, {len(answer.body)} of {ANSWER_BYTES} "
                   f"bytes, {'looks complete' if answer.complete else 'cut off'}, "
                   f"Content-Length {answer.headers.get('Content-Length')}")
        record(f"{wrong} of {REQUESTS} successes with a body that isn't the replica's whole body")
        return wrong > 0
    finally:
        for replica in replicas:
            replica.program.kill()
            replica.program.wait()


sys.exit(run_case(FOLDER, case))
