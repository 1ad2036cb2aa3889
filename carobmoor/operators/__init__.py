"""Operators: authentication by token, and the services they may change."""

from carobmoor.operators._identity import WILDCARD, Operator, authenticate
from carobmoor.operators._scope import changes_out_of_scope, is_in_scope

__all__ = [
    'WILDCARD',
    'Operator',
    'authenticate',
    'changes_out_of_scope',
    'is_in_scope',
]
