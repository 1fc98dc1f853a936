"""Chooses the entry that places an organisation's jobs and runs its rounds."""

import asyncio

from burdockthread_peers.mesh import MemberState, PeerMesh
from burdockthread_peers.rendezvous import rank

from burdockthread_fleet.job_rounds import JobDependencies, JobRounds

ROUND_INTERVAL_S = 1.0


class JobRunner:
    """Places the jobs of the organisations that this entry owns.

    One entry places the jobs of all pools of an organisation, because quotas and
    the spare pool span pools. The owner is chosen by rendezvous hashing over the
    entries that are up.

    Attributes:
        rounds: Rounds of each organisation that this entry places.
    """

    def __init__(self, mesh: PeerMesh, parts: JobDependencies) -> None:
        self.mesh = mesh
        self.parts = parts
        self.segments = parts.segments
        self.view = parts.view
        self.clock = parts.clock
        self.metrics = parts.metrics
        self.log = parts.log
        self.rounds: dict[str, JobRounds] = {}

    async def run(self) -> None:
        """Places jobs until cancelled, with one asyncio task per organisation."""
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                owned = self.owned()
                for organisation in tasks.keys() - owned:
                    tasks.pop(organisation).cancel()
                    await self.drop(organisation)
                for organisation in owned - tasks.keys():
                    work = self.place(organisation)
                    tasks[organisation] = asyncio.create_task(work)
                await self.clock.sleep(ROUND_INTERVAL_S)
        finally:
            for task in tasks.values():
                task.cancel()
            await asyncio.gather(*tasks.values(), return_exceptions=True)
            for organisation in list(self.rounds):
                await self.drop(organisation)

    def owned(self) -> set[str]:
        """Returns the organisations whose jobs this entry places.

        Organisations that have pools or open jobs are considered.
        """
        members = self.mesh.members()
        names = [m.name for m in members if m.state is MemberState.UP]
        organisations = {spec.organisation for spec in self.view.pools.values()}
        organisations |= {name for name, jobs in self.segments.open.items() if jobs}
        return {
            organisation
            for organisation in organisations
            if rank(f"placer/{organisation}", names or [self.mesh.name])[0]
            == self.mesh.name
        }

    async def place(self, organisation: str) -> None:
        """Runs the rounds of one organisation; a failed round is logged."""
        rounds = self.start(organisation)
        while True:
            try:
                await rounds.round()
            except Exception as error:
                self.metrics.count("jobs.rounds_failed")
                self.log.error("job_round_failed", reason=repr(error))
            await self.clock.sleep(ROUND_INTERVAL_S)

    def start(self, organisation: str) -> JobRounds:
        """Creates the rounds of an organisation that this entry now owns."""
        self.log.info("placer_started", organisation=organisation)
        self.rounds[organisation] = JobRounds(organisation, self.parts)
        return self.rounds[organisation]

    async def drop(self, organisation: str) -> None:
        """Stops placing an organisation's jobs and cancels pending orders."""
        rounds = self.rounds.pop(organisation, None)
        if rounds is not None:
            self.log.info("placer_stopped", organisation=organisation)
            await rounds.orders.close()

    def quarantined_workers(self) -> dict[str, str]:
        """Returns the quarantine reason of each worker, over all organisations."""
        now = self.clock.now()
        reasons: dict[str, str] = {}
        for rounds in self.rounds.values():
            reasons.update(rounds.quarantine.reasons(now))
        return reasons
