"""Starts an entry with a certificate that the test creates.

Guards against an entry that does not serve TLS, shows another certificate or serves plain HTTP.
"""

import json
import os
import ssl
import subprocess
import sys
import urllib.error
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import OPERATOR_TOKEN, Fleet, wait_for  # noqa: E402


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def create_certificate(directory, name):
    paths = [os.path.join(directory, name + suffix) for suffix in (".crt", ".key")]
    subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2",
                    "-subj", "/CN=agateseam-test", "-addext", "subjectAltName=IP:127.0.0.1",
                    "-out", paths[0], "-keyout", paths[1]], check=True, capture_output=True)
    return paths


def get(url, trusted_certificate, key, body=None):
    request = urllib.request.Request(url, body, {"Authorization": "Bearer " + key})
    context = ssl.create_default_context(cafile=trusted_certificate)
    with urllib.request.urlopen(request, timeout=10, context=context) as answer:
        return answer.status, answer.read()


def launch_tls_entry(fleet, certificate, private_key):
    content = fleet.daemon_settings("entry-tls", fleet.domains[0], "entry")
    content["operator_token"] = OPERATOR_TOKEN
    content["listen"].update(certificate_file=certificate, private_key_file=private_key)
    entry = fleet.launch_daemon("entry-tls", content)
    entry.await_port()
    fleet.entries.append("entry-tls")
    fleet.publish_vms()
    return entry


def certificate_is_refused(url, trusted_certificate, key):
    try:
        get(url, trusted_certificate, key)
        return False
    except urllib.error.URLError as error:
        return isinstance(error.reason, ssl.SSLCertVerificationError)


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-tls"), entries=1, prefill=1, decode=1,
               services=1) as fleet:
        fleet.configure(("oshana",))
        key = fleet.keys["oshana"]
        certificate, private_key = create_certificate(fleet.directory, "entry")
        other_certificate, _ = create_certificate(fleet.directory, "other")
        entry = launch_tls_entry(fleet, certificate, private_key)
        url = f"https://127.0.0.1:{entry.port}"

        first_body = json.dumps({"model": "drafter", "prompt": "x", "max_tokens": 1}).encode()

        def entry_serves():
            try:
                return get(url + "/v1/completions", certificate, key, first_body)[0] == 200
            except urllib.error.HTTPError:
                return False

        wait_for(entry_serves, "the TLS entry to serve")
        for stream in (False, True):
            body = json.dumps({"model": "drafter", "prompt": "secret", "stream": stream,
                               "max_tokens": 5}).encode()
            status, answer = get(url + "/v1/completions", certificate, key, body)
            check(status == 200 and answer, answer)
            check(not stream or b"[DONE]" in answer, answer)
        check(certificate_is_refused(url + "/readyz", other_certificate, key),
              "the entry was trusted with another certificate")
        try:
            urllib.request.urlopen(f"http://127.0.0.1:{entry.port}/readyz", timeout=5)
            raise AssertionError("plain HTTP was served")
        except (OSError, ValueError, urllib.error.URLError):
            pass
        check(entry.child.poll() is None, "the entry exited")


if __name__ == "__main__":
    main()
