"""An agent refuses old orders itself, for an engine that takes any."""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import FLEET_SECRET, Fleet, call_http, wait_for  # noqa: E402


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-order"), entries=1, prefill=1, decode=1,
               services=1, engine_options=("--ignores-generation",)) as fleet:
        agent = fleet.agent_url("decode-1") + "/agent/order"
        engine = f"http://127.0.0.1:{fleet.backends['decode-1'].port}"

        def order(body, secret=FLEET_SECRET):
            return call_http("POST", agent, json.dumps(body), {"x-agateseam-fleet": secret})[0]

        check(order({"generation": 5}) == 200, "a first order")
        check(order({"generation": 5}) == 200, "one of the same generation")
        check(order({"generation": 4}) == 409, "an old order was passed on")
        check(order({"generation": 6}) == 200, "a newer order")
        check(order({"generation": 6}, "x" * 20) == 401, "a wrong secret")
        for bad in ({}, {"generation": "7"}, {"generation": -1}, [7]):
            check(order(bad) == 400, bad)
        old = call_http("POST", engine + "/orders", json.dumps({"generation": 1}))[0]
        check(old == 200, "the stand-in should take old orders here")

        def stale():
            return json.loads(call_http("GET", engine + "/load")[2])["stale_orders"]

        wait_for(lambda: stale() == 1, "the one old order sent past the agent", 2)


if __name__ == "__main__":
    main()
