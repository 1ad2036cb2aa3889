"""Decisions of the node that keeps a team's allotment in its region."""

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

from carobmoor.allotments._messages import Ask, Grant, TeamLimit
from carobmoor.allotments._outbox import Outbox
from carobmoor.allotments._places import Places
from carobmoor.allotments._pool import (
    Pool,
    accrue,
    borrow,
    grant_starts,
    lend,
    settle,
    starts_to_borrow,
    wait_until_free_s,
)
from carobmoor.telemetry import logger_for

_MS_PER_S: Final = 1000
# A node may hold a standby start for this long after it sent its ask.
STANDBY_S: Final = 10
# An answer is of no use this long after its ask was sent.
ANSWER_LIMIT_S: Final = 0.5
# A deputy asks the node before it whether it is there, and waits so long.
_PROBE_LIMIT_S: Final = 0.1
# Nodes that asked a deputy count for its share for this long.
_ASKER_S: Final = 1
# A deputy forgets a pool that nobody has asked for since.
_DEPUTY_S: Final = 2
# A pool that was kept by another node for longer starts anew.
_RETIRED_S: Final = 5
_log = logger_for('allotment')


class SentAsk(NamedTuple):
    """An ask of a keeper to another node."""

    team: str
    ip: str
    sent_s: float
    is_probe: bool


class DeputyPool:
    """The pool of a node that is asked although another keeps the team.

    Its share is that of the nodes that ask it.
    """

    def __init__(self, pool: Pool) -> None:
        """Start without askers."""
        self.pool = pool
        self.asked_at_s: dict[str, float] = {}


class Keeper:
    """The pools of the teams that a node keeps, and those of its neighbours."""

    def __init__(self, places: Places, outbox: Outbox) -> None:
        """Start without teams."""
        self.places = places
        self.outbox = outbox
        self.limits: Mapping[str, TeamLimit] = {}
        self.pools: dict[str, Pool] = {}
        # Pools of teams that another node has kept since.
        self.retired: dict[str, Pool] = {}
        self.deputies: dict[str, DeputyPool] = {}
        self.sent: dict[int, SentAsk] = {}


def replace_limits(
    keeper: Keeper, limits: Mapping[str, TeamLimit], now_s: float
) -> None:
    """Put the limits of another version of the configuration in force."""
    keeper.limits = limits
    keeper.retired = {}
    for team in keeper.deputies.keys() - limits.keys():
        keeper.deputies.pop(team)
    for removed in keeper.pools.keys() - limits.keys():
        keeper.pools.pop(removed)
    for team, pool in keeper.pools.items():
        accrue(pool, now_s)
        pool.limit = limits[team]
        pool.content = min(pool.content, pool.capacity)
    update_pools(keeper, now_s)


def update_pools(keeper: Keeper, now_s: float) -> None:
    """Follow a change of the known nodes."""
    share = keeper.places.share
    for team, limit in keeper.limits.items():
        pool = keeper.pools.get(team)
        if keeper.places.keeps(team, now_s):
            pool = pool or _take_charge(keeper, team, limit, now_s)
            accrue(pool, now_s)
            pool.share = share
        elif pool is not None:
            accrue(pool, now_s)
            keeper.retired[team] = keeper.pools.pop(team)


def _take_charge(
    keeper: Keeper, team: str, limit: TeamLimit, now_s: float
) -> Pool:
    """Return the pool of a team that this node keeps from now on.

    A node that kept it a short time ago goes on with what it had, so that
    disagreement about the keeper does not fill pools again and again.
    """
    pool = keeper.retired.pop(team, None)
    if pool is None or now_s - pool.updated_s > _RETIRED_S:
        pool = Pool(limit, keeper.places.share, now_s)
    pool.limit = limit
    pool.updated_s = now_s
    keeper.pools[team] = pool
    return pool


def answer(keeper: Keeper, ask: Ask, sender: str, now_s: float) -> Grant:
    """Decide about an ask of another node, or of this one."""
    limit = keeper.limits.get(ask.team)
    if limit is None:
        return Grant(ask.number, ask.team, ask.wanted)
    pool = keeper.pools.get(ask.team)
    if ask.is_remote:
        return _lend_to(pool, ask, now_s)
    if pool is None:
        pool = _deputy_pool(keeper, ask.team, limit, sender, now_s)
    accrue(pool, now_s)
    if ask.spent:
        pool.standby.pop(sender, None)
    settle(pool, ask.spent, ask.returned)
    granted = grant_starts(pool, ask.wanted)
    _borrow_if_needed(keeper, ask.team, pool, now_s)
    is_denied = granted < ask.wanted
    if is_denied and pool.denied <= ask.wanted:
        _log.info(
            'Team is beyond its allotment; starts are refused.',
            team=ask.team,
            limit_per_s=limit.rate_per_s,
            share=round(pool.share, 3),
            demand_per_s=round(pool.demand_per_s, 1),
            is_keeper=ask.team in keeper.pools,
        )
    return Grant(
        ask.number,
        ask.team,
        granted,
        not is_denied and _give_standby(pool, sender, now_s),
        math.ceil(wait_until_free_s(pool) * _MS_PER_S) if is_denied else 0,
        ask.team in keeper.pools,
    )


