"""Breaks a site of real entry processes under load from a seed, and checks from outside what
callers and servers saw.

    python3 tests/site/soak.py BUILD [--seed N] [--seeds N] [--seconds S] [--entries N]
        [--callers N] [--planned] [--domains] [--pauses]

With --planned only stops, settings and configurations change; otherwise anything breaks. With
--domains failure domains are evacuated as well, and servers become cold. With --pauses decode
servers fall silent for a time, while others refuse requests and few repeats are left.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402, F401  # pylint: disable=unused-import
from platform_site import Site, configuration, reset_connection, response_bytes  # noqa: E402
from platform_site import route, wait_for  # noqa: E402
from site_callers import Callers  # noqa: E402
from crash_test import CRASHES_BEFORE_BLOCK, MAX_ARRIVALS, prompt_of  # noqa: E402
import repeat_test  # noqa: E402
from caller_crowd import Crowd, chunks  # noqa: E402
from endless_test import KINDS as ENDLESS_KINDS, endless, peak_memory_mb  # noqa: E402
from limit_test import WINDOW_S, allowed  # noqa: E402

GRACE_S = 8
# Planned work counts against an entry only without other trouble for this long before.
STABLE_WINDOW_S = 3
# The rule excuses a stream that was sent in the first seconds of a stop and that its server
# still runs in the last sixth of the grace period.
EXCUSED_WHEN_SENT_WITHIN_S = 3
EXCUSED_FROM_S = GRACE_S * 5 / 6
DRAIN_S = 2.0
CALLER_DEADLINE_S = 14
STREAM_EVENTS = 8
MEMORY_MB = 88
CROWD, CROWD_BODY = 300, b"b" * 99_000  # More than an entry may hold.
EVACUATED_S = 5  # after which nothing reaches an evacuated domain
UNSTABLE_STORE_S = 6  # longer when the store was unstable
COLD_S = 2.5
COLD_PER_S = 12
COLD_BOUND = COLD_PER_S * 1.5 + 5
FEW_REPEATS = {"allowance_reserve_tokens": 100_000, "repeat_extra": 30, "repeat_ratio": 0}
PROMISES = (408, 421, 429, 503)
KINDS = [("/safe/a", None), ("/once/a", None), ("/draft/a", "500,40"), ("/resume/a", "500,40")]


def press(entry, blocks, duration_s):
    with Crowd(entry.callers, [blocks] * CROWD):
        time.sleep(duration_s)


class Soak:
    """One run: a site, its callers and its troubles."""

    def __init__(self, build, directory, seed, seconds=20, entries=3, callers=16, planned=False,
                 domains=False, pauses=False):
        self.random = random.Random(seed)
        self.crowd_random = random.Random(seed)  # Other troubles don't depend on crowds.
        self.pause_random = random.Random(seed)
        self.seconds, self.planned, self.domains = seconds, planned, domains
        self.pauses = pauses
        settings = {"memory_mb": MEMORY_MB}
        if domains:
            settings.update(evacuation_ms=EVACUATED_S * 1000, pace_servers=True,
                            regions={"zone-a": "north", "zone-b": "north"})
        self.site = Site(build, directory, entries=entries, grace_ms=GRACE_S * 1000,
                         settings=settings, fleet=FEW_REPEATS if pauses else None)
        for number in range(3):
            self.site.add_replica("plain", zone=self.zone_of(number))
        for number, stage in enumerate(("prefill", "prefill", "decode", "decode", "decode")):
            self.site.add_replica("model", stage=stage, zone=self.zone_of(number))
        for replica in self.site.replicas_of("model", "decode"):
            replica.event_count, replica.event_delay_s = STREAM_EVENTS, 0.05
            replica.shows_version = True
        self.version = 1
        self.routes = configuration(1)["routes"]
        for item in self.routes:
            item["timeout_ms"] = 14_000 if item["route_type"] == "streaming" else 3000
        self.services = configuration(1)["services"]
        if domains:
            self.services = [dict(item, cold_start_s=COLD_S, cold_per_s=COLD_PER_S)
                             for item in self.services]
            for replica in self.site.replicas:
                replica.cold_per_s, replica.cold_start_s = COLD_PER_S, COLD_S
        self.site.configure(1, routes=self.routes, services=self.services)
        self.site.start()
        self.callers = Callers(self.site, callers, KINDS, seed=seed)
        self.stops = []  # (entry, time of SIGTERM, time at which it was gone)
        self.unplanned = []  # (begin, end) of what excuses a lost answer
        self.freezes = []  # (entry name, begin, end)
        self.out_of_touch = []  # (entry, begin, end) of kills and freezes
        self.crashing_parts = {}  # Times of the crashes under each part.
        self.crashing_paths = {}  # Times of the crashes under each repeated request.
        self.limits = []  # (replica, requests a second, begin, end)
        self.leaving = {}  # Time at which the store listed a server as leaving, by its id.
        self.store_losses = []  # (begin, end)
        self.evacuations = []  # (domain, time of the store's answer, end)
        self.faults = []
        self.log = []

    def zone_of(self, number):
        return "zone-b" if self.domains and number % 2 else "zone-a"

    def note(self, text):
        self.log.append(f"{time.monotonic() - self.began:7.2f} {text}")

    async def trouble(self, duration_s, begin, end):
        """Runs `begin`, waits, runs `end`, and excuses lost answers around that time."""
        span = [time.monotonic(), float("inf")]
        self.unplanned.append(span)
        begin()
        await asyncio.sleep(duration_s)
        end()
        span[1] = time.monotonic()

    # Planned work

    async def stop_entry(self):
        number = self.random.randrange(len(self.site.entries))
        entry = self.site.entries[number]
        if entry.process.poll() is not None:
            return
        self.note(f"stop entry {number}")
        process, begin = entry.process, time.monotonic()
        entry.end(signal.SIGTERM)
        span = [number, begin, float("inf")]
        self.stops.append(span)
        while process.poll() is None and time.monotonic() < begin + GRACE_S:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            # A frozen process learns of its stop late, or can't end in time.
            if not any(name == entry.name and start < time.monotonic() and end > begin
                       for name, start, end in self.freezes):
                self.faults.append(f"stop of entry {number} took over {GRACE_S} s")
            process.kill()
            process.wait()
        span[2] = time.monotonic()
        if process.returncode not in (0, 1, -signal.SIGKILL):
            self.faults.append(f"entry {number} ended with {process.returncode}")
        await asyncio.sleep(self.random.uniform(0.1, 1))
        if entry.process is process:
            entry.start()

    async def stop_two(self):
        await asyncio.gather(self.stop_entry(), self.delayed_stop())

    async def delayed_stop(self):
        await asyncio.sleep(self.random.uniform(0, 2))
        await self.stop_entry()

    async def change_configuration(self):
        self.version += 1
        extra = [route(f"/new{self.version}/", "safe", "plain")]
        self.site.store.put("config", "main",
                            configuration(self.version, routes=self.routes + extra,
                                          services=self.services))

    async def reload_settings(self):
        for entry in self.site.entries:
            values = dict(entry.settings_values)
            values["fleet"] = dict(values["fleet"], repeat_extra=self.random.randrange(50, 150))
            with open(entry.settings_path, "w", encoding="utf-8") as file:
                json.dump(values, file)
            entry.end(signal.SIGHUP)

    async def leave(self):
        replica = self.random.choice(self.site.replicas_of("plain"))
        others = [other for other in self.site.replicas_of("plain")
                  if other.id not in self.leaving]
        if replica.id in self.leaving or len(others) < 3:
            return
        self.note(f"server {replica.id} leaves")
        self.site.store.put("servers", replica.id, replica.server_spec("draining"))
        self.leaving[replica.id] = time.monotonic()

    async def slow_servers(self):
        replicas = self.site.replicas_of("model", "decode")
        for replica in replicas:
            replica.event_delay_s = self.random.uniform(0.2, 0.8)
        await asyncio.sleep(self.random.uniform(1, 4))
        for replica in replicas:
            replica.event_delay_s = 0.05

    # Unplanned trouble

    async def kill_entry(self):
        number = self.random.randrange(len(self.site.entries))
        entry = self.site.entries[number]
        process = entry.process
        if process.poll() is not None:
            return
        self.note(f"kill entry {number}")
        began = time.monotonic()
        await self.trouble(self.random.uniform(0.1, 1), entry.end, lambda: None)
        process.wait()
        self.out_of_touch.append((number, began, time.monotonic()))
        if entry.process is process:
            entry.start()

    async def freeze_entry(self):
        number = self.random.randrange(len(self.site.entries))
        entry = self.site.entries[number]
        self.note(f"freeze {entry.name}")
        began = time.monotonic()
        span = [entry.name, began, float("inf")]
        self.freezes.append(span)
        await self.trouble(self.random.uniform(0.5, 3), lambda: entry.end(signal.SIGSTOP),
                           lambda: entry.end(signal.SIGCONT))
        span[2] = time.monotonic()
        self.out_of_touch.append((number, began, span[2]))

    async def lose_store(self):
        mode = self.random.choice(["silent", "busy", "reset"])
        self.note(f"store {mode}")
        store = self.site.store
        span = [time.monotonic(), float("inf")]
        self.store_losses.append(span)
        await self.trouble(self.random.uniform(0.5, 4), lambda: setattr(store, "mode", mode),
                           lambda: setattr(store, "mode", "up"))
        span[1] = time.monotonic()

    async def compact_store(self):
        self.site.store.compact()

    async def fail_runs(self):
        """A server runs each request and answers with a failure or not at all."""
        replica = self.random.choice(self.site.replicas_of("plain"))
        status = self.random.choice([408, 429, 500, 503, None])
        self.note(f"server {replica.id} fails with {status}")

        async def run_and_fail(served, request, _reader, writer):
            served.runs.append(request.id)
            if status is None:
                reset_connection(writer)
                return False
            writer.write(response_bytes(status, {}, served.identity_headers(request)))
            return True
        await self.trouble(self.random.uniform(0.5, 2),
                           lambda: setattr(replica, "handler", run_and_fail),
                           lambda: setattr(replica, "handler", None))

    async def refuse_runs(self):
        replica = self.random.choice(self.site.replicas_of("plain"))

        async def refuse(served, request, _reader, writer):
            writer.write(served.refusal(request))
            return True
        await self.trouble(self.random.uniform(0.5, 2),
                           lambda: setattr(replica, "handler", refuse),
                           lambda: setattr(replica, "handler", None))

    async def break_streams(self):
        replica = self.random.choice(self.site.replicas_of("model", "decode"))
        self.note(f"server {replica.id} breaks streams")

        async def break_off(served, request, _reader, writer):
            if request.target.startswith("/v1/"):
                return None
            served.runs.append(request.id)
            reset_connection(writer)
            return False
        await self.trouble(self.random.uniform(0.3, 1),
                           lambda: setattr(replica, "handler", break_off),
                           lambda: setattr(replica, "handler", None))

    async def reset_connections(self):
        """Resets half of the connections of some servers, whatever is under way there."""
        self.note("connections reset")

        def reset():
            for replica in self.site.replicas:
                for writer in list(replica.open_connections):
                    if self.random.random() < 0.5:
                        reset_connection(writer)
        await self.trouble(0.05, reset, lambda: None)

    async def answer_twice(self):
        """A server runs each request and sends its answer, or a refusal, once more."""
        replica = self.random.choice(self.site.replicas_of("plain"))
        self.note(f"server {replica.id} answers twice")

        async def answer(served, request, _reader, writer):
            await served.answer_plain(request, writer)
            await asyncio.sleep(0.02 * self.random.random())
            body = f"body of {request.id}".encode()
            writer.write(self.random.choice(
                [served.refusal(request), response_bytes(200, body,
                                                         served.identity_headers(request))]))
            return True
        await self.trouble(self.random.uniform(0.5, 2),
                           lambda: setattr(replica, "handler", answer),
                           lambda: setattr(replica, "handler", None))

    async def crash_servers(self):
        """A part of some prompts crashes the decode servers that begin to answer them."""
        if self.callers.crashing_part:
            return
        part = f"bad{len(self.crashing_parts):04x}"
        self.note(f"part {part} crashes servers")
        crashes = self.crashing_parts.setdefault(part, [])
        running = []

        async def crash(replica, request, _reader, writer):
            if request.target.startswith("/v1/") or part not in prompt_of(request):
                return None
            head = "".join(f"{name}: {value}\r\n"
                           for name, value in replica.identity_headers(request))
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n"
                         "5\r\nid: 1".encode())
            if replica.listener.is_serving():
                crashes.append(time.monotonic())
                running.append(asyncio.ensure_future(replica.crash(self.site, 0.5)))
            return False

        def set_part(value, handler):
            self.callers.crashing_part = value
            for replica in self.site.replicas_of("model", "decode"):
                replica.handler = handler
        await self.trouble(8, lambda: set_part(part, crash), lambda: set_part(None, None))
        await asyncio.gather(*running)

    async def repeat_request(self):
        """A plain request that comes again and again crashes the servers that run it."""
        if self.callers.crashing_path:
            return
        path = f"/safe/bad{len(self.crashing_paths)}"
        self.note(f"request {path} crashes servers")
        crashes = self.crashing_paths.setdefault(path, [])
        running = []

        async def crash(replica, request, _reader, _writer):
            if request.target != path:
                return None
            if replica.listener.is_serving():
                crashes.append(time.monotonic())
                running.append(asyncio.ensure_future(replica.crash(self.site, 0.5)))
            return False

        def set_path(value, handler):
            self.callers.crashing_path = value
            for replica in self.site.replicas_of("plain"):
                replica.handler = handler
        await self.trouble(8, lambda: set_path(path, crash), lambda: set_path(None, None))
        await asyncio.gather(*running)

    async def update_version(self):
        """A decode server ends and comes back with another version of its software."""
        replica = self.random.choice(self.site.replicas_of("model", "decode"))
        if not replica.listener.is_serving():
            return
        replica.version = self.random.choice(["v1", "v2", "v3"])
        self.note(f"server {replica.id} becomes {replica.version}")
        begin = time.monotonic()
        span = [begin, float("inf")]
        self.unplanned.append(span)
        await replica.crash(self.site, self.random.uniform(0.1, 1))
        span[1] = time.monotonic()

    async def limit_server(self):
        replica = self.random.choice(self.site.replicas)
        if replica.limit_per_s is not None:
            return
        replica.limit_per_s = self.random.choice([0.4, 2.0, 6.0])
        self.note(f"server {replica.id} names {replica.limit_per_s} a second")
        span = [replica, replica.limit_per_s, time.monotonic(), None]
        await asyncio.sleep(9)
        replica.limit_per_s = None
        span[3] = time.monotonic()
        self.limits.append(span)

    async def send_without_end(self):
        replica = self.random.choice(self.site.replicas_of("plain"))
        kind = self.random.choice(sorted(ENDLESS_KINDS))
        self.note(f"server {replica.id} sends without end: {kind}")
        await self.trouble(self.random.uniform(0.3, 1),
                           lambda: setattr(replica, "handler", endless(kind)),
                           lambda: setattr(replica, "handler", None))

    async def press_entries(self):
        """Crowds hold unfinished bodies at entries, more than these may hold."""
        end = time.monotonic() + self.seconds
        head = b"POST /safe/crowd HTTP/1.1\r\nHost: x\r\n"
        requests = [
            ("bodies", [head + b"Content-Length: %d\r\n\r\n" % len(CROWD_BODY),
                        CROWD_BODY[1:]]),
            ("chunks", [head + b"Transfer-Encoding: chunked\r\n\r\n",
                        chunks(CROWD_BODY, self.crowd_random.choice([8, 4096]))]),
            ("heads", [head]), ("connections", [])]
        while time.monotonic() < end:
            await asyncio.sleep(self.crowd_random.uniform(1, 6))
            entry = self.crowd_random.choice(self.site.entries)
            kind, blocks = self.crowd_random.choice(requests)
            if entry.process.poll() is not None:
                continue
            self.note(f"crowd at {entry.name}: {kind}")
            span = [time.monotonic(), float("inf")]
            self.unplanned.append(span)
            await asyncio.to_thread(press, entry, blocks, self.crowd_random.uniform(0, 2))
            span[1] = time.monotonic()

    async def pause_servers(self):
        """Decode servers fall silent together, for longer than a silent stream is left alone, and
        refuse all or most of what they get meanwhile; or some plain servers are slow and others
        refuse."""
        end = time.monotonic() + self.seconds
        decode, plain = self.site.replicas_of("model", "decode"), self.site.replicas_of("plain")
        while time.monotonic() < end:
            await asyncio.sleep(self.pause_random.uniform(0.5, 2))
            pause_s = self.pause_random.uniform(0.5, 1.5)
            slow = self.pause_random.sample(plain, 2)
            self.note(f"servers pause for {pause_s:.2f} s")
            for replica in decode:
                replica.paused_until = time.monotonic() + pause_s
                replica.refused_share = self.pause_random.choice([0.5, 0.9, 1.0])
            for replica in plain:
                replica.latency_s = pause_s if replica in slow else 0.0
                replica.refused_share = 0.0 if replica in slow else 0.5
            await asyncio.sleep(pause_s)
            for replica in decode + plain:
                replica.refused_share = replica.latency_s = 0.0

    async def evacuation(self, cold_s=0):
        """Operators evacuate a domain, one at a time, and take it back into service."""
        if self.evacuations and self.evacuations[-1][2] > time.monotonic():
            return
        domain = self.random.choice(["zone-a", "zone-b"])
        span = [domain, float("inf"), float("inf")]
        self.evacuations.append(span)
        await self.wait_for_store()
        self.note(f"evacuate {domain}")
        self.site.store.put("evacuations", domain, {})
        span[1] = time.monotonic()
        await asyncio.sleep(EVACUATED_S + self.random.uniform(1, 8))
        await self.wait_for_store()
        span[2] = time.monotonic()
        self.note(f"take {domain} back, cold for {cold_s} s")
        for replica in self.site.replicas_in(domain) if cold_s else []:
            replica.become_cold(cold_s)
        self.site.store.remove("evacuations", domain)

    async def cold_return(self):
        """The servers of a domain become cold, mostly as it is taken back into service."""
        if self.random.random() < 0.7:
            await self.evacuation(cold_s=COLD_S)
            return
        domain = self.random.choice(["zone-a", "zone-b"])
        self.note(f"servers of {domain} become cold")
        for replica in self.site.replicas_in(domain):
            replica.become_cold(COLD_S)

    async def wait_for_store(self):
        while self.site.store.mode != "up":
            await asyncio.sleep(0.02)

    async def cause_troubles(self):
        planned = [self.stop_entry, self.stop_entry, self.stop_two, self.change_configuration,
                   self.reload_settings, self.leave, self.slow_servers]
        unplanned = [self.kill_entry, self.freeze_entry, self.lose_store, self.compact_store,
                     self.fail_runs, self.refuse_runs, self.break_streams,
                     self.crash_servers, self.repeat_request, self.update_version,
                     self.update_version, self.limit_server, self.send_without_end,
                     self.reset_connections, self.answer_twice]
        kinds = planned if self.planned else planned + unplanned
        if self.domains:
            kinds = kinds + [self.evacuation, self.cold_return, self.cold_return]
        running = [] if self.planned else [asyncio.ensure_future(self.press_entries())]
        if self.pauses:
            running.append(asyncio.ensure_future(self.pause_servers()))
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            running.append(asyncio.ensure_future(self.random.choice(kinds)()))
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
        await asyncio.gather(*running)

    # Checks

    def is_excused(self, outcome):
        begin = outcome.sent_at - STABLE_WINDOW_S
        return any(begin < end and outcome.ended_at > start for start, end in self.unplanned)

    def check_lost(self, outcome, received):
        if outcome.complete or outcome.id not in received or self.is_excused(outcome):
            return
        if outcome.ended_at - outcome.sent_at >= CALLER_DEADLINE_S:
            return
        for number, begin, _ in self.stops:
            sent_s, ended_s = outcome.sent_at - begin, outcome.ended_at - begin
            is_excused = (sent_s <= EXCUSED_WHEN_SENT_WITHIN_S and ended_s >= EXCUSED_FROM_S)
            if number == outcome.entry and 0 <= ended_s <= GRACE_S + 1 and is_excused:
                return
        self.faults.append(f"LOST {outcome}")

    def check_body(self, outcome):
        if outcome.status != 200 or not outcome.complete:
            return
        if outcome.path.startswith(("/safe/", "/once/")):
            is_right = outcome.body == f"body of {outcome.id}".encode()
        else:
            is_right = outcome.body in [
                b"".join(b"id: %d\ndata: %s.%d.%s\n\n" % (number, outcome.id.encode(), number,
                                                         version)
                         for number in range(1, STREAM_EVENTS + 1))
                for version in (b"v1", b"v2", b"v3")]
        if not is_right:
            self.faults.append(f"MIXED or ORDER {outcome} {outcome.body!r}")

    def check_outcomes(self, outcomes):
        runs = {}
        for replica in self.site.replicas:
            for request_id in replica.runs:
                runs[request_id] = runs.get(request_id, 0) + 1
        received = {request.id for replica in self.site.replicas for request in replica.requests}
        for outcome in outcomes:
            self.check_lost(outcome, received)
            self.check_body(outcome)
            if outcome.status in PROMISES and outcome.id in runs:
                self.faults.append(f"REFUSED {outcome} {outcome.body!r}")
            if outcome.path in ("/once/a", "/draft/a") and runs.get(outcome.id, 0) > 1:
                self.faults.append(f"TWICE {outcome} {runs[outcome.id]} runs")

    def arrivals_in_touch(self, requests, entry_of):
        """Returns the arrivals from entries that weren't stopped, killed or frozen then. A call
        without a request's id may come from any entry."""
        spans = self.out_of_touch + self.stops
        return [request for request in requests if not any(
            number == entry_of.get(request.id, number)
            and start < request.arrived < gone + STABLE_WINDOW_S
            for number, start, gone in spans)]

    def check_crashes(self, kinds, crashes_before_block, is_caused_by, entry_of):
        for cause, crashes in kinds.items():
            if len(crashes) < crashes_before_block:
                continue
            begin = crashes[crashes_before_block - 1] + STABLE_WINDOW_S
            late = self.arrivals_in_touch(
                [request for replica in self.site.replicas for request in replica.requests
                 if request.arrived > begin and is_caused_by(request, cause)], entry_of)
            if len(late) > MAX_ARRIVALS:
                self.faults.append(f"BUDGET {len(late)} arrivals with {cause}, "
                                   f"{len(crashes)} crashes")

    def check_limits(self, entry_of):
        for replica, limit, begin, end in self.limits:
            requests = [request for request in replica.requests
                        if begin + STABLE_WINDOW_S <= request.arrived <= end]
            times = sorted(request.arrived
                           for request in self.arrivals_in_touch(requests, entry_of))
            for first in times:
                seen = sum(1 for moment in times if first <= moment < first + WINDOW_S)
                if seen > allowed(limit):
                    self.faults.append(f"LIMIT {seen} requests at {replica.id}, limit {limit}")
                    break

    def check_evacuations(self, entry_of):
        frozen = [(number, begin, end) for number, entry in enumerate(self.site.entries)
                  for name, begin, end in self.freezes if name == entry.name]
        for domain, begin, end in self.evacuations:
            is_unstable = any(lost < begin + EVACUATED_S and back > begin - UNSTABLE_STORE_S
                              for lost, back in self.store_losses)
            bound_s = EVACUATED_S + (UNSTABLE_STORE_S if is_unstable else 0)
            late = [request for _, _, request in self.site.requests_in(domain, begin + bound_s, end)
                    if not any(number == entry_of.get(request.id, number)
                               and start < request.arrived < gone + STABLE_WINDOW_S
                               for number, start, gone in frozen)]
            if late:
                self.faults.append(
                    f"EVACUATED {len(late)} requests reached {domain}, evacuated at "
                    f"{begin - self.began:.2f}, first {late[0].target} at "
                    f"{late[0].arrived - self.began:.2f}")

    def check_cold(self):
        for replica in self.site.replicas if self.domains else []:
            seen = replica.busiest_second(cold_only=True)
            if seen > COLD_BOUND or replica.cold_crashes:
                self.faults.append(f"COLD {seen} requests in a second at {replica.id} "
                                   f"{replica.stage}, {replica.cold_crashes} crashes")

    def check_memory(self):
        for entry in self.site.entries:
            if entry.process.poll() is None and peak_memory_mb(entry) > MEMORY_MB:
                self.faults.append(f"{entry.name} took {peak_memory_mb(entry):.0f} MB")

    def check_leaving(self):
        for replica in self.site.replicas_of("plain"):
            listed_at = self.leaving.get(replica.id)
            if listed_at is None or not self.planned:
                continue
            late = [sent for sent, _ in replica.arrivals if sent > listed_at + DRAIN_S]
            if late:
                self.faults.append(f"DRAIN {len(late)} requests reached {replica.id}")

    def check_rest(self):
        try:
            wait_for(lambda: all(entry.is_ready() for entry in self.site.entries),
                     "all entries to be ready again", 10)
            wait_for(lambda: not any(replica.running for replica in self.site.replicas),
                     "all streams to end", 10)
        except AssertionError as fault:
            self.faults.append(str(fault))

    def record_arrivals(self):
        for replica in self.site.replicas:
            replica.arrivals = []
            handle = replica.handle_request

            async def record(request, reader, writer, replica=replica, handle=handle):
                replica.arrivals.append((time.monotonic(), request.id))
                return await handle(request, reader, writer)
            replica.handle_request = record

    def play(self):
        """Returns the number of requests; `faults` then holds what was wrong."""
        self.record_arrivals()
        self.began = time.monotonic()
        try:
            self.callers.start()
            asyncio.run_coroutine_threadsafe(self.cause_troubles(), self.site.loop).result(
                self.seconds + 60)
            outcomes = self.callers.stop()
            self.check_rest()
            self.check_outcomes(outcomes)
            self.check_leaving()
            entry_of = {outcome.id: outcome.entry for outcome in outcomes}
            self.check_crashes(self.crashing_parts, CRASHES_BEFORE_BLOCK,
                               lambda request, part: part in prompt_of(request), entry_of)
            self.check_crashes(self.crashing_paths, repeat_test.CRASHES_BEFORE_BLOCK,
                               lambda request, path: request.target == path, entry_of)
            self.check_limits(entry_of)
            self.check_evacuations(entry_of)
            self.check_cold()
            self.check_memory()
            return len(outcomes)
        finally:
            self.site.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--planned", action="store_true")
    parser.add_argument("--domains", action="store_true")
    parser.add_argument("--pauses", action="store_true")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        directory = os.path.join(options.build, "site_tests", f"soak-{seed}")
        soak = Soak(options.build, directory, seed, options.seconds, options.entries,
                    options.callers, options.planned, options.domains, options.pauses)
        requests = soak.play()
        print(f"seed {seed}: {requests} requests, {len(soak.stops)} stops, "
              f"{len(soak.faults)} faults", flush=True)
        if soak.faults:
            failed += 1
            print("\n".join(soak.log + soak.faults), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
