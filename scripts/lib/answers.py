"""What the engine stand-in generates for a prompt, so that a client can judge an answer."""

import hashlib

SHORTEST_ANSWER = 8
ANSWER_SPREAD = 64
BYTES_PER_TOKEN = 4


def prompt_seed(prompt):
    return hashlib.sha256(prompt.encode()).hexdigest()[:16]


def token_text(seed, index):
    return " " + hashlib.sha256(f"{seed}:{index}".encode()).hexdigest()[:6]


def natural_length(seed):
    return SHORTEST_ANSWER + int(seed[:4], 16) % ANSWER_SPREAD


def expected_answer(prompt, max_tokens):
    """Returns the whole text and its length in tokens."""
    seed = prompt_seed(prompt)
    length = min(max_tokens, natural_length(seed))
    return "".join(token_text(seed, index) for index in range(length)), length


def count_tokens(text):
    return -(-len(text) // BYTES_PER_TOKEN)
