"""Tests entries with routes and workspaces that name the regions in which requests may run."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, check_complete_stream  # noqa: E402
from platform_site import Site, configuration, reset_connection, wait_for  # noqa: E402

# The entries are in zone-a, so that they prefer its servers. No region has zone-x.
REGIONS = {"zone-a": "north", "zone-b": "south", "zone-c": "south"}


def start_site(build, directory, route_regions=None, workspace_regions=None):
    site = Site(build, directory, entries=2, settings={"regions": REGIONS})
    for zone in (*REGIONS, "zone-x"):
        site.add_replica("plain", zone=zone)
        site.add_replica("model", stage="prefill", zone=zone)
        site.add_replica("model", stage="decode", zone=zone)
    settings = configuration(1)
    for item in settings["routes"]:
        item["allowed_regions"] = route_regions or []
    for item in settings["tenants"]:
        item["allowed_regions"] = workspace_regions or []
    site.configure(1, routes=settings["routes"], tenants=settings["tenants"])
    return site.start()


def send_all_kinds(site, rounds=10):
    for number in range(rounds):
        entry = number % 2
        check(site.get("/safe/a", entry=entry).status == 200)
        check(site.post("/once/a", entry=entry).status == 200)
        check_complete_stream(site.request_stream("/draft/a", entry=entry))
        check_complete_stream(site.request_stream("/resume/a", entry=entry))


def used_zones(site):
    """Returns the zones of the servers that got a request besides memory reports."""
    return {(replica.zone, replica.stage) for replica in site.replicas
            for request in replica.requests
            if request.method == "POST" or not request.target.startswith("/v1/")}


def check_rejected(response, began):
    check(response.status == 503 and time.monotonic() - began < 0.3, response.status,
          time.monotonic() - began)
    check(json.loads(response.body)["error"] == {"code": "no_server_in_region", "run": "not_run"},
          response.body)


def test_requests_of_a_route_run_in_its_regions_only(build, directory):
    """Guards against requests, prompts or KV caches that get to another region."""
    with start_site(build, directory, route_regions=["south"]) as site:
        send_all_kinds(site)
        stages = {None, "prefill", "decode"}
        zones = used_zones(site)
        check({zone for zone, _ in zones} <= {"zone-b", "zone-c"}, zones)
        check({stage for _, stage in zones} == stages, zones)
        sources = {request.header("Agateseam-Kv-Source").split("/")[0]
                   for replica in site.replicas_of("model", "decode")
                   for request in replica.requests} - {""}
        check(sources <= {replica.address for replica in site.replicas_of("model", "prefill")
                          if replica.zone in ("zone-b", "zone-c")}, sources)


def test_regions_of_route_and_workspace_both_bind(build, directory):
    with start_site(build, directory, route_regions=["north", "south"],
                    workspace_regions=["north", "west"]) as site:
        send_all_kinds(site)
        check({zone for zone, _ in used_zones(site)} == {"zone-a"}, used_zones(site))


def test_without_regions_requests_run_anywhere(build, directory):
    with start_site(build, directory) as site:
        for replica in site.replicas:
            if replica.zone != "zone-x":
                site.run_on_loop(site.store.remove, "servers", replica.id)
        wait_for(lambda: all(len(entry.log_lines("backend server gone")) == 9
                             for entry in site.entries), "the servers to be gone")
        send_all_kinds(site, rounds=2)


def test_requests_without_a_server_in_their_regions_are_rejected_at_once(build, directory):
    """Guards against requests that wait for, or run at, a server of another region."""
    for regions in (["west"], ["north", "west"]):
        with start_site(build, os.path.join(directory, regions[0]), route_regions=regions,
                        workspace_regions=["south", "west"]) as site:
            for path in ("/safe/a", "/once/a"):
                began = time.monotonic()
                check_rejected(site.post(path), began)
            for path in ("/draft/a", "/resume/a"):
                began = time.monotonic()
                check_rejected(site.request_stream(path), began)
            check(not used_zones(site), used_zones(site))


def test_a_region_whose_last_server_is_removed_rejects_requests(build, directory):
    with start_site(build, directory, route_regions=["north"]) as site:
        check(site.post("/safe/a").status == 200)
        last = [replica for replica in site.replicas_of("plain") if replica.zone == "zone-a"][0]
        site.run_on_loop(site.store.remove, "servers", last.id)
        wait_for(lambda: all(entry.log_lines("backend server gone") for entry in site.entries),
                 "the server to be gone")
        began = time.monotonic()
        check_rejected(site.post("/safe/a"), began)
        check_complete_stream(site.request_stream())


def test_a_broken_stream_is_resumed_in_its_region(build, directory):
    """Guards against a resumption at a server that is outside, which would hold its KV cache."""
    async def reset_after_events(_replica, request, _reader, writer):
        if not request.target.startswith("/v1/") and not request.header("Last-Event-Id"):
            asyncio.get_running_loop().call_later(0.1, reset_connection, writer)

    with start_site(build, directory, route_regions=["south"]) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.handler, replica.event_delay_s = reset_after_events, 0.04
        for number in range(4):
            check_complete_stream(site.request_stream("/resume/a", entry=number % 2))
        check({zone for zone, _ in used_zones(site)} <= {"zone-b", "zone-c"}, used_zones(site))
        check(sum(len(replica.runs) for replica in site.replicas_of("model", "decode")) >= 8)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
