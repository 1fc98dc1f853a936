"""Notifies other entries that a VM is leaving."""

from collections.abc import Callable
from typing import NamedTuple

from burdockthread_model.clock import Clock

from burdockthread_peers.mesh import PeerMesh

REPEAT_S = 0.5
REPEATS = 3
MAX_SIGNALS = 1_000


class LeavingVm(NamedTuple):
    """Reports that a VM is leaving.

    Attributes:
        vm: Name of the VM.
        boot_id: Boot of the VM that is leaving; later boots are not affected.
    """

    vm: str
    boot_id: str


class SignalNoted(NamedTuple):
    """Answer to `LeavingVm`."""


Listener = Callable[[LeavingVm], None]


class LeavingRelay:
    """Broadcasts each leaving signal that this entry received `REPEATS` times.

    Attributes:
        listener: Called with each signal of another entry.
        pending: Number of broadcasts left, by signal.
        known: Signals announced or received, oldest first.
    """

    def __init__(self, mesh: PeerMesh, listener: Listener, clock: Clock) -> None:
        self.mesh = mesh
        self.listener = listener
        self.clock = clock
        self.pending: dict[LeavingVm, int] = {}
        self.known: dict[LeavingVm, None] = {}
        mesh.register(LeavingVm, SignalNoted, self.on_leaving)

    def announce(self, vm: str, boot_id: str) -> None:
        """Broadcasts a signal at once, and schedules repeats in case it is lost.

        Args:
            vm: Name of the VM.
            boot_id: Boot that is leaving.
        """
        signal = LeavingVm(vm, boot_id)
        if not self.remember(signal):
            return
        self.mesh.broadcast(signal)
        if len(self.pending) < MAX_SIGNALS:
            self.pending[signal] = REPEATS - 1

    def remember(self, signal: LeavingVm) -> bool:
        """Adds a signal to the known ones; returns whether it was new.

        Beyond `MAX_SIGNALS` the oldest known signal is dropped.
        """
        if signal in self.known:
            return False
        self.known[signal] = None
        if len(self.known) > MAX_SIGNALS:
            del self.known[next(iter(self.known))]
        return True

    async def run(self) -> None:
        """Repeats the pending broadcasts every `REPEAT_S` until cancelled."""
        while True:
            await self.clock.sleep(REPEAT_S)
            for signal, left in list(self.pending.items()):
                self.mesh.broadcast(signal)
                self.pending[signal] = left - 1
                if left <= 1:
                    del self.pending[signal]

    async def on_leaving(self, sender: str, message: LeavingVm) -> SignalNoted:
        """Passes a signal of another entry to the listener; does not relay it."""
        self.remember(message)
        self.listener(message)
        return SignalNoted()
