"""Tests entries while one request that comes again and again crashes each replica that begins
to run it."""

import asyncio
import itertools
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import KEY, Site, configuration  # noqa: E402

STABLE_WINDOW_S = 3.0
CRASHES_BEFORE_BLOCK = 3
MAX_LATE_ARRIVALS = 3
MIN_SERVED = 0.9
DOWN_S = 2.0
OTHER_KEY = "key-of-swakop-0001"
BODY = b'{"order": 7}'


def other_tenants():
    tenants = configuration(1)["tenants"]
    return tenants + [{**tenants[0], "name": "swakop", "api_keys": [OTHER_KEY]}]


class Drill:
    """A site whose replicas crash under one request, and callers at all its entries.

    A request is (method, path, body, key), where a request without a key is one of a server to
    an open route.
    """

    numbers = itertools.count(1)

    def __init__(self, build, directory, bad, sound, replicas=4, is_stream=False):
        self.bad, self.sound, self.is_stream = bad, sound, is_stream
        self.site = Site(build, directory, entries=4)
        if is_stream:
            self.site.add_replica("model", stage="prefill")
        for _ in range(replicas):
            replica = (self.site.add_replica("model", stage="decode") if is_stream
                       else self.site.add_replica("plain"))
            replica.handler = self.serve
            replica.event_count, replica.event_delay_s = 8, 0.05
        self.crash_tasks, self.threads = [], []
        self.answers = []  # (time, whether it was served) of each sound request
        self.refused = []  # seconds until the bad request was answered as not run
        self.stopped = False
        self.site.configure(1, tenants=other_tenants())
        self.site.start()

    def is_bad(self, request):
        method, path, body, key = self.bad
        tenant = {KEY: "oshana", OTHER_KEY: "swakop", None: ""}[key]
        return (request.method, request.target, request.body or None,
                request.header("Agateseam-Tenant")) == (method, path, body, tenant)

    async def serve(self, replica, request, _reader, _writer):
        if request.target.startswith("/v1/") or request.header("Agateseam-Stage"):
            return None
        await asyncio.sleep(0.05)
        if not self.is_bad(request):
            return None
        if replica.listener.is_serving():
            self.crash_tasks.append(asyncio.ensure_future(replica.crash(self.site, DOWN_S)))
        return False

    def send(self, entry, request):
        method, path, body, key = request
        headers = {"Authorization": f"Bearer {key}"} if key else {"Authorization": ""}
        if self.is_stream:
            number = next(Drill.numbers)
            headers.update(Agateseam_Model="m", Agateseam_Token_Count="500,40",
                           Agateseam_Prompt_Prefix=f"f1:100,50{number % 4}:300,{number:x}:100")
        if method == "GET":
            return self.site.get(path, entry=entry, **headers)
        return self.site.post(path, body, entry=entry, **headers)

    def run_caller(self, number, is_bad):
        source = random.Random(number)
        while not self.stopped:
            request = self.bad if is_bad else self.sound[number % len(self.sound)]
            began = time.monotonic()
            try:
                response = self.send(source.randrange(4), request)
            except OSError:
                continue
            if not is_bad:
                self.answers.append((began, response.status == 200 and response.complete))
            elif response.status == 503:
                self.refused.append(time.monotonic() - began)
            time.sleep((0.3 if is_bad else 0.1) * source.random())

    def play(self, seconds, bad=3, sound=9):
        for number in range(bad + sound):
            thread = threading.Thread(target=self.run_caller, args=(number, number < bad))
            thread.start()
            self.threads.append(thread)
        time.sleep(seconds)

    def restart_entries(self):
        for entry in self.site.entries:
            entry.end()
        for entry in self.site.entries:
            entry.process.wait()
            entry.start()

    def check(self, excused_until=0.0):
        crashes = sorted(moment for replica in self.site.replicas
                         for moment in replica.crash_times)
        check(len(crashes) >= CRASHES_BEFORE_BLOCK, len(crashes))
        third = crashes[CRASHES_BEFORE_BLOCK - 1]
        late_from = max(third + STABLE_WINDOW_S, excused_until)
        late = [request for replica in self.site.replicas for request in replica.requests
                if self.is_bad(request) and request.arrived > late_from]
        judged = [served for began, served in self.answers
                  if began > late_from + STABLE_WINDOW_S]
        check(len(late) <= MAX_LATE_ARRIVALS, "late arrivals", len(late), "crashes",
              len(crashes), "served", sum(judged), len(judged))
        check(len(judged) >= 20 and sum(judged) / len(judged) >= MIN_SERVED,
              "served", sum(judged), len(judged), "crashes", len(crashes))
        check(len(self.refused) >= 10, len(self.refused))
        check(sorted(self.refused[10:])[len(self.refused[10:]) * 9 // 10] < 0.2)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stopped = True
        for thread in self.threads:
            thread.join()
        self.site.run_coroutine(asyncio.wait_for(self.finish_crashes(), 5))
        self.site.close()

    async def finish_crashes(self):
        await asyncio.gather(*self.crash_tasks)


def play(build, directory, bad, sound, **options):
    with Drill(build, directory, bad, sound, **options) as drill:
        drill.play(14)
        drill.check()


def test_a_repeated_lookup_that_crashes_servers_is_kept_from_them(build, directory):
    hot = ("GET", "/safe/hot", None, KEY)
    play(build, directory, ("GET", "/safe/order?number=7", None, KEY),
         [hot, hot, ("GET", "/safe/order?number=8", None, KEY),
          ("GET", "/safe/order?number=7", None, OTHER_KEY)])


def test_a_repeated_post_that_crashes_servers_is_kept_from_them(build, directory):
    hot = ("POST", "/safe/order", b'{"order": 1}', KEY)
    play(build, directory, ("POST", "/safe/order", BODY, KEY),
         [hot, hot, ("POST", "/safe/order", b'{"order": 8}', KEY),
          ("POST", "/safe/order", BODY, OTHER_KEY)])


def test_a_repeated_unsafe_call_that_crashes_servers_is_kept_from_them(build, directory):
    play(build, directory, ("POST", "/once/charge", BODY, KEY),
         [("POST", "/once/charge", b'{"order": 8}', KEY),
          ("POST", "/once/charge", BODY, OTHER_KEY)])


def test_a_repeated_call_of_a_server_that_crashes_others_is_kept_from_them(build, directory):
    play(build, directory, ("POST", "/open/call", BODY, None),
         [("POST", "/open/call", b'{"order": 8}', None),
          ("POST", "/safe/call", BODY, KEY)])


def test_a_repeated_large_body_that_crashes_servers_is_kept_from_them(build, directory):
    play(build, directory, ("POST", "/safe/file", b"x" * 90_000 + b"1", KEY),
         [("POST", "/safe/file", b"x" * 90_000 + b"2", KEY)])


def test_a_repeated_stream_that_crashes_servers_is_kept_from_them(build, directory):
    play(build, directory, ("POST", "/resume/draft", BODY, KEY),
         [("POST", "/resume/draft", b'{"order": 8}', KEY),
          ("POST", "/resume/draft", BODY, OTHER_KEY)], is_stream=True)


def test_the_block_of_a_repeated_request_outlives_a_restart_of_all_entries(build, directory):
    with Drill(build, directory, ("GET", "/safe/order", None, KEY),
               [("GET", "/safe/hot", None, KEY)]) as drill:
        drill.play(5)
        drill.restart_entries()
        excused_until = time.monotonic() + STABLE_WINDOW_S
        time.sleep(12)
        drill.check(excused_until)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
