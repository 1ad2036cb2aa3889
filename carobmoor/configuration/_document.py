"""The configuration document: ranks, services and their limits.

The document is everything that operators configure. Forms to edit it are built
from its JSON Schema, which contains the docstrings of the types below.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, Any, Final, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from result import Err, Ok, Result
from typing_extensions import TypedDict

from carobmoor.admission import (
    AdmissionPolicy,
    AdmissionTuning,
    RankPolicy,
)
from carobmoor.burn import Objective
from carobmoor.configuration._check import Fault, validate_against
from carobmoor.configuration._routing import RetriesDocument, RoutingDocument
from carobmoor.quarantine import QuarantinePolicy

_STRICT: Final = ConfigDict(extra='forbid', strict=True)
_DEFAULT_QUEUE_LIMIT: Final = 1000
_DEFAULT_OBJECTIVE: Final = 0.99

Name = Annotated[
    str,
    Field(
        pattern='^[a-z][a-z0-9-]{0,62}$',
        description='Lower-case letters, digits and hyphens; a letter first.',
    ),
]


@with_config(_STRICT)
class RankDocument(TypedDict):
    """One rank of requests; the most urgent rank is listed first."""

    name: Name
    # A response within this latency counts as good.
    target_latency_ms: Annotated[int, Field(ge=1, le=3_600_000)]
    # The value of one good response, relative to the other ranks.
    worth: Annotated[float, Field(gt=0, le=1_000_000)]
    # The share of slots that the load of other ranks cannot take.
    guaranteed_share: Annotated[float, Field(ge=0, le=1)]
    # The share of responses that should meet the target latency.
    objective: NotRequired[Annotated[float, Field(gt=0, lt=1)]]


@with_config(_STRICT)
class AdmissionDocument(TypedDict):
    """How nodes limit the requests to their backend servers."""

    # The lower bound of the adaptive limit on requests in flight.
    least_slots: NotRequired[Annotated[int, Field(ge=1, le=10_000)]]
    # How much of its unused share a rank may save, as time at that share.
    share_burst_ms: NotRequired[Annotated[int, Field(ge=1, le=60_000)]]
    # A backend server is slow above this multiple of its typical service time.
    slowdown_ratio: NotRequired[Annotated[float, Field(ge=1.1, le=100)]]
    # A longer pause of a node's event loop is logged.
    pause_bound_ms: NotRequired[Annotated[int, Field(ge=10, le=60_000)]]


@with_config(_STRICT)
class QuarantineDocument(TypedDict):
    """How requests that may crash backend servers are held back."""

    # How long a request is marked, and only runs alone, after it was in flight
    # at a crash.
    mark_ms: NotRequired[Annotated[int, Field(ge=1000, le=86_400_000)]]
    # How long a request is refused after it was in flight at a second crash.
    quarantine_ms: NotRequired[Annotated[int, Field(ge=1000, le=86_400_000)]]
    most_marks: NotRequired[Annotated[int, Field(ge=1, le=10_000)]]


@with_config(_STRICT)
class ServiceDocument(TypedDict):
    """A service; its limits hold for each of its backend servers."""

    team: Name
    slots: Annotated[int, Field(ge=1, le=10_000)]
    queue_limit: NotRequired[Annotated[int, Field(ge=0, le=100_000)]]
    most_body_bytes: NotRequired[Annotated[int, Field(ge=0, le=2**40)]]
    default_deadline_ms: NotRequired[Annotated[int, Field(ge=1, le=86_400_000)]]
    # A transfer is ended if it moves fewer bytes than this in an interval.
    progress_interval_ms: NotRequired[
        Annotated[int, Field(ge=100, le=3_600_000)]
    ]
    progress_least_bytes: NotRequired[Annotated[int, Field(ge=1, le=2**30)]]
    admission: NotRequired[AdmissionDocument]
    quarantine: NotRequired[QuarantineDocument]


@with_config(_STRICT)
class Document(TypedDict):
    """The whole configuration."""

    ranks: Annotated[Sequence[RankDocument], Field(min_length=1, max_length=16)]
    services: Annotated[Mapping[Name, ServiceDocument], Field(min_length=1)]
    routing: NotRequired[RoutingDocument]
    retries: NotRequired[RetriesDocument]


_ADAPTER: Final[TypeAdapter[Document]] = TypeAdapter(Document)
_MAX_GUARANTEED_SHARE_SUM: Final = 1.000001


def validate_document(
    candidate: object,
) -> Result[Document, Sequence[Fault]]:
    """Validate a parsed document and list every fault with its path."""
    checked = validate_against(_ADAPTER, candidate)
    if isinstance(checked, Err):
        return checked
    document: Document = checked.ok_value
    faults = _find_rank_faults(document)
    return Err(faults) if faults else Ok(document)


def document_schema() -> Mapping[str, Any]:
    """Return the JSON Schema of the configuration document."""
    return _ADAPTER.json_schema()


def admission_policy_of(document: Document, service: str) -> AdmissionPolicy:
    """Return the admission policy of a service; `KeyError` if undeclared."""
    declared = document['services'][service]
    ranks = tuple(
        RankPolicy(
            rank['name'],
            rank['target_latency_ms'],
            rank['worth'],
            rank['guaranteed_share'],
        )
        for rank in document['ranks']
    )
    queue_limit = declared.get('queue_limit', _DEFAULT_QUEUE_LIMIT)
    tuning = AdmissionTuning(**declared.get('admission', {}))
    return AdmissionPolicy(declared['slots'], queue_limit, ranks, tuning)


def objectives_of(
    document: Document,
    services: Iterable[str],
) -> Sequence[Objective]:
    """Return the objective of every rank for each of the services."""
    return [
        Objective(
            service,
            rank['name'],
            rank['target_latency_ms'],
            rank.get('objective', _DEFAULT_OBJECTIVE),
        )
        for service in services
        for rank in document['ranks']
    ]


def quarantine_policy_of(
    document: Document,
    service: str,
) -> QuarantinePolicy:
    """Return the quarantine policy of a service; `KeyError` if undeclared."""
    declared = document['services'][service]
    return QuarantinePolicy(**declared.get('quarantine', {}))


def _find_rank_faults(document: Document) -> Sequence[Fault]:
    faults: list[Fault] = []
    names = [rank['name'] for rank in document['ranks']]
    if len(set(names)) < len(names):
        faults.append(
            Fault('$.ranks', repr(names), 'rank names must be unique')
        )
    total = sum(rank['guaranteed_share'] for rank in document['ranks'])
    if total > _MAX_GUARANTEED_SHARE_SUM:
        faults.append(
            Fault(
                '$.ranks[*].guaranteed_share',
                f'a sum of {total:g}',
                'the sum may be 1 at most',
            ),
        )
    return faults
