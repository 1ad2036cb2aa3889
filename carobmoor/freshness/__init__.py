"""How long ago the configuration in force here was known to be the newest.

Decides without network or clock; readings of a clock that also counts the
suspension of the machine are passed in.
"""

from carobmoor.freshness._policy import FreshnessPolicy
from carobmoor.freshness._state import (
    Answer,
    Freshness,
    Proof,
    age_s,
    answer_question,
    ask,
    record_answer,
    record_proof,
)
from carobmoor.freshness._steps import is_fresh, is_question_due, is_read_due

__all__ = [
    'Answer',
    'Freshness',
    'FreshnessPolicy',
    'Proof',
    'age_s',
    'answer_question',
    'ask',
    'is_fresh',
    'is_question_due',
    'is_read_due',
    'record_answer',
    'record_proof',
]
