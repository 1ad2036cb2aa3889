"""The last slots are used unless they cost more than they bring."""

import random
from collections.abc import Callable

from nose2.tools import params

from carobmoor.mesh._room import Room

KNEE = 0.8
STARTS = 400
STEP_S = 0.03
# How widely times spread around what is usual.
SPREAD = 0.5
SEEDS = range(20)
Slowness = Callable[[float], float]


def alike(_share: float) -> float:
    """Every slot works alike."""
    return 1


def knee(share: float) -> float:
    """The last slots make a request take 1.7 times as long."""
    return 1.7 if share > KNEE else 1


def play(
    room: Room,
    slowness: Slowness,
    rng: random.Random,
    *,
    is_saturated: bool = False,
) -> float:
    """Start requests under pressure; give the time of the last."""
    now_s = float(0)
    for _ in range(STARTS):
        now_s += STEP_S
        size = room.size(now_s)
        least = size if is_saturated else max(1, size // 2)
        running = rng.randint(least, size)
        took = rng.lognormvariate(0, SPREAD) * slowness(running / room.slots)
        room.note(running, took, now_s)
    return now_s


@params((5, 4), (9, 7), (12, 9), (50, 40))
def test_costly_slots_are_left_alone(slots, size):
    """A server that slows down when nearly full gets less at once."""
    narrowed = 0
    for seed in SEEDS:
        room = Room(slots)
        now_s = play(room, knee, random.Random(seed))
        narrowed += room.size(now_s) == size
    assert narrowed >= len(SEEDS) - 1


@params(1, 2, 5, 9, 12, 50)
def test_good_slots_are_used(slots):
    """A server whose slots work alike is used whole."""
    whole = 0
    for seed in SEEDS:
        room = Room(slots)
        whole += room.size(play(room, alike, random.Random(seed))) == slots
    assert whole >= len(SEEDS) - 1


@params((5, 4), (9, 7), (12, 9), (50, 40))
def test_saturated_server_is_learned(slots, size):
    """A server whose queue never empties is tried with less at once."""
    narrowed = 0
    for seed in SEEDS:
        room = Room(slots)
        now_s = play(room, knee, random.Random(seed), is_saturated=True)
        narrowed += room.size(now_s) == size
    assert narrowed >= len(SEEDS) - 1


@params(2, 5, 9, 12, 50)
def test_good_slots_are_used_when_saturated(slots):
    """Trying with less at once ends soon where every slot is good."""
    whole = 0
    for seed in SEEDS:
        room = Room(slots)
        rng = random.Random(seed)
        now_s = play(room, alike, rng, is_saturated=True)
        whole += room.size(now_s) == slots
    assert whole >= len(SEEDS) - 1


def test_trying_less_ends_with_the_pressure():
    """Slow starts under pressure aren't compared with those of a calm."""
    room = Room(12)
    for _ in range(STARTS):
        room.note(12, 3, 0)
    assert room.size(1) == 9
    assert room.size(6) == 12
    for _ in range(STARTS):
        room.note(9, 1, 6)
    assert room.size(6) == 12


def test_one_slot_is_always_used():
    """The share never comes to nothing."""
    for slots in (1, 2):
        room = Room(slots)
        assert room.size(play(room, knee, random.Random(1))) >= 1


def test_last_slots_are_tried_again():
    """What was costly once may be good later."""
    room = Room(12)
    now_s = play(room, knee, random.Random(1))
    assert room.size(now_s) < 12
    assert room.size(now_s + 61) == 12


def test_no_pressure_teaches_nothing():
    """Slow requests on an idle server don't count."""
    room = Room(12)
    for _ in range(STARTS):
        room.note(3, 9, 0)
    assert room.size(0) == 12
