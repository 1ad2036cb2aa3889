"""Records are bounded in number and rendered in order of arrival."""

from nose2.tools import params

from carobmoor.explain import (
    RecordState,
    RequestRecord,
    RequestStep,
    find_record,
    keep_record,
    list_bad_records,
    render_records,
)

STEP = RequestStep(0.0125, 'admission', 'queued behind', '3 requests')


def make_record(request_id: str, arrived_s: float = 0) -> RequestRecord:
    """Return a record of a refused request."""
    return RequestRecord(
        request_id,
        '10.0.0.1:80',
        'gate',
        'desk',
        'lobby',
        0,
        arrived_s,
        'queue_full',
        (STEP,),
    )


@params((True, 5000, 2000), (False, 64_000, 500))
def test_records_are_bounded(is_bad, request_count, expected_count):
    """However many requests end, a bounded number of records is kept."""
    state = RecordState()
    for number in range(request_count):
        keep_record(state, make_record(f'r{number}'), is_bad)
    assert len(state.bad) + len(state.good) == expected_count
    assert find_record(state, 'r0') is None


def test_good_records_never_evict_bad_ones():
    """The record of a bad request stays despite many good requests."""
    state = RecordState()
    keep_record(state, make_record('bad'), is_bad=True)
    for number in range(10_000):
        keep_record(state, make_record(f'r{number}'), is_bad=False)
    assert find_record(state, 'bad') == make_record('bad')
    assert list_bad_records(state, 10) == [make_record('bad')]


def test_records_are_rendered_in_order_of_arrival():
    """The record of the node that the request reached first comes first."""
    later = make_record('r', 2)._replace(node='10.0.0.2:80')
    rendered = render_records([later, make_record('r', 1)])
    assert rendered.splitlines()[0] == 'r at 10.0.0.1:80: queue_full'
    assert '    12.50 ms  admission: queued behind 3 requests' in rendered
