"""Tests that a slow answer of a plain service is awaited until another server has answered."""

import asyncio
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, start_site  # noqa: E402
from platform_site import reset_connection, response_bytes, wait_for  # noqa: E402
from silent_stream_test import (  # noqa: E402
    FLEET, MANY_REPEATS, MAX_LEAVING_S, Streams, accept_silently, fail, refuse, reset, stay_silent)


class Answers(Streams):
    """Makes the first server of a request slow, and another one do what `go_on` does."""

    def __init__(self, go_on):
        super().__init__(go_on)
        self.has_first, self.repeats = False, 0

    async def handle(self, replica, request, reader, writer):
        if self.has_first:
            self.repeats += 1
            return await self.go_on(self, replica, request, reader, writer)
        self.has_first = True
        if await self.is_left(reader, self.silence_ends.wait()):
            self.first_left_at = time.monotonic()
            return False
        writer.write(response_bytes(200, b"slow answer", replica.identity_headers(request)))
        return True


async def answer(_answers, replica, request, _reader, writer):
    writer.write(response_bytes(200, b"quick answer", replica.identity_headers(request)))
    return True


def start_answers(build, directory, go_on):
    answers = Answers(go_on)
    site = start_site(build, directory, fleet=FLEET)
    for replica in site.replicas_of("plain"):
        replica.handler = answers.handle
    return site, answers


def check_slow_answer_comes(build, directory, go_on):
    site, answers = start_answers(build, directory, go_on)
    with site:
        response = site.get("/safe/a")
        check(response.status == 200 and response.body == b"slow answer",
              response.status, response.body)
        check(answers.first_left_at is None and answers.repeats == 1, answers.repeats)
    return answers


def test_a_slow_answer_outlives_a_refused_repeat(build, directory):
    """Guards against a request that fails because its slow server was left for one that refuses
    it, and the budget has no repeat for a third."""
    check_slow_answer_comes(build, directory, refuse)


def test_a_slow_answer_outlives_a_failed_repeat(build, directory):
    check_slow_answer_comes(build, directory, fail)


def test_a_slow_answer_outlives_a_repeat_that_breaks(build, directory):
    check_slow_answer_comes(build, directory, reset)


def test_a_slow_answer_that_comes_first_ends_the_repeat(build, directory):
    answers = check_slow_answer_comes(build, directory, accept_silently)
    check(answers.second_left_at is not None, "the second server was kept")


def test_a_slow_answer_outlives_a_server_that_cannot_be_reached(build, directory):
    site, answers = start_answers(build, directory, refuse)
    with site:
        async def close_the_other(_answers, _replica, _request, _reader, _writer):
            raise AssertionError("not reached")
        answers.go_on = close_the_other

        async def handle(replica, request, reader, writer):
            for other in site.replicas_of("plain"):
                if other is not replica:
                    other.listener.close()
            answers.end_silence_soon()
            return await answers.handle(replica, request, reader, writer)
        for replica in site.replicas_of("plain"):
            replica.handler = handle
        response = site.get("/safe/a")
        check(response.status == 200 and response.body == b"slow answer",
              response.status, response.body)


def test_a_slow_server_is_left_when_another_has_answered(build, directory):
    site, answers = start_answers(build, directory, answer)
    with site:
        response = site.get("/safe/a")
        check(response.status == 200 and response.body == b"quick answer", response.body)
        wait_for(lambda: answers.first_left_at, "the slow server to be left", 1)


def test_a_caller_that_leaves_ends_both_calls(build, directory):
    site, answers = start_answers(build, directory, stay_silent)
    with site:
        head = "".join(f"{name}: {value}\r\n" for name, value in site.headers().items())
        with socket.create_connection(("127.0.0.1", site.entries[0].callers)) as caller:
            caller.sendall(f"GET /safe/a HTTP/1.1\r\n{head}\r\n".encode())
            wait_for(lambda: answers.repeats, "the repeat")
        left_at = time.monotonic()
        wait_for(lambda: answers.first_left_at and answers.second_left_at, "both ends", 2)
        check(max(answers.first_left_at, answers.second_left_at) - left_at <= MAX_LEAVING_S,
              answers.first_left_at - left_at, answers.second_left_at - left_at)


def test_a_servers_failure_is_relayed_when_the_slow_answer_is_lost(build, directory):
    async def fail_and_break(answers, replica, request, reader, writer):
        asyncio.get_running_loop().call_later(0.3, answers.break_first)
        writer.write(response_bytes(500, b"failed", replica.identity_headers(request)))
        return True
    site, answers = start_answers(build, directory, fail_and_break)
    answers.break_first = lambda: [reset_connection(writer) for replica in site.replicas_of("plain")
                                   for writer in list(replica.open_connections)]
    with site:
        response = site.get("/safe/a")
        check(response.status == 500 and response.body == b"failed", response.status, response.body)


def test_a_block_during_a_slow_answer_does_not_stop_the_entry(build, directory):
    """Guards against a slow answer that asks for another server without end while its request is
    blocked, so that the entry serves nothing else."""
    site = start_site(build, directory, fleet=MANY_REPEATS)
    for _ in range(6):
        site.add_replica("plain")
    has_arrived, answers = threading.Event(), []

    async def crash_others(replica, request, _reader, writer):
        if request.target != "/safe/a":
            return None
        if request.id != "slow":
            reset_connection(writer)
            return False
        has_arrived.set()
        await asyncio.sleep(2)
        writer.write(response_bytes(200, b"slow answer", replica.identity_headers(request)))
        return True
    with site:
        time.sleep(1.2)  # Until the servers are listed and a block may begin.
        for replica in site.replicas_of("plain"):
            replica.handler = crash_others
        caller = threading.Thread(target=lambda: answers.append(
            site.get("/safe/a", Agateseam_Request_Id="slow")))
        caller.start()
        check(has_arrived.wait(2), "the slow request to arrive")
        for _ in range(2):
            site.get("/safe/a")
        time.sleep(1)  # The slow request may be repeated after 0.3 s.
        check(site.get("/open/b").status == 200)
        caller.join(5)
        check(answers and answers[0].status == 200, answers)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
