"""Tests an entry while replicas say, only in their answers, that they leave or rest."""

import asyncio
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, check_complete_stream, cut_after_two, start_site  # noqa: E402
from platform_site import Site, response_bytes, send_request, wait_for  # noqa: E402

DRAIN_S = 0.25


class Load:
    """Callers that send requests of each kind all the time; `responses` holds all answers."""

    CALLS = (lambda site: site.get("/safe/a"), lambda site: site.post("/once/a"),
             lambda site: site.request_stream(), lambda site: site.request_stream("/resume/a"))

    def __init__(self, site, callers=8, calls=CALLS, pause_s=0.01):
        self.site, self.responses, self.stopped, self.pause_s = site, [], False, pause_s
        self.threads = [threading.Thread(target=self.send, args=(calls[number % len(calls)],))
                        for number in range(callers)]

    def send(self, call):
        while not self.stopped:
            self.responses.append(call(self.site))
            time.sleep(self.pause_s)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def check_all_answered(self):
        others = [(response.status, response.body) for response in self.responses
                  if response.status != 200 or not response.complete]
        check(self.responses and not others, len(self.responses), others[:3])


def metric(site, name):
    text = send_request(site.entries[0].metrics, "GET", "/metrics", {}).body.decode()
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.split("\n")
               if line.startswith(name + " "))


def start_wide_site(build, directory):
    """Starts a site with two replicas more, so that one of each kind may leave."""
    site = Site(build, directory)
    site.add_default_replicas()
    site.add_replica("plain")
    site.add_replica("model", stage="prefill")
    site.configure(1)
    return site.start()


def check_rolling_release(site):
    old = list(site.replicas)
    with Load(site) as load:
        for replica in old:
            substitute = site.add_replica(replica.service, stage=replica.stage)
            wait_for(lambda: substitute.requests, "work for the substitute")
            replica.says_leaving = True
            wait_for(lambda: replica.left_at, "an answer that says that the replica leaves")
        time.sleep(0.9)  # A memory report is requested every 0.7 s.
    load.check_all_answered()
    for replica in old:
        late = [request.target for request in replica.requests_after_leaving(DRAIN_S)]
        check(not late, replica.id, replica.service, replica.stage, len(late), late[:3])
    said = site.entries[0].log_lines("server says it leaves")
    check(sorted(line["server"] for line in said) == sorted(replica.id for replica in old), said)
    check(metric(site, "agateseam_leaving_answers_total") >= len(old))


def test_a_release_told_only_by_answers(build, directory):
    """Guards against work for a replica that the store's list still calls ready."""
    with start_wide_site(build, directory) as site:
        check_rolling_release(site)


def test_replicas_that_leave_while_the_store_is_silent(build, directory):
    with start_wide_site(build, directory) as site:
        leaving = [site.replicas_of("plain")[0], site.replicas_of("model", "prefill")[0],
                   site.replicas_of("model", "decode")[0]]
        site.store.mode = "silent"
        with Load(site) as load:
            time.sleep(0.2)
            for replica in leaving:
                replica.says_leaving = True
            time.sleep(1.5)
        load.check_all_answered()
        for replica in leaving:
            late = [request.target for request in replica.requests_after_leaving(DRAIN_S)]
            check(replica.left_at and not late, replica.id, replica.left_at, late[:3])


def test_only_a_new_incarnation_is_used_again(build, directory):
    with start_site(build, directory) as site:
        first, second = site.replicas_of("plain")
        first.born = 1_700_000_000_000
        site.publish_replica(first)
        wait_for(lambda: site.entries[0].log_lines("backend server changed"), "the replica's birth")
        time.sleep(0.1)  # Changes are published together 10 ms after the log line.
        first.says_leaving = True
        wait_for(lambda: site.get("/safe/a").status == 200 and first.left_at, "the notice")
        count = len(first.requests)
        site.run_on_loop(site.store.remove, "servers", first.id)
        site.publish_replica(first)
        wait_for(lambda: len(site.entries[0].log_lines("backend server changed")) >= 2,
                 "the same incarnation on the list again")
        time.sleep(0.1)
        for _ in range(10):
            check(site.get("/safe/a").status == 200)
        check(len(first.requests) == count, len(first.requests), count)
        first.says_leaving, first.born = False, first.born + 5_000
        site.publish_replica(first)
        wait_for(lambda: site.get("/safe/a").status == 200 and len(first.requests) > count,
                 "work for the new incarnation")


def test_a_stream_from_a_leaving_replica_is_resumed_elsewhere(build, directory):
    with start_site(build, directory) as site:
        decode = site.replicas_of("model", "decode")
        for replica in decode:
            replica.event_count, replica.handler = 6, leave_and_cut
        response = site.request_stream("/resume/a")
        check_complete_stream(response, 6)
        left, = [replica for replica in decode if replica.left_at]
        other, = [replica for replica in decode if replica is not left]
        check(len(left.runs) == 1 and len(other.runs) == 1, left.runs, other.runs)
        other.handler = None
        for _ in range(8):
            check_complete_stream(site.request_stream("/resume/a"), 6)
        check(len(left.runs) == 1 and len(other.runs) == 9, left.runs, other.runs)


