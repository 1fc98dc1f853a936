import asyncio

import msgpack
import pytest
from burdockthread_model.errors import PeerProtocolError
from burdockthread_peers.frames import (
    MAX_FRAME_BYTES,
    Frame,
    encode_frame,
    new_hello,
    proof,
    read_frame,
    with_length,
)
from hypothesis import given, settings
from hypothesis import strategies as st

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.binary(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=8,
)


async def read(data):
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return await read_frame(reader)


@settings(max_examples=100)
@given(st.binary(max_size=60))
def test_any_bytes_are_a_frame_or_refused(data):
    with pytest.raises((PeerProtocolError, EOFError)):
        asyncio.run(read(data))


@settings(max_examples=100)
@given(VALUES)
def test_any_msgpack_is_a_frame_or_refused(value):
    try:
        frame = asyncio.run(read(with_length(msgpack.packb(value))))
    except PeerProtocolError:
        return
    assert isinstance(frame.fields, list)


@settings(max_examples=100)
@given(st.integers(0, 2**63), st.text(max_size=9), st.lists(VALUES, max_size=3))
def test_a_frame_comes_back_as_it_was(call_id, kind, fields):
    frame = Frame(call_id, kind, fields)
    assert asyncio.run(read(encode_frame(frame))) == frame


def test_deep_nesting_is_refused():
    with pytest.raises(PeerProtocolError):
        asyncio.run(read(with_length(b"\x91" * 100_000)))


def test_a_large_frame_is_refused_before_it_is_read():
    with pytest.raises(PeerProtocolError):
        asyncio.run(read((MAX_FRAME_BYTES + 1).to_bytes(4, "big")))


def test_a_proof_holds_for_one_role_and_pair_of_nonces():
    one, two, three = (new_hello(name, "i") for name in "abc")
    key = b"k" * 16
    proofs = {
        proof(key, one, two, True),
        proof(key, one, two, False),
        proof(key, two, one, True),
        proof(key, one, three, True),
        proof(key, one, new_hello("b", "i"), True),
        proof(b"l" * 16, one, two, True),
    }
    assert len(proofs) == 6
