"""Requests more output tokens than the settings allow.

Guards against answers that are longer than the reserved number of output tokens.
"""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from answers import expected_answer  # noqa: E402
from fleet import Fleet, call_http  # noqa: E402

MAX_OUTPUT_TOKENS = 5


def send_completion(url, key, prompt, **members):
    body = json.dumps({"model": "drafter", "prompt": prompt, **members})
    status, _, answer = call_http("POST", url + "/v1/completions", body,
                                  {"Authorization": "Bearer " + key})
    if status != 200:
        raise AssertionError(f"{status}: {answer[:200]!r}")
    return answer


def main():
    directory = os.path.join(sys.argv[1], "limit_test")
    with Fleet(sys.argv[1], directory, entries=1, prefill=1, decode=1, services=1,
               limits={"output_tokens": MAX_OUTPUT_TOKENS}) as fleet:
        fleet.configure(["oshana"])
        url, key = fleet.entry_urls()[0], fleet.keys["oshana"]
        for number, members in enumerate(({}, {"max_tokens": 50},
                                          {"max_completion_tokens": 50})):
            prompt = f"limit {number}"
            expected, _ = expected_answer(prompt, MAX_OUTPUT_TOKENS)
            answer = json.loads(send_completion(url, key, prompt, **members))
            choice = answer["choices"][0]
            if choice["text"] != expected or choice["finish_reason"] != "length":
                raise AssertionError(f"{members}: {choice}")
            streamed = send_completion(url, key, prompt, stream=True, **members).decode()
            text = "".join(json.loads(line[6:])["choices"][0]["text"]
                           for line in streamed.splitlines()
                           if line.startswith("data: {") and '"text"' in line)
            if text != expected or "data: [DONE]" not in streamed:
                raise AssertionError(f"{members}, streamed: {streamed[-300:]}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
