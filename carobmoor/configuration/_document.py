"""The configuration document: ranks, services and their limits.

The document is the whole of the operators' intent. Its JSON Schema feeds the
console of forms.
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
from carobmoor.configuration._check import Fault, check_document
from carobmoor.configuration._routing import RetriesDocument, RoutingDocument
from carobmoor.quarantine import QuarantinePolicy

_STRICT: Final = ConfigDict(extra='forbid', strict=True)
_DEFAULT_QUEUE_LIMIT: Final = 1000
_DEFAULT_OBJECTIVE: Final = 0.99

Name = Annotated[
    str,
    Field(pattern='^[a-z][a-z0-9-]{0,62}$', description='A short name.'),
]


@with_config(_STRICT)
class RankDocument(TypedDict):
    """One rank of work; the document lists ranks most urgent first."""

    name: Name
    # The latency within which an answer counts as good.
    target_latency_ms: Annotated[int, Field(ge=1, le=3_600_000)]
    # The value of one good answer, relative to the other ranks.
    worth: Annotated[float, Field(gt=0, le=1_000_000)]
    # The share of slots that floods of other ranks can't take.
    guaranteed_share: Annotated[float, Field(ge=0, le=1)]
    # The share of answers that should come within the target.
    objective: NotRequired[Annotated[float, Field(gt=0, lt=1)]]


@with_config(_STRICT)
class AdmissionDocument(TypedDict):
    """How the nodes of a service follow their backend servers."""

    # The adaptive limit on requests in flight never falls below this.
    least_slots: NotRequired[Annotated[int, Field(ge=1, le=10_000)]]
    # How much unused share a rank may save up, as time at that share.
    share_burst_ms: NotRequired[Annotated[int, Field(ge=1, le=60_000)]]
    # A backend server is slow beyond this multiple of its usual service time.
    slowdown_ratio: NotRequired[Annotated[float, Field(ge=1.1, le=100)]]
    # A longer stop of a node's event loop is logged as a pause.
    pause_bound_ms: NotRequired[Annotated[int, Field(ge=10, le=60_000)]]


@with_config(_STRICT)
class QuarantineDocument(TypedDict):
    """How long requests that crash backend servers are held off."""

    # How long a request that was there in one crash runs alone.
    mark_ms: NotRequired[Annotated[int, Field(ge=1000, le=86_400_000)]]
    # How long a request is refused after its second crash.
    quarantine_ms: NotRequired[Annotated[int, Field(ge=1000, le=86_400_000)]]
    most_marks: NotRequired[Annotated[int, Field(ge=1, le=10_000)]]


@with_config(_STRICT)
class ServiceDocument(TypedDict):
    """One service and the limits of each of its backend servers."""

    team: Name
    slots: Annotated[int, Field(ge=1, le=10_000)]
    queue_limit: NotRequired[Annotated[int, Field(ge=0, le=100_000)]]
    most_body_bytes: NotRequired[Annotated[int, Field(ge=0, le=2**40)]]
    default_deadline_ms: NotRequired[Annotated[int, Field(ge=1, le=86_400_000)]]
    # A transfer that moves less than this in an interval is ended.
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
_MOST_GUARANTEED: Final = 1.000001


def validate_document(
    candidate: object,
) -> Result[Document, Sequence[Fault]]:
    """Check a parsed document; every fault is told with its path."""
    checked = check_document(_ADAPTER, candidate)
    if isinstance(checked, Err):
        return checked
    document: Document = checked.ok_value
    faults = _faults_across(document)
    return Err(faults) if faults else Ok(document)


def document_schema() -> Mapping[str, Any]:
    """Give the JSON Schema of the configuration document."""
    return _ADAPTER.json_schema()


def admission_policy_of(document: Document, service: str) -> AdmissionPolicy:
    """Give the admission policy of one service; `KeyError` if undeclared."""
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
    """Give the objective of every rank for each of the services."""
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
    """Give the quarantine policy of a service; `KeyError` if undeclared."""
    declared = document['services'][service]
    return QuarantinePolicy(**declared.get('quarantine', {}))


def _faults_across(document: Document) -> Sequence[Fault]:
    faults: list[Fault] = []
    names = [rank['name'] for rank in document['ranks']]
    if len(set(names)) < len(names):
        faults.append(Fault('$.ranks', repr(names), 'names must differ'))
    total = sum(rank['guaranteed_share'] for rank in document['ranks'])
    if total > _MOST_GUARANTEED:
        faults.append(
            Fault(
                '$.ranks[*].guaranteed_share',
                f'a sum of {total:g}',
                'the sum may be 1 at most',
            ),
        )
    return faults
