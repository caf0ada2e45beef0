"""What entries record of their use in the platform's store, and what the command line makes
of it: exact without a kill, at most an interval short after one."""

import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from platform_site import Site, wait_for  # noqa: E402

FLUSH_S = 1
EVENT_TOKENS = 1  # an event of the stand-in is one token
EVENTS = 4


def check(condition, *shown):
    if not condition:
        raise AssertionError(repr(shown))


def cli(build, site, *words, code=0):
    done = subprocess.run([os.path.join(build, "agateseam"), *words, "--store",
                           site.store.address], capture_output=True, text=True,
                          check=False, timeout=20)
    check(done.returncode == code, words, done.returncode, done.stdout, done.stderr)
    return done.stdout, done.stderr


def used(build, site, *words):
    rows = json.loads(cli(build, site, "usage", "--json", *words)[0])
    return {(row["workspace"], row["pool"]): row for row in rows}


def started(build, directory, entries=2):
    site = Site(build, directory, entries=entries, settings={"usage_flush_s": FLUSH_S})
    site.usual_replicas()
    site.configure(1)
    return site.start()


def send(site, plain, drafts):
    for number in range(plain):
        check(site.get("/safe/a", entry=number % 2).status == 200)
    for number in range(drafts):
        check(site.draft(entry=number % 2).whole)


def counted(build, site, requests):
    rows = used(build, site)
    return sum(row["requests"] for row in rows.values()) == requests


def test_usage_is_exact_and_priced(build, directory):
    with started(build, directory) as site:
        send(site, 6, 4)
        site.get("/safe/a", Authorization="Bearer wrong")  # refused: not counted
        wait_for(lambda: counted(build, site, 10), "the records")
        prices = os.path.join(directory, "prices.json")
        with open(prices, "w", encoding="utf-8") as file:
            file.write('{"model": {"prompt": 2.0, "output": 10.0}} // a million tokens')
        rows = used(build, site, "--prices", prices)
        drafts = rows["oshana", "model"]
        check(drafts["requests"] == 4 and drafts["prompt_tokens"] == 4 * 500, drafts)
        check(drafts["output_tokens"] == 4 * EVENTS * EVENT_TOKENS, drafts)
        wanted = (4 * 500 * 2.0 + 4 * EVENTS * 10.0) / 1e6
        check(abs(drafts["amount"] - wanted) < 1e-9, drafts["amount"], wanted)
        check(rows["oshana", "plain"]["requests"] == 6, rows)


def test_a_record_is_written_again_only_when_something_changed(build, directory):
    with started(build, directory) as site:
        send(site, 4, 0)
        wait_for(lambda: counted(build, site, 4), "the records")

        def writes():
            return sum(target.startswith("/v1/objects/agateseam-usage") and
                       method in ("PUT", "POST") for method, target in site.store.calls)

        before = writes()
        time.sleep(3 * FLUSH_S)
        check(writes() == before, before, writes())


def test_an_outage_loses_nothing_and_a_kill_at_most_an_interval(build, directory):
    with started(build, directory) as site:
        send(site, 4, 0)
        wait_for(lambda: counted(build, site, 4), "the records")
        site.store.mode = "busy"
        send(site, 4, 0)
        time.sleep(2 * FLUSH_S)
        site.store.mode = "up"
        wait_for(lambda: counted(build, site, 8), "what was counted in the outage")
        send(site, 2, 0)
        site.entries[0].end()
        site.entries[0].child.wait()
        site.entries[0].start()
        wait_for(site.entries[0].ready, "the entry to be back")
        send(site, 2, 0)
        wait_for(lambda: counted(build, site, 12) or counted(build, site, 11),
                 "what was counted after the kill")


def test_a_stop_records_the_rest(build, directory):
    with started(build, directory) as site:
        send(site, 2, 2)
        for entry in site.entries:
            entry.end(15)
        for entry in site.entries:
            check(entry.child.wait(10) == 0)
        check(counted(build, site, 4), used(build, site))


def test_bad_words_and_an_absent_store(build, directory):
    with started(build, directory, entries=1) as site:
        shown = cli(build, site, "forecast", code=1)[1]
        check("no history" in shown, shown)
        check("JSON object" in cli(build, site, "usage", "--prices", "/nowhere", code=1)[1])
        site.store.mode = "busy"
        check("status 503" in cli(build, site, "usage", code=1)[1])


if __name__ == "__main__":
    sys.exit(run.main(dict(globals())))