async def leave_and_cut(replica, request, reader, writer):
    """Begins a stream whose head says that the replica leaves, and cuts it."""
    if request.target.startswith("/v1/"):
        return None
    if request.header("Last-Event-Id"):
        return None
    replica.says_leaving = True
    return await cut_after_two(replica, request, reader, writer)


def test_a_place_at_a_leaving_replica_is_released(build, directory):
    """Guards against a stream on a reservation whose own answer said that the replica leaves."""
    with start_site(build, directory) as site:
        leaving, other = site.replicas_of("model", "decode")
        leaving.says_leaving = True
        wait_for(lambda: site.request_stream().status == 200 and leaving.left_at, "the notice")
        check(not leaving.runs, leaving.runs)
        wait_for(lambda: not leaving.holds, "the reservation to be released", 1)
        check_complete_stream(site.request_stream())
        check(len(other.runs) >= 2, other.runs)


async def prefill_slowly(replica, request, _reader, _writer):
    if request.header("Agateseam-Stage") == "prefill":
        await asyncio.sleep(0.3)


def start_stream_with_place(site):
    """Starts a stream whose prompt is still read while its place at a decode replica is held."""
    prefill, = site.replicas_of("model", "prefill")
    prefill.handler = prefill_slowly
    responses = []
    stream = threading.Thread(target=lambda: responses.append(site.request_stream()))
    stream.start()
    wait_for(lambda: prefill.requests, "the prefill of the stream")
    return stream, responses


def start_site_with_one_decode_replica(build, directory):
    site = Site(build, directory)
    site.add_replica("model", stage="prefill")
    site.add_replica("model", stage="decode")
    site.configure(1)
    return site.start()


def test_a_place_is_chosen_again_when_its_replica_leaves(build, directory):
    with start_site_with_one_decode_replica(build, directory) as site:
        prefill, first = site.replicas
        stream, responses = start_stream_with_place(site)
        first.says_leaving = True
        other = threading.Thread(target=lambda: responses.append(site.request_stream()))
        other.start()
        wait_for(lambda: first.left_at, "a reservation answered with the replica's word")
        second = site.add_replica("model", stage="decode")
        stream.join()
        other.join()
        for response in responses:
            check_complete_stream(response)
        check(not first.runs and len(second.runs) == 2, first.runs, second.runs)
        check(not first.holds, first.holds)
        read = [request for request in prefill.requests if request.method == "POST"]
        check(len(read) == 2, len(read))


def check_place_after_list_change(build, directory, change):
    with start_site_with_one_decode_replica(build, directory) as site:
        prefill, first = site.replicas
        stream, responses = start_stream_with_place(site)
        wait_for(lambda: first.holds, "the reservation")
        second = site.add_replica("model", stage="decode")
        change(site, first)
        stream.join()
        check_complete_stream(responses[0])
        check(not first.runs and len(second.runs) == 1, first.runs, second.runs)
        wait_for(lambda: not first.holds, "the reservation to be released", 1)
        read = [request for request in prefill.requests if request.method == "POST"]
        check(len(read) == 1, len(read))


def test_a_place_is_chosen_again_when_its_replica_is_listed_as_draining(build, directory):
    """Guards against a stream that reaches a replica long after the list said that it leaves, as
    its prompt was read meanwhile."""
    check_place_after_list_change(build, directory,
                                  lambda site, replica: site.publish_replica(replica, "draining"))


def test_a_place_is_chosen_again_when_its_replica_is_removed_from_the_list(build, directory):
    """Guards against the same when a replica leaves without announcing it."""
    check_place_after_list_change(
        build, directory,
        lambda site, replica: site.run_on_loop(site.store.remove, "servers", replica.id))


def test_a_place_is_chosen_again_when_its_replica_rests(build, directory):
    with start_site_with_one_decode_replica(build, directory) as site:
        prefill, first = site.replicas
        stream, responses = start_stream_with_place(site)
        first.rest_s = 5.0
        response = site.request_stream()
        check(response.status == 503 and b"servers_rest" in response.body, response.body)
        second = site.add_replica("model", stage="decode")
        stream.join()
        check_complete_stream(responses[0])
        check(not first.runs and len(second.runs) == 1, first.runs, second.runs)
        check(not first.arrivals_in_rest, first.arrivals_in_rest)
        read = [request for request in prefill.requests if request.method == "POST"]
        check(len(read) == 1, len(read))


