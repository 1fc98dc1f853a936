"""Finds requests that a planned stop of an entry has cut."""

from collections.abc import Sequence

from burdockthread_standins.broken_run import FaultSpan
from burdockthread_standins.job_load import CutRequest

STOP = "stop"
# Of the rules: a connection may end this soon after a request was sent, since the
# entry need not have read it; a stop counts until this long after its SIGTERM; and
# an unplanned disruption excuses for this long.
LOSS_SLACK_S = 0.2
STOP_COUNTS_S = 7.0
CONTACT_S = 3.0


def cut_by_stops(
    cut: Sequence[CutRequest], faults: Sequence[FaultSpan], names: dict[str, str]
) -> list[CutRequest]:
    """Returns the requests that ended without an answer around a planned stop.

    Only those on connections that were held open count; the platform makes no new
    ones to an entry that is not ready.

    Args:
        cut: Requests whose connections ended.
        faults: Faults of the run.
        names: Names of the entries by address.
    """
    stops = [fault for fault in faults if fault.kind == STOP]
    return [
        request
        for request in cut
        if request.held
        and request.cut_s - request.sent_s > LOSS_SLACK_S
        and any(
            stop.target == names.get(request.url)
            and stop.began_s <= request.cut_s <= stop.began_s + STOP_COUNTS_S
            for stop in stops
        )
    ]


def is_excused(request: CutRequest, faults: Sequence[FaultSpan]) -> bool:
    """Returns whether an unplanned disruption was near a request."""
    return any(
        fault.kind != STOP
        and fault.began_s <= request.cut_s
        and fault.ended_s + CONTACT_S >= request.sent_s
        for fault in faults
    )
