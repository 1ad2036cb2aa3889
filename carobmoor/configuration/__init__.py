"""The configuration document: its schema, how it is published and followed."""

from carobmoor.configuration._check import Fault, check_document, read_commented
from carobmoor.configuration._collect import (
    PIECES_TARGET,
    Fleet,
    answer_pieces,
)
from carobmoor.configuration._document import (
    Document,
    RankDocument,
    ServiceDocument,
    admission_policy_of,
    document_schema,
    objectives_of,
    quarantine_policy_of,
    validate_document,
)
from carobmoor.configuration._follow import (
    SINCE_TARGET,
    Follower,
    Teller,
    answer_since,
)
from carobmoor.configuration._publish import (
    Conflict,
    OutcomeUnknown,
    Published,
    Submission,
    load_version,
    publish,
)
from carobmoor.configuration._routing import (
    retry_policy_of,
    routing_policy_of,
)
from carobmoor.configuration._state import (
    ConfigurationState,
    Snapshot,
    make_change,
)
from carobmoor.configuration._store import (
    Accepted,
    Head,
    load_document,
    read_head,
    read_history,
)

__all__ = [
    'PIECES_TARGET',
    'SINCE_TARGET',
    'Accepted',
    'ConfigurationState',
    'Conflict',
    'Document',
    'Fault',
    'Fleet',
    'Follower',
    'Head',
    'OutcomeUnknown',
    'Published',
    'RankDocument',
    'ServiceDocument',
    'Snapshot',
    'Submission',
    'Teller',
    'admission_policy_of',
    'answer_pieces',
    'answer_since',
    'check_document',
    'document_schema',
    'load_document',
    'load_version',
    'make_change',
    'objectives_of',
    'publish',
    'quarantine_policy_of',
    'read_commented',
    'read_head',
    'read_history',
    'retry_policy_of',
    'routing_policy_of',
    'validate_document',
]
