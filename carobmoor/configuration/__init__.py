"""The configuration document: its schema, how it is published and followed."""

from carobmoor.configuration._check import (
    Fault,
    parse_commented_json,
    validate_against,
)
from carobmoor.configuration._collect import (
    PIECES_TARGET,
    PeerAccess,
    handle_pieces_request,
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
    MISSED_VERSIONS_TARGET,
    Follower,
    ReportingNode,
    handle_since_request,
)
from carobmoor.configuration._publish import (
    Conflict,
    OutcomeUnknown,
    PublishedVersion,
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
    build_change,
)
from carobmoor.configuration._store import (
    AcceptedVersion,
    Head,
    load_document,
    read_head,
    read_history,
)

__all__ = [
    'MISSED_VERSIONS_TARGET',
    'PIECES_TARGET',
    'AcceptedVersion',
    'ConfigurationState',
    'Conflict',
    'Document',
    'Fault',
    'Follower',
    'Head',
    'OutcomeUnknown',
    'PeerAccess',
    'PublishedVersion',
    'RankDocument',
    'ReportingNode',
    'ServiceDocument',
    'Snapshot',
    'Submission',
    'admission_policy_of',
    'build_change',
    'document_schema',
    'handle_pieces_request',
    'handle_since_request',
    'load_document',
    'load_version',
    'objectives_of',
    'parse_commented_json',
    'publish',
    'quarantine_policy_of',
    'read_head',
    'read_history',
    'retry_policy_of',
    'routing_policy_of',
    'validate_against',
    'validate_document',
]
