"""A task runs twice at the same time: TWICE, with a holder that is cut off.

The holder of a pool is cut off from the store and from all other entries, and reaches
the executors. Another entry takes the pool over. One executor leaves the first call of
the new holder unanswered. A gang that runs on this executor and on another one ends a
moment later; both holders learn of it, and both start the next step.
"""

import asyncio
import base64
import json
import sys
import time
from itertools import pairwise
from pathlib import Path

from aiohttp import web
from platform_3 import (
    Deployment,
    Entry,
    Executor,
    Record,
    Run,
    has_trouble,
    job_id,
    route,
    run_case,
)

# kloofsig-trays: `core_cut`, count 1, 5.5 s; `kinds`: "all (from all machines of the
# system)".
CUT_S = 5.5
# `kinds`, `applied_late`: "carried out 2 to 12 s later".
LATE_S = 2.0
# From the new holder's first call to an executor until the gang ends.
GANG_ENDS_AFTER_S = 0.01
GANG_S = 1e6
TASK_S = 3.0


class Link:
    """A path from one entry to another; holds its bytes while it is cut."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host = host
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.address = f"{self.host}:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Closes all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes one connection on."""
        try:
            onward = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, onward[1]}
        ways = (self.copy(reader, onward[1]), self.copy(onward[0], writer))
        await asyncio.gather(*ways, return_exceptions=True)

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes the bytes of one direction on."""
        while data := await reader.read(65_536):
            await self.open.wait()
            writer.write(data)
            await writer.drain()
        writer.close()


class Paths:
    """The paths between entries, which read each other's addresses in the store."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.links: dict[tuple[str, str], Link] = {}

    def value(self, text: str, changes: dict[str, str]) -> str:
        """Returns an encoded value with addresses replaced."""
        data = base64.b64decode(text).decode(errors="surrogateescape")
        for before, after in changes.items():
            data = data.replace(before, after)
        return base64.b64encode(data.encode(errors="surrogateescape")).decode()

    async def add(self, entries: list[Entry]) -> None:
        """Opens a link for each ordered pair of entries."""
        for source in entries:
            for target in entries:
                if source is not target:
                    link = Link(target.host, (target.host, target.internal))
                    await link.listen()
                    self.deployment.stack.callback(link.close)
                    self.links[source.name, target.name] = link
        own = {entry.name: f"{entry.host}:{entry.internal}" for entry in entries}
        shown = {
            source.name: {
                own[target]: link.address
                for (name, target), link in self.links.items()
                if name == source.name
            }
            for source in entries
        }
        stored = {link.address: own[target] for (_, target), link in self.links.items()}
        store = self.deployment.store
        store.shown = lambda name, text: self.value(text, shown.get(name, {}))
        store.stored = lambda text: self.value(text, stored)

    def set_cut(self, name: str, *, cut: bool) -> None:
        """Cuts an entry off from all others, or ends that."""
        for pair, link in self.links.items():
            if name in pair:
                if cut:
                    link.open.clear()
                else:
                    link.open.set()


class GangExecutor(Executor):
    """An executor of gangs; the case tells when a gang ends.

    Attributes:
        leaves_unanswered: Whether the next call with a new token gets no answer.
        new_token: Set once a call with a higher token has been answered.
    """

    leaves_unanswered = False

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.new_token = asyncio.Event()
        self.watched_fence = 0

    async def on_hold(self, request: web.Request) -> web.Response:
        """Answers a look, unless it is the first one of a new holder."""
        body = await request.json()
        if self.watched_fence and body.get("fencingToken", 0) > self.watched_fence:
            if self.leaves_unanswered:
                self.leaves_unanswered = False
                self.record.note("call left unanswered", executor=self.name)
                await asyncio.sleep(LATE_S)
                await super().on_hold(request)
                await asyncio.Event().wait()
            answer = await super().on_hold(request)
            if not self.new_token.is_set():
                self.record.note("reached by the new holder", executor=self.name)
                self.new_token.set()
            return answer
        return await super().on_hold(request)


def gang_runs(executor: Executor, job: str) -> list[Run]:
    """Returns the runs of the job's gang on an executor."""
    return [run for run in executor.runs.values() if run.task.startswith(f"{job}.0.0.")]


def doubled(deployment: Deployment) -> list[str]:
    """Returns the tasks of which two runs went on at the same time."""
    spans: dict[str, list[tuple[float, float, str]]] = {}
    for executor in deployment.executors:
        ends = {(end.task, end.run): end.at_s for end in executor.all_ends}
        for start in executor.starts:
            ended_s = ends.get((start.task, start.run), float("inf"))
            spans.setdefault(start.task, []).append(
                (start.at_s, ended_s, executor.name)
            )
    found = []
    for task, runs in spans.items():
        runs.sort()
        if any(later[0] < run[1] for run, later in pairwise(runs)):
            found.append(task)
    return found


async def play(record: Record) -> int:
    """Plays the case; returns 1 if two runs of a task went on at the same time."""

    def nature(task: str) -> tuple[float, int, int]:
        return (GANG_S if task.split(".")[2] == "0" else TASK_S), 1000, 256

    deployment = Deployment(record, 3, [route("confirm", "/confirm/", "plans")])
    executors = [
        GangExecutor(f"i-{number}", "plans", 16_000, nature, record)
        for number in (1, 2, 3)
    ]
    deployment.executors = list(executors)
    paths = Paths(deployment)
    deployment.before_start = paths.add
    async with deployment.running():
        await asyncio.sleep(3.0)
        job = job_id()
        step = {"count": 2, "cpu": 1000, "memMb": 256, "antiAffinity": 1}
        steps = [{**step, "gang": True}, {**step, "after": [0]}]
        body = {"specification": "text", "steps": steps}
        path = f"/confirm/{job}"
        await deployment.request(deployment.entries[0], "POST", path, body)
        await asyncio.sleep(2.0)
        first, second = (found for found in executors if gang_runs(found, job))
        holder = deployment.store.written_by[first.fence]
        entry = next(found for found in deployment.entries if found.name == holder)
        for executor in executors:
            executor.watched_fence = executor.fence
        if has_trouble():
            record.note("holder cut off", entry=holder, seconds=CUT_S)
            second.leaves_unanswered = True
            entry.faults.silent = True
            paths.set_cut(holder, cut=True)
            async with asyncio.timeout(CUT_S):
                await first.new_token.wait()
            await asyncio.sleep(GANG_ENDS_AFTER_S)
        cut_s = time.monotonic()
        for executor in (first, second):
            for run in gang_runs(executor, job):
                executor.end(run, "done")
        await asyncio.sleep(max(CUT_S - (time.monotonic() - cut_s), 0.0))
        entry.faults.silent = False
        paths.set_cut(holder, cut=False)
        await asyncio.sleep(6.0)
        other = next(found for found in deployment.entries if found is not entry)
        answer = await deployment.request(other, "GET", path)
        found = doubled(deployment)
        record.note("tasks", state=json.dumps(answer.body), doubled=found)
        return int(bool(found))


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, 115))
