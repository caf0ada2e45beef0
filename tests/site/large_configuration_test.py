"""Tests that a large configuration comes into force at entries with thin links."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, start_site  # noqa: E402
from platform_site import configuration, route, wait_for  # noqa: E402
from relay_test import FLEET, is_settled  # noqa: E402

ROUTES = 4200
IN_FORCE_S = 3.0  # The platform's bound, from the acknowledgement.
THIN_LINK = 1_250_000  # Bytes a second: 10 Mbit/s.


def large_configuration(version, count):
    routes = configuration(version)["routes"]
    routes += [route(f"/route-{number * 7919 % 104729:06x}/", "safe", "plain")
               for number in range(count)]
    return {"routes": routes}


def entries_behind(site, version):
    return [entry.name for entry in site.entries
            if not any(line["version"] == version
                       for line in entry.log_lines("configuration in force"))]


def wait_until_in_force(site, version, began, bound_s):
    wait_for(lambda: not entries_behind(site, version) or time.monotonic() - began > bound_s,
             f"version {version}", bound_s + 10)
    behind = entries_behind(site, version)
    check(not behind, version, "in force after the bound at", behind)


def test_a_document_that_arrives_slowly_from_the_store_is_not_given_up(build, directory):
    """Guards against a time-out that is shorter than the transfer: each call began anew."""
    with start_site(build, directory, entries=1, link_bytes_per_s=330_000) as site:
        size = len(str(large_configuration(2, ROUTES)))
        began = time.monotonic()
        site.configure(2, **large_configuration(2, ROUTES))
        transfer_s = size / site.link_bytes_per_s
        wait_until_in_force(site, 2, began, transfer_s + IN_FORCE_S)
        check(site.entries[0].store_link.bytes_sent < 1.5 * size,
              site.entries[0].store_link.bytes_sent, size)


def test_followers_with_thin_links_get_each_version_in_time(build, directory):
    """Guards against copies of one document that compete for a link, and relays that send the
    whole document for each small change."""
    with start_site(build, directory, entries=FLEET, link_bytes_per_s=THIN_LINK) as site:
        wait_for(lambda: is_settled(site), "all but the watchers to follow other entries", 15)
        version = 2
        for count in (1400, 1400, 2800, 2800, ROUTES, ROUTES):
            began = time.monotonic()
            site.configure(version, **large_configuration(version, count))
            wait_until_in_force(site, version, began, IN_FORCE_S)
            version += 1


def test_an_unchanged_large_configuration_costs_little_between_entries(build, directory):
    """Guards against relays that send a whole document for a change of one line of it."""
    with start_site(build, directory, entries=FLEET, link_bytes_per_s=100 * THIN_LINK) as site:
        wait_for(lambda: is_settled(site), "all but the watchers to follow other entries", 15)
        document = large_configuration(2, ROUTES)
        site.configure(2, **document)
        wait_until_in_force(site, 2, time.monotonic(), 2 * IN_FORCE_S)
        time.sleep(1)
        sent_before = sum(link.bytes_sent for link in site.peer_links.values())
        site.configure(3, **document)
        wait_until_in_force(site, 3, time.monotonic(), IN_FORCE_S)
        time.sleep(1)
        sent = sum(link.bytes_sent for link in site.peer_links.values()) - sent_before
        check(sent < 0.1 * len(str(document)), sent, len(str(document)))


if __name__ == "__main__":
    sys.exit(run.main(globals()))
