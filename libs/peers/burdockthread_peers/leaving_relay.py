"""Tells other entries that a VM is leaving."""

from collections.abc import Callable
from typing import NamedTuple

from burdockthread_model.clock import Clock

from burdockthread_peers.mesh import PeerMesh

REPEAT_S = 0.5
REPEATS = 3
MAX_SIGNALS = 1_000


class LeavingVm(NamedTuple):
    """Says that a VM is leaving.

    Attributes:
        vm: Name of the VM.
        boot_id: Boot that is leaving; a later boot is not meant.
    """

    vm: str
    boot_id: str


class SignalNoted(NamedTuple):
    """Answer to `LeavingVm`."""


Listener = Callable[[LeavingVm], None]


class LeavingRelay:
    """Broadcasts the leaving signals that this entry saw, a few times each.

    Attributes:
        listener: Called with each signal of another entry.
        pending: Broadcasts still to be made, by signal.
        known: Signals announced or heard, oldest first.
    """

    def __init__(self, mesh: PeerMesh, listener: Listener, clock: Clock) -> None:
        self.mesh = mesh
        self.listener = listener
        self.clock = clock
        self.pending: dict[LeavingVm, int] = {}
        self.known: dict[LeavingVm, None] = {}
        mesh.register(LeavingVm, SignalNoted, self.on_leaving)

    def announce(self, vm: str, boot_id: str) -> None:
        """Tells every other entry at once, and again in case it was lost.

        Args:
            vm: Name of the VM.
            boot_id: Boot that is leaving.
        """
        signal = LeavingVm(vm, boot_id)
        if not self.note(signal):
            return
        self.mesh.broadcast(signal)
        if len(self.pending) < MAX_SIGNALS:
            self.pending[signal] = REPEATS - 1

    def note(self, signal: LeavingVm) -> bool:
        """Returns whether a signal is news; the oldest known are forgotten."""
        if signal in self.known:
            return False
        self.known[signal] = None
        if len(self.known) > MAX_SIGNALS:
            del self.known[next(iter(self.known))]
        return True

    async def run(self) -> None:
        """Repeats the broadcasts until cancelled."""
        while True:
            await self.clock.sleep(REPEAT_S)
            for signal, left in list(self.pending.items()):
                self.mesh.broadcast(signal)
                self.pending[signal] = left - 1
                if left <= 1:
                    del self.pending[signal]

    async def on_leaving(self, sender: str, message: LeavingVm) -> SignalNoted:
        """Hands a signal of another entry on; it is not relayed again."""
        self.note(message)
        self.listener(message)
        return SignalNoted()
