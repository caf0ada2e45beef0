"""Sends orders to an agent whose engine does not check generations.

Guards against an agent that passes on an order of an old generation.
"""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import FLEET_SECRET, Fleet, call_http, wait_for  # noqa: E402


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-order"), entries=1, prefill=1, decode=1,
               services=1, engine_options=("--ignores-generation",)) as fleet:
        agent = fleet.agent_url("decode-1") + "/agent/order"
        engine = f"http://127.0.0.1:{fleet.backends['decode-1'].port}"

        def send_order(body, secret=FLEET_SECRET):
            return call_http("POST", agent, json.dumps(body), {"x-agateseam-fleet": secret})[0]

        check(send_order({"generation": 5}) == 200, "the first order was refused")
        check(send_order({"generation": 5}) == 200, "an order of the same generation was refused")
        check(send_order({"generation": 4}) == 409, "an old order was passed on")
        check(send_order({"generation": 6}) == 200, "a newer order was refused")
        check(send_order({"generation": 6}, "x" * 20) == 401, "a wrong secret was accepted")
        for invalid_order in ({}, {"generation": "7"}, {"generation": -1}, [7]):
            check(send_order(invalid_order) == 400, invalid_order)
        old_order_status = call_http("POST", engine + "/orders", json.dumps({"generation": 1}))[0]
        check(old_order_status == 200, "the engine stand-in refused an old order")

        def accepted_stale_orders():
            return json.loads(call_http("GET", engine + "/load")[2])["stale_orders"]

        wait_for(lambda: accepted_stale_orders() == 1,
                 "the engine to count only the old order sent to it directly", 2)


if __name__ == "__main__":
    main()
