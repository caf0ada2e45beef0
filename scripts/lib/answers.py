"""Computes the answer of the engine stand-in to a prompt, so that a client can check one.

The functions and constants correspond to those of fakes/answer_text.cpp.
"""

import hashlib

MIN_ANSWER_TOKENS = 8
ANSWER_LENGTH_RANGE_TOKENS = 64
BYTES_PER_TOKEN = 4


def prompt_seed(prompt):
    return hashlib.sha256(prompt.encode()).hexdigest()[:16]


def token_text(seed, index):
    return " " + hashlib.sha256(f"{seed}:{index}".encode()).hexdigest()[:6]


def natural_length(seed):
    return MIN_ANSWER_TOKENS + int(seed[:4], 16) % ANSWER_LENGTH_RANGE_TOKENS


def expected_answer(prompt, max_tokens):
    """Returns the text of the complete answer and its length in tokens."""
    seed = prompt_seed(prompt)
    length = min(max_tokens, natural_length(seed))
    return "".join(token_text(seed, index) for index in range(length)), length


def count_tokens(text):
    return -(-len(text) // BYTES_PER_TOKEN)
