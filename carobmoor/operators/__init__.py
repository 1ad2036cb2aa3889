"""Operators: authentication by token, and the services they may change."""

from carobmoor.operators._identity import WILDCARD, Operator, identify
from carobmoor.operators._scope import changes_out_of_scope, may_operate

__all__ = [
    'WILDCARD',
    'Operator',
    'changes_out_of_scope',
    'identify',
    'may_operate',
]
