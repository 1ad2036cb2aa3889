"""The configuration document: its shape, its acceptance and its spreading."""

from carobmoor.configuration._check import Fault, check_document, read_commented
from carobmoor.configuration._document import (
    Document,
    RankDocument,
    ServiceDocument,
    admission_policy_of,
    document_schema,
    objectives_of,
    validate_document,
)
from carobmoor.configuration._follow import ConfigurationState, follow
from carobmoor.configuration._publish import (
    Accepted,
    Conflict,
    Head,
    Submission,
    load_accepted,
    publish,
    read_head,
    read_history,
)

__all__ = [
    'Accepted',
    'ConfigurationState',
    'Conflict',
    'Document',
    'Fault',
    'Head',
    'RankDocument',
    'ServiceDocument',
    'Submission',
    'admission_policy_of',
    'check_document',
    'document_schema',
    'follow',
    'load_accepted',
    'objectives_of',
    'publish',
    'read_commented',
    'read_head',
    'read_history',
    'validate_document',
]
