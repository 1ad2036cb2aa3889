"""Routing and retry policies, as nodes send them to clients."""

from typing import Final, TypedDict

import msgspec

from carobmoor.client._dispatch import Dispatcher
from carobmoor.decoding import decoder_of
from carobmoor.retries import RetryPolicy
from carobmoor.routing import RoutingPolicy


class PolicyDocument(TypedDict):
    """The JSON document of the policies of a dispatcher."""

    routing: RoutingPolicy
    retries: RetryPolicy


_decode: Final = decoder_of(PolicyDocument)


def policies_of(dispatcher: Dispatcher) -> PolicyDocument:
    """Return the policies in force at a dispatcher."""
    routing = dispatcher.routing.policy
    return {
        'routing': routing._replace(
            paid_link_bytes_per_s_by_rank=dict(
                routing.paid_link_bytes_per_s_by_rank,
            ),
            target_s_by_rank=dict(routing.target_s_by_rank),
        ),
        'retries': dispatcher.retries.policy,
    }


def apply_policies(dispatcher: Dispatcher, body: bytes) -> None:
    """Apply the policies received from a node; ignore an invalid document."""
    try:
        document = _decode(body)
    except msgspec.DecodeError:
        return
    dispatcher.routing.replace_policy(document['routing'])
    dispatcher.retries.replace_policy(document['retries'])
