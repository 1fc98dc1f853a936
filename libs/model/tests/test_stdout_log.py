"""How the log lines on standard output are split into writes."""

import asyncio
import os
import select

import pytest
from burdockthread_model.stdout_log import FLUSH_INTERVAL_S, StdoutLog


@pytest.fixture
def packets():
    """A log on a pipe that keeps writes apart, and a function that reads the writes."""
    reader, writer = os.pipe2(os.O_DIRECT)
    log = StdoutLog("entry-1", writer)

    def read():
        found = []
        while select.select([reader], [], [], 0)[0]:
            found.append(os.read(reader, 1 << 20))
        return found

    yield log, read
    os.close(reader)
    os.close(writer)


# Guards against lost log lines: a reader kept only the first 8 KiB of each write, and
# the new holder of a pool logged more than that in one write.
async def test_many_lines_are_split_into_writes_that_are_atomic_on_a_pipe(packets):
    log, read = packets
    for number in range(150):
        log.info("worker_vacating", worker=f"i-{number:010d}", pool="pool-a")
    await asyncio.sleep(FLUSH_INTERVAL_S * 3)
    written = read()
    assert max(len(packet) for packet in written) <= select.PIPE_BUF
    assert all(packet.endswith(b"\n") for packet in written)
    lines = b"".join(written).decode().splitlines()
    assert [line.split("worker=")[1][:12] for line in lines] == [
        f"i-{number:010d}" for number in range(150)
    ]


async def test_line_longer_than_a_write_is_complete_and_separate(packets):
    log, read = packets
    log.info("first")
    log.info("long", text="x" * 3 * select.PIPE_BUF)
    log.info("last")
    await asyncio.sleep(FLUSH_INTERVAL_S * 3)
    lines = b"".join(read()).decode().splitlines()
    assert [line.split("event=")[1].split(" ")[0] for line in lines] == [
        "first",
        "long",
        "last",
    ]
