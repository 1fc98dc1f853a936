"""Compares idempotency keys under faults with a model that keeps every use."""

import asyncio
import uuid
from typing import NamedTuple

from burdockthread_model.clock import MemoryClock
from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict
from burdockthread_peers.idempotency import KeyState
from burdockthread_store.memory_store import MemoryStore
from hypothesis import given, settings
from hypothesis import strategies as st

NAMES = ("a", "b", "c", "d")
KEYS = 2
MAX_UNTIMED_S = 600.0
EXAMPLES = 20


class Use(NamedTuple):
    """A call of `begin` and the process that made it."""

    entry: str
    process: object
    key: str
    body: str
    task: asyncio.Task


class KeysUnderFaults:
    """Uses keys while entries are killed or partitioned and answers are lost."""

    def __init__(self, new_cluster):
        self.loop = asyncio.new_event_loop()
        self.clock = MemoryClock()
        self.store = MemoryStore(self.clock)
        self.cluster = new_cluster(self.clock, self.store)
        self.keys = [f"key-{number}" for number in range(KEYS)]
        self.key_times = [self.clock.now()] * KEYS
        self.bodies = {}
        self.runs = {}
        self.undecided = []
        self.running = []
        self.answers = {}
        self.keys_made = 0

    def run(self, work):
        return self.loop.run_until_complete(work)

    def start_all(self):
        asyncio.set_event_loop(self.loop)
        self.run(self.cluster.started(*NAMES))

    def end(self):
        for name in list(self.cluster.nodes):
            self.cluster.kill(name)
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.run(asyncio.wait(tasks))
        self.loop.close()

    def begin(self, place, number, wait_s):
        name = NAMES[place]
        node = self.cluster.nodes.get(name)
        if node is None:
            return
        key = self.keys[number % KEYS]
        body = "other" if number == 0 else "body"
        work = node.keys.begin("org", key, body, self.clock.now() + 6.0)
        self.undecided.append(Use(name, node, key, body, self.loop.create_task(work)))
        self.wait(wait_s)

    def new_key(self, place, number, wait_s):
        self.keys_made += 1
        value = int(self.clock.wall() * 1000) << 80 | 7 << 76 | 2 << 62 | self.keys_made
        key = str(uuid.UUID(int=value)) if place % 2 else f"key-{self.keys_made}"
        self.keys[number % KEYS] = key
        self.key_times[number % KEYS] = self.clock.now()

    def finish(self, place, number, wait_s):
        if not self.running:
            return
        use = self.running.pop(number % len(self.running))
        if self.cluster.nodes.get(use.entry) is not use.process:
            return
        verdict = (Verdict.RAN, Verdict.NOT_RUN, Verdict.UNKNOWN)[place % 3]
        answer = CallerResponse(200, use.key.encode(), "", Verdict.RAN)
        answer = answer if verdict is Verdict.RAN else None
        work = use.process.keys.finish("org", use.key, verdict, answer)
        self.loop.create_task(work)
        if verdict is Verdict.NOT_RUN:
            self.runs[use.key] -= 1
        elif verdict is Verdict.RAN:
            self.answers[use.key] = answer
        self.wait(0.0)

    def kill(self, place, number, wait_s):
        if NAMES[place] in self.cluster.nodes:
            self.cluster.kill(NAMES[place])

    def restart(self, place, number, wait_s):
        self.kill(place, number, wait_s)
        self.run(self.start(NAMES[place]))

    async def start(self, name):
        self.cluster.start(name)

    def cut_off(self, place, number, wait_s):
        left = {NAMES[place], NAMES[number]}
        self.cluster.network.partition(left, set(NAMES) - left)
        for name in left & set(self.cluster.nodes):
            self.cluster.nodes[name].store.cut = wait_s > 1.0

    def lose_answers(self, place, number, wait_s):
        self.cluster.network.lost_replies.add((NAMES[place], NAMES[number]))

    def store_outage(self, place, number, wait_s):
        self.store.down = True

    def kill_then_restart(self, place, number, wait_s):
        self.heal(place, number, wait_s)
        self.kill(place, number, wait_s)
        self.wait(8.0)
        self.restart(place, number, wait_s)
        self.wait(8.0)

    def heal(self, place, number, wait_s):
        self.cluster.network.heal()
        self.store.down = False
        for node in self.cluster.nodes.values():
            node.store.cut = False

    def pass_time(self, place, number, wait_s):
        self.wait(2.0 * wait_s)

    def wait(self, seconds):
        for number, key_time_s in enumerate(self.key_times):
            if self.clock.now() + seconds - key_time_s > MAX_UNTIMED_S:
                self.new_key(0, number, 0.0)
        self.run(self.clock.advance(seconds))
        self.collect()

    def collect(self):
        done = [use for use in self.undecided if use.task.done()]
        self.undecided = [use for use in self.undecided if not use.task.done()]
        for use in done:
            decision = use.task.result()
            alive = self.cluster.nodes.get(use.entry) is use.process
            if decision.state is KeyState.RUN and alive:
                self.runs[use.key] = self.runs.get(use.key, 0) + 1
                assert self.runs[use.key] <= 1, "a key was run twice"
                self.bodies.setdefault(use.key, use.body)
                self.running.append(use)
            if decision.state is KeyState.ANSWERED:
                assert decision.response in (None, self.answers[use.key])
                assert use.body == self.bodies[use.key]


FAULTS = (
    "kill",
    "restart",
    "kill_then_restart",
    "kill_then_restart",
    "cut_off",
    "lose_answers",
    "store_outage",
)
OTHERS = ("begin",) * 6 + ("finish",) * 3 + ("heal", "pass_time", "new_key")
ACTIONS = st.tuples(
    st.sampled_from(FAULTS + OTHERS),
    st.integers(0, len(NAMES) - 1),
    st.integers(0, len(NAMES) - 1),
    st.sampled_from((0.0, 0.1, 2.0, 5.0)),
)


@settings(max_examples=EXAMPLES)
@given(st.lists(ACTIONS, min_size=30, max_size=30))
def test_no_key_runs_twice_under_faults(new_cluster, actions):
    keys = KeysUnderFaults(new_cluster)
    try:
        keys.start_all()
        for name, place, number, wait_s in actions:
            getattr(keys, name)(place, number, wait_s)
    finally:
        keys.end()
