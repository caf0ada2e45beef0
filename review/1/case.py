"""A replica breaks off an empty answer in chunks two bytes before its end."""

import http.client
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from common import TROUBLE, DeployedEntry, route, run_case, wait_for  # noqa: E402

SHARE = 0.05  # of the answers of a faulty replica; the site's largest for `garble`
SOUND_CONNECTIONS = 8
ROUNDS = 3


def faulty_answers(record):
    count = 0

    async def answer(replica, request, reader, writer):
        """Answers with an empty body in chunks, and breaks off one answer in 20."""
        nonlocal count
        if not request.id or request.target.startswith("/v1/"):
            return None
        count += 1
        whole = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in replica.identity_headers(request))
            + "\r\n0\r\n\r\n").encode()
        breaks_off = TROUBLE and count % round(1 / SHARE) == 0
        writer.write(whole[:-2] if breaks_off else whole)
        await writer.drain()
        replica.runs.append(request.id)
        if breaks_off:
            record(f"ran {request.id} at {replica.id}, which breaks off its answer two bytes "
                   "before the end")
            return False
        return True
    return answer


def case(site, record):
    faulty = site.add_replica("lookups")
    sound = site.add_replica("bookings")
    sound.latency_s = 0.3
    faulty.handler = faulty_answers(record)
    site.configure(1, routes=[route("/look/", "safe", "lookups", max_attempts=1, timeout_ms=800,
                                    target_latency_ms=300),
                              route("/book/", "unsafe", "bookings", max_attempts=1,
                                    timeout_ms=800, target_latency_ms=300)],
                   services=[{"name": "lookups"}, {"name": "bookings"}],
                   limits={"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
                           "header_timeout_ms": 2000, "idle_timeout_ms": 10000})
    entry = DeployedEntry(site, 0)
    site.entries.append(entry)
    ended = []
    stop = threading.Event()

    def run_as_the_platform():
        """Starts a process that has ended again after a short delay."""
        while not stop.wait(0.02):
            if entry.process.poll() is not None:
                ended.append(entry.process.returncode)
                record(f"the entry's process ended by itself (status {ended[-1]})")
                time.sleep(0.5)
                if not stop.is_set():
                    entry.start()
    wait_for(entry.is_ready, "the entry to be ready")
    time.sleep(3.5)  # In touch.
    watcher = threading.Thread(target=run_as_the_platform)
    watcher.start()
    lost = []

    def book(number):
        """Sends bookings on a connection that it keeps."""
        connection = None
        while not stop.is_set():
            headers = site.headers(**{"Agateseam-Request-Deadline": "1500"})
            name = headers["Agateseam-Request-Id"]
            try:
                if connection is None:
                    connection = http.client.HTTPConnection("127.0.0.1", entry.callers, timeout=2)
                    connection.connect()
                connection.request("POST", "/book/a", b"{}", headers)
                answer = connection.getresponse()
                answer.read()
                if answer.status != 200:
                    record(f"answered {name}: {answer.status}")
            except (OSError, http.client.HTTPException) as error:
                connection = None
                if name in sound.runs:
                    lost.append(name)
                    record(f"answered {name}: connection closed without an answer "
                           f"({type(error).__name__}); {sound.id} has run it")
                time.sleep(0.1)
    clients = [threading.Thread(target=book, args=(number,)) for number in range(SOUND_CONNECTIONS)]
    for client in clients:
        client.start()
    outcomes = {}
    for look_up in range(round(ROUNDS / SHARE)):
        try:
            status = site.get("/look/a", Agateseam_Request_Deadline="1500").status
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
            wait_for(entry.is_ready, "the entry to be ready again")
        outcomes[status] = outcomes.get(status, 0) + 1
        time.sleep(0.02)
    time.sleep(0.5)
    stop.set()
    for client in clients:
        client.join()
    watcher.join()
    record(f"lookups: {outcomes}; bookings run: {len(sound.runs)}")
    record(f"the entry's process ended by itself {len(ended)} times; {len(lost)} bookings that a "
           "sound replica ran were closed without an answer")
    with open(entry.log_path, encoding="utf-8", errors="replace") as log:
        for line in log:
            if "Assertion" in line:
                record("the entry's last words: " + line.strip())
                break
    return len(lost) > 3


sys.exit(run_case(FOLDER, case))
