"""What proves how fresh the configuration of a node is."""

import math
from typing import Final, NamedTuple

_MS_PER_S: Final = 1000


class Proof(NamedTuple):
    """No version after `version` had been acknowledged at `read_at_s`.

    That is when the read began; what it returned may be newer.
    """

    version: int
    read_at_s: float


class Freshness(NamedTuple):
    """The latest proofs, and the question that is open."""

    # Of a version that was in force here when the proof came.
    usable: Proof | None = None
    # Of a version that wasn't in force here yet.
    ahead: Proof | None = None
    # Differs between questions and between starts of a node.
    question: int = 0
    asked_at_s: float = -math.inf
    is_answered: bool = True


class Answer(NamedTuple):
    """A node's proof, with its age at the time of the answer."""

    question: int
    version: int
    age_ms: int


def record_proof(state: Freshness, proof: Proof, version: int) -> Freshness:
    """Record a proof at a node where `version` is in force."""
    if proof.version > version:
        return state._replace(ahead=_later(state.ahead, proof))
    return state._replace(usable=_later(state.usable, proof))


def age_s(state: Freshness, version: int, now_s: float) -> float:
    """Return the age of the best proof; infinite if there is none.

    A proof of a newer version than the one in force here is none.
    """
    proof = _best(state, version)
    return math.inf if proof is None else now_s - proof.read_at_s


def ask(state: Freshness, question: int, now_s: float) -> Freshness:
    """Record that other nodes are asked; earlier questions are dropped."""
    return state._replace(
        question=question, asked_at_s=now_s, is_answered=False
    )


def answer_question(
    state: Freshness, question: int, version: int, now_s: float
) -> Answer | None:
    """Return the answer to another node's question, if there is a proof."""
    proof = _best(state, version)
    if proof is None:
        return None
    age_ms = math.ceil((now_s - proof.read_at_s) * _MS_PER_S)
    return Answer(question, proof.version, age_ms)


def record_answer(state: Freshness, answer: Answer, version: int) -> Freshness:
    """Record another node's answer as a proof.

    It was that old when it was sent, which was after the question. How long
    the answer took doesn't matter.
    """
    if answer.question != state.question or not state.question:
        return state
    read_at_s = state.asked_at_s - answer.age_ms / _MS_PER_S
    proof = Proof(answer.version, read_at_s)
    return record_proof(state._replace(is_answered=True), proof, version)


def _best(state: Freshness, version: int) -> Proof | None:
    ahead = state.ahead
    if ahead is not None and ahead.version <= version:
        return _later(state.usable, ahead)
    return state.usable


def _later(known: Proof | None, proof: Proof) -> Proof:
    if known is None or known.read_at_s < proof.read_at_s:
        return proof
    return known
