"""TLS towards callers by settings, with a certificate that is made here."""

import json
import os
import ssl
import subprocess
import sys
import urllib.error
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import OPERATOR_TOKEN, Fleet, wait_for  # noqa: E402


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def make_certificate(directory, name):
    files = [os.path.join(directory, name + suffix) for suffix in (".crt", ".key")]
    subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2",
                    "-subj", "/CN=agateseam-test", "-addext", "subjectAltName=IP:127.0.0.1",
                    "-out", files[0], "-keyout", files[1]], check=True, capture_output=True)
    return files


def get(url, trusted, key, body=None):
    request = urllib.request.Request(url, body, {"Authorization": "Bearer " + key})
    context = ssl.create_default_context(cafile=trusted)
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


def refused(url, trusted, key):
    try:
        get(url, trusted, key)
        return False
    except urllib.error.URLError as fault:
        return isinstance(fault.reason, ssl.SSLCertVerificationError)


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-tls"), entries=1, prefill=1, decode=1,
               services=1) as fleet:
        fleet.configure(("oshana",))
        key = fleet.keys["oshana"]
        certificate, private_key = make_certificate(fleet.directory, "entry")
        other, _ = make_certificate(fleet.directory, "other")
        entry = launch_tls_entry(fleet, certificate, private_key)
        url = f"https://127.0.0.1:{entry.port}"

        first = json.dumps({"model": "drafter", "prompt": "x", "max_tokens": 1}).encode()

        def serves():
            try:
                return get(url + "/v1/completions", certificate, key, first)[0] == 200
            except urllib.error.HTTPError:
                return False

        wait_for(serves, "the TLS entry to serve")
        for stream in (False, True):
            body = json.dumps({"model": "drafter", "prompt": "secret", "stream": stream,
                               "max_tokens": 5}).encode()
            status, answer = get(url + "/v1/completions", certificate, key, body)
            check(status == 200 and answer, answer)
            check(not stream or b"[DONE]" in answer, answer)
        check(refused(url + "/readyz", other, key), "another certificate was trusted")
        try:
            urllib.request.urlopen(f"http://127.0.0.1:{entry.port}/readyz", timeout=5)
            raise AssertionError("plain HTTP was served")
        except (OSError, ValueError, urllib.error.URLError):
            pass
        check(entry.child.poll() is None, "the entry ended")


if __name__ == "__main__":
    main()
