import asyncio

import pytest
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.received_bytes import ReceivedBytes
from burdockthread_model.errors import PeerProtocolError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_peers.frame_reader import FrameReader
from burdockthread_peers.frames import Frame, encode_frame, with_length

FRAME = Frame(1, "Echo", ["x" * 5_000])
DATA = encode_frame(FRAME)
SIZE = len(DATA) - 4


@pytest.fixture
def guard():
    return ConnectionGuard(ReceivedBytes(12_000), MemoryMetrics(), EventLog("test"))


@pytest.fixture
async def stream():
    return asyncio.StreamReader()


@pytest.fixture
async def frames(stream, guard):
    return FrameReader(stream, guard)


async def test_frame_is_charged_from_before_it_arrives_until_it_is_handled(
    stream, frames, guard
):
    stream.feed_data(DATA[:100])
    reading = asyncio.create_task(frames.read())
    await asyncio.sleep(0.01)
    assert guard.budget.used == SIZE
    stream.feed_data(DATA[100:])
    received = await reading
    assert received.frame == FRAME
    assert guard.budget.used == SIZE
    frames.release(received.size)
    assert guard.budget.used == 0


async def test_frame_waits_for_room(stream, frames, guard):
    stream.feed_data(DATA * 3)
    received = [await frames.read() for _ in range(2)]
    third = asyncio.create_task(frames.read())
    await asyncio.sleep(0.05)
    assert not third.done()
    frames.release(received[0].size)
    assert (await asyncio.wait_for(third, 5.0)).frame == FRAME
    assert guard.budget.used == 2 * SIZE


@pytest.mark.parametrize("data", [DATA[:3_000], with_length(b"x" * 5_000)])
async def test_frame_that_is_cut_or_malformed_is_released(stream, frames, guard, data):
    stream.feed_data(data)
    stream.feed_eof()
    with pytest.raises((asyncio.IncompleteReadError, PeerProtocolError)):
        await frames.read()
    assert guard.budget.used == 0


async def test_stream_that_stops_within_a_frame_is_released(stream, frames, guard):
    stream.feed_data(DATA[:3_000])
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await frames.read()
    assert guard.budget.used == 0