def receive_grant(
    keeper: Keeper, grant: Grant, sent: SentAsk, now_s: float
) -> None:
    """Add what another region has lent; the answer to a probe adds nothing."""
    pool = keeper.pools.get(grant.team)
    if sent.is_probe or pool is None:
        return
    if not grant.is_keeper:
        keeper.places.record_silence(sent.ip, now_s)
    elif now_s - sent.sent_s <= ANSWER_LIMIT_S:
        accrue(pool, now_s)
        borrow(pool, grant.granted, now_s)


def review(keeper: Keeper, now_s: float) -> None:
    """Accrue, ask other regions where needed, and note who did not answer."""
    for number, sent in tuple(keeper.sent.items()):
        limit_s = _PROBE_LIMIT_S if sent.is_probe else ANSWER_LIMIT_S
        if now_s - sent.sent_s > limit_s:
            keeper.sent.pop(number)
            keeper.places.record_silence(sent.ip, now_s)
    for team, deputy in tuple(keeper.deputies.items()):
        if now_s - max(deputy.asked_at_s.values()) > _DEPUTY_S:
            keeper.deputies.pop(team)
    for kept, pool in keeper.pools.items():
        accrue(pool, now_s)
        _borrow_if_needed(keeper, kept, pool, now_s)


def _lend_to(pool: Pool | None, ask: Ask, now_s: float) -> Grant:
    if pool is None:
        return Grant(ask.number, ask.team, 0, is_keeper=False)
    accrue(pool, now_s)
    return Grant(ask.number, ask.team, lend(pool, ask.wanted))


def _deputy_pool(
    keeper: Keeper, team: str, limit: TeamLimit, sender: str, now_s: float
) -> Pool:
    """Return the pool of a deputy, with the share of the nodes that ask it.

    The node that should keep the team is asked whether it is there.
    """
    deputy = keeper.deputies.get(team)
    if deputy is None:
        deputy = DeputyPool(Pool(limit, 0, now_s))
        keeper.deputies[team] = deputy
    deputy.asked_at_s[sender] = now_s
    for ip, asked_s in tuple(deputy.asked_at_s.items()):
        if now_s - asked_s > _ASKER_S:
            deputy.asked_at_s.pop(ip)
    accrue(deputy.pool, now_s)
    deputy.pool.limit = limit
    deputy.pool.share = len(deputy.asked_at_s) / max(1, keeper.places.total)
    _probe_keeper(keeper, team, now_s)
    return deputy.pool


def _probe_keeper(keeper: Keeper, team: str, now_s: float) -> None:
    candidates = keeper.places.candidates(team, now_s)
    for ip in candidates[:1]:
        if all(sent.ip != ip for sent in keeper.sent.values()):
            number = keeper.outbox.next_number()
            keeper.sent[number] = SentAsk(team, ip, now_s, True)
            keeper.outbox.send(ip, Ask(number, team))


def _borrow_if_needed(
    keeper: Keeper, team: str, pool: Pool, now_s: float
) -> None:
    if team not in keeper.pools:
        return
    wanted = starts_to_borrow(pool, now_s)
    regions = [
        region
        for region in keeper.places.alive
        if region != keeper.places.region
    ]
    if not wanted or not regions:
        return
    for region in regions:
        for ip in keeper.places.candidates(team, now_s, region)[:1]:
            number = keeper.outbox.next_number()
            keeper.sent[number] = SentAsk(team, ip, now_s, False)
            each = math.ceil(wanted / len(regions))
            keeper.outbox.send(ip, Ask(number, team, each, is_remote=True))


def _give_standby(pool: Pool, node: str, now_s: float) -> bool:
    """Return whether a node may hold a standby start, and record it.

    None is given while the team comes near its limit.
    """
    if pool.content < 1 or pool.demand_per_s > pool.limit.rate_per_s:
        return False
    for ip, until_s in tuple(pool.standby.items()):
        if until_s <= now_s:
            pool.standby.pop(ip)
    if node in pool.standby or len(pool.standby) >= pool.max_standby:
        return False
    pool.standby[node] = now_s + STANDBY_S
    return True
