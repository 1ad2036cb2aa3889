"""Fuzz tests: no input crashes the validation of documents."""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from carobmoor.configuration import (
    admission_policy_of,
    parse_commented_json,
    validate_document,
)
from stand_ins.deployment import read_example

BOUNDED = settings(derandomize=True, max_examples=60, deadline=None)
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=20)
)
JSON = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=10), inner, max_size=3)
    ),
    max_leaves=10,
)


@BOUNDED
@given(JSON)
def test_any_value_is_rejected_with_paths(candidate):
    """Any JSON value is rejected with faults that have a path."""
    for fault in validate_document(candidate).unwrap_err():
        assert fault.path.startswith('$')


@BOUNDED
@given(st.data())
def test_changed_document_is_validated(drawn):
    """A valid document with one field replaced never crashes the validation.

    If it is still valid, policies can be made of it.
    """
    document = read_example('adeyemi')
    target = drawn.draw(
        st.sampled_from(
            (document['ranks'][0], document['services']['media'], document),
        ),
    )
    target[drawn.draw(st.sampled_from(sorted(target)))] = drawn.draw(JSON)
    checked = validate_document(document)
    if isinstance(checked, Ok):
        for service in checked.ok_value['services']:
            assert admission_policy_of(checked.ok_value, service).slots > 0


@BOUNDED
@given(
    st.text(max_size=60) | st.integers(0, 5000).map(lambda depth: '[' * depth)
)
def test_any_text_is_parsed_or_rejected(text):
    """Any text is parsed or returned as a fault, however deep its nesting."""
    parse_commented_json(text)
