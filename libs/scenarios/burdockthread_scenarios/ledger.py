"""What callers were told, against what endpoints really ran."""

import secrets
import uuid
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from burdockthread_model.request import RequestClass


def new_key(wall_s: float) -> str:
    """Returns a fresh UUID of version 7, which carries its time.

    Args:
        wall_s: Unix time in seconds.
    """
    fields = int(wall_s * 1000) << 80 | secrets.randbits(80)
    fields &= ~(0xF << 76 | 0x3 << 62)
    return str(uuid.UUID(int=fields | 0x7 << 76 | 0x2 << 62))


class Outcome(NamedTuple):
    """How one request ended for its caller.

    Attributes:
        body: Body of the request, unique.
        keyed: Whether it carried an idempotency key.
        status: HTTP status; 0 if the caller got no answer.
        verdict: Verdict told, or ``unknown`` without an answer.
        echo: Body of the answer.
        request_class: Urgency of the request.
        ran_before: Runs of the body seen when the caller was told; 0 if unseen.
    """

    body: str
    keyed: bool
    status: int
    verdict: str
    echo: str
    request_class: str
    ran_before: int = 0


class RequestLedger:
    """Every request of a scenario and how it ended.

    Attributes:
        sent: Requests sent.
        outcomes: Ends of requests, repeats included.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.outcomes: list[Outcome] = []

    def unanswered_keyed(self) -> list[str]:
        """Returns the bodies of keyed requests that were never answered."""
        answered = {o.body for o in self.outcomes if o.status == 200}
        bodies = dict.fromkeys(o.body for o in self.outcomes if o.keyed)
        return [body for body in bodies if body not in answered]

    def counts(self, runs: Iterable[str]) -> dict[str, int]:
        """Compares what was told with what was run.

        Args:
            runs: Body of every request that an endpoint ran.

        Returns:
            Counts by name.
        """
        ran = Counter(runs)
        answered = [o for o in self.outcomes if o.status == 200]
        not_run = [o for o in self.outcomes if o.verdict == "not_run"]
        keyed = {o.body for o in self.outcomes if o.keyed}
        may_have_run = {o.body for o in self.outcomes if o.verdict != "not_run"}
        return {
            "sent": self.sent,
            "ended": len(self.outcomes),
            "answered": len(answered),
            **{
                f"answered_{name}": sum(o.request_class == name for o in answered)
                for name in RequestClass
            },
            "not_run": len(not_run),
            "aborted": sum(o.status == 0 for o in self.outcomes),
            "unknown": len(self.outcomes) - len(answered) - len(not_run),
            "crossed": sum(o.echo != o.body for o in answered),
            "lost": sum(ran[o.body] == 0 for o in answered),
            "doubled": sum(ran[body] > 1 for body in keyed),
            "not_run_that_ran": sum(
                o.ran_before > 0 or (o.body not in may_have_run and ran[o.body] > 0)
                for o in not_run
            ),
        }