def test_what_is_under_way_at_a_leaving_replica_ends_there(build, directory):
    async def say_it_at_the_end(replica, request, _reader, _writer):
        if request.target == "/v1/report":
            replica.says_leaving = True
    with start_site(build, directory) as site:
        decode = site.replicas_of("model", "decode")
        for replica in decode:
            replica.event_count, replica.event_delay_s = 20, 0.1
            replica.handler = say_it_at_the_end
        response = site.request_stream()
        check_complete_stream(response, 20)
        check(all(replica.left_at for replica in decode))
        check(sum(len(replica.runs) for replica in decode) == 1)


def check_rest(site, replica, rest_s, slack_s):
    """Lets a replica rest under load, and checks that nothing reaches it meanwhile."""
    with Load(site):
        wait_for(lambda: len(replica.requests) > 3, "load at the replica")
        replica.rest_s = rest_s
        wait_for(lambda: replica.rest_began, "the replica's refusal")
        time.sleep(rest_s + 0.4)
        count = len(replica.requests)
        wait_for(lambda: len(replica.requests) > count, "work after the rest", 3)
    late = [arrival for arrival in replica.arrivals_in_rest if arrival[0] > slack_s]
    check(not late, replica.service, replica.stage, len(late), late[:5])
    check(len(replica.arrivals_in_rest) <= 8, replica.arrivals_in_rest)
    rests = site.entries[0].log_lines("server rests")
    check(any(line["server"] == replica.id for line in rests), rests)


def test_a_plain_replica_that_rests(build, directory):
    with start_site(build, directory) as site:
        first, second = site.replicas_of("plain")
        check_rest(site, first, 0.3, 0.1)
        check_rest(site, second, 2, 0.5)
        check(metric(site, "agateseam_server_rests_total") >= 2)


def test_a_decode_replica_that_rests(build, directory):
    with start_site(build, directory) as site:
        first, second = site.replicas_of("model", "decode")
        check_rest(site, first, 0.3, 0.1)
        check_rest(site, second, 2, 0.5)


def test_a_prefill_replica_that_rests(build, directory):
    with start_wide_site(build, directory) as site:
        first, second = site.replicas_of("model", "prefill")
        check_rest(site, first, 0.3, 0.1)
        check_rest(site, second, 2, 0.5)


def test_callers_are_told_at_once_when_all_servers_rest(build, directory):
    """Guards against callers that wait in vain, and against an early return of all of them."""
    with start_site(build, directory) as site:
        for service, stage, send in (("plain", None, lambda: site.get("/safe/a")),
                                     ("model", "decode", site.request_stream)):
            first, second = site.replicas_of(service, stage)
            first.rest_s, second.rest_s = 3.0, 1.5
            wait_for(lambda: send().status == 503 and first.rest_began and second.rest_began,
                     "refusals of both")
            start_time = time.monotonic()
            responses = [send() for _ in range(10)]
            elapsed_s = time.monotonic() - start_time
            left_s = second.rest_began + 1.5 - start_time
            check(all(response.status == 503 and b"not_run" in response.body
                      for response in responses), [response.status for response in responses])
            check(elapsed_s < 0.5, elapsed_s)
            waits_s = [float(response.headers["Retry-After"]) for response in responses]
            check(all(left_s - elapsed_s <= wait_s < left_s + 0.6 for wait_s in waits_s),
                  left_s, waits_s)
            check(len(set(waits_s)) > 5, waits_s)
            check(not [arrival for arrival in second.arrivals_in_rest if arrival[0] > 0.5])
            time.sleep(max(0.0, second.rest_began + 1.55 - time.monotonic()))
            check(send().status == 200, service)


def refuse_with(retry_after):
    async def refuse(replica, request, _reader, writer):
        writer.write(response_bytes(503, {}, [("Agateseam-Not-Executed", "1"),
                                              ("Retry-After", retry_after)]
                                    + replica.id_headers(request)))
        return True
    return refuse


def test_a_retry_after_that_is_no_number_is_ignored(build, directory):
    with start_site(build, directory) as site:
        first, second = site.replicas_of("plain")
        for count, value in enumerate(("Fri, 04 Dec 2026 09:00:00 GMT", "soon", "-3", "inf", "nan"),
                                      1):
            first.handler = refuse_with(value)
            wait_for(lambda: site.get("/safe/a").status == 200 and
                     len(site.entries[0].log_lines("server rest ignored")) >= count, value)
        first.handler = None
        count = len(first.requests)
        wait_for(lambda: site.get("/safe/a").status == 200 and len(first.requests) > count,
                 "work for the replica")
        check(not site.entries[0].log_lines("server rests"))


def test_a_very_long_rest_lasts(build, directory):
    with start_site(build, directory) as site:
        first, second = site.replicas_of("plain")
        first.handler = refuse_with("9" * 300)
        wait_for(lambda: site.get("/safe/a").status == 200 and first.requests, "the refusal")
        for _ in range(20):
            check(site.get("/safe/a").status == 200)
            time.sleep(0.03)
        check(len(first.requests) == 1, len(first.requests))


if __name__ == "__main__":
    sys.exit(run.main(globals()))
