"""Tests the usage records in the platform's store and the commands that read them. Records are
exact unless an entry is killed; a kill loses at most one flush interval."""

import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from platform_site import Site, wait_for  # noqa: E402

FLUSH_S = 1
EVENT_TOKENS = 1  # Each event of a replica is one token.
EVENTS = 4


def check(condition, *details):
    if not condition:
        raise AssertionError(repr(details))


def run_cli(build, site, *arguments, exit_code=0):
    completed = subprocess.run([os.path.join(build, "agateseam"), *arguments, "--store",
                                site.store.address], capture_output=True, text=True,
                               check=False, timeout=20)
    check(completed.returncode == exit_code,
          arguments, completed.returncode, completed.stdout, completed.stderr)
    return completed.stdout, completed.stderr


def usage_rows(build, site, *arguments):
    rows = json.loads(run_cli(build, site, "usage", "--json", *arguments)[0])
    return {(row["workspace"], row["pool"]): row for row in rows}


def start_site(build, directory, entries=2):
    site = Site(build, directory, entries=entries, settings={"usage_flush_s": FLUSH_S})
    site.add_default_replicas()
    site.configure(1)
    return site.start()


def send_requests(site, plain_count, stream_count):
    for number in range(plain_count):
        check(site.get("/safe/a", entry=number % 2).status == 200)
    for number in range(stream_count):
        check(site.request_stream(entry=number % 2).complete)


def all_recorded(build, site, requests):
    rows = usage_rows(build, site)
    return sum(row["requests"] for row in rows.values()) == requests


def test_usage_is_exact_and_priced(build, directory):
    with start_site(build, directory) as site:
        send_requests(site, 6, 4)
        site.get("/safe/a", Authorization="Bearer wrong")  # refused: not counted
        wait_for(lambda: all_recorded(build, site, 10), "the records to be written")
        prices = os.path.join(directory, "prices.json")
        with open(prices, "w", encoding="utf-8") as file:
            file.write('{"model": {"prompt": 2.0, "output": 10.0}} // a million tokens')
        rows = usage_rows(build, site, "--prices", prices)
        stream_row = rows["oshana", "model"]
        check(stream_row["requests"] == 4 and stream_row["prompt_tokens"] == 4 * 500, stream_row)
        check(stream_row["output_tokens"] == 4 * EVENTS * EVENT_TOKENS, stream_row)
        expected_amount = (4 * 500 * 2.0 + 4 * EVENTS * 10.0) / 1e6
        check(abs(stream_row["amount"] - expected_amount) < 1e-9,
              stream_row["amount"], expected_amount)
        check(rows["oshana", "plain"]["requests"] == 6, rows)


def test_a_record_is_written_again_only_when_something_changed(build, directory):
    with start_site(build, directory) as site:
        send_requests(site, 4, 0)
        wait_for(lambda: all_recorded(build, site, 4), "the records to be written")

        def writes():
            return sum(target.startswith("/v1/objects/agateseam-usage") and
                       method in ("PUT", "POST") for method, target in site.store.calls)

        writes_before = writes()
        time.sleep(3 * FLUSH_S)
        check(writes() == writes_before, writes_before, writes())


def test_an_outage_loses_nothing_and_a_kill_at_most_an_interval(build, directory):
    with start_site(build, directory) as site:
        send_requests(site, 4, 0)
        wait_for(lambda: all_recorded(build, site, 4), "the records to be written")
        site.store.mode = "busy"
        send_requests(site, 4, 0)
        time.sleep(2 * FLUSH_S)
        site.store.mode = "up"
        wait_for(lambda: all_recorded(build, site, 8), "the usage during the outage to be recorded")
        send_requests(site, 2, 0)
        site.entries[0].end()
        site.entries[0].process.wait()
        site.entries[0].start()
        wait_for(site.entries[0].is_ready, "the entry to be ready again")
        send_requests(site, 2, 0)
        wait_for(lambda: all_recorded(build, site, 12) or all_recorded(build, site, 11),
                 "the usage after the kill to be recorded")


def test_a_stop_records_the_remaining_usage(build, directory):
    with start_site(build, directory) as site:
        send_requests(site, 2, 2)
        for entry in site.entries:
            entry.end(15)
        for entry in site.entries:
            check(entry.process.wait(10) == 0)
        check(all_recorded(build, site, 4), usage_rows(build, site))


def test_bad_arguments_and_an_unavailable_store(build, directory):
    with start_site(build, directory, entries=1) as site:
        output = run_cli(build, site, "forecast", exit_code=1)[1]
        check("no history" in output, output)
        check("JSON object" in run_cli(build, site, "usage", "--prices", "/nowhere",
                                       exit_code=1)[1])
        site.store.mode = "busy"
        check("status 503" in run_cli(build, site, "usage", exit_code=1)[1])


if __name__ == "__main__":
    sys.exit(run.main(dict(globals())))
