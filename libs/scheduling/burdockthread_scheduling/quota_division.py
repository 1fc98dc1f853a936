"""Divides the quota of an organisation among pools.

Answers a load that moves from pool to pool within seconds, as demand peaks by turns,
and an organisation that asks for many times its quota.
"""

from collections.abc import Iterable, Mapping, Sequence

from burdockthread_scheduling.organisations import UNLIMITED, Quota
from burdockthread_scheduling.quota_messages import OrganisationUse
from burdockthread_scheduling.workers import Capacity


def divide(
    quota: Quota, uses: Mapping[str, OrganisationUse], short: Sequence[str] = ()
) -> dict[str, Capacity]:
    """Returns what each pool should be limited to.

    The sum stays within the quota unless more is used already; nothing is stopped then.

    Args:
        quota: The organisation's quota.
        uses: Its use by pool.
        short: Pools that need a higher limit to start their largest waiting task, the
            one to be served first at the front.
    """
    positions = {pool: position for position, pool in enumerate(uses)}
    amounts = [
        divide_amount(
            total,
            [use.used[resource] for use in uses.values()],
            [use.waiting[resource] for use in uses.values()],
            [
                (
                    positions[pool],
                    uses[pool].largest[resource] - uses[pool].used[resource],
                )
                for pool in short
            ],
        )
        for resource, total in enumerate(quota)
    ]
    return dict(zip(uses, map(Capacity, *amounts), strict=True))


def divide_amount(
    total: int,
    used: Sequence[int],
    waiting: Sequence[int],
    tasks: Iterable[tuple[int, int]] = (),
) -> Sequence[int]:
    """Divides the amount of one resource among pools.

    Each pool gets what it uses and needs. What is left goes to all pools in equal
    parts, with one part kept back: new demand anywhere is served from it in a single
    call, while a part that a pool holds idle has to be asked back first. If the need is
    greater than what is left, all pools get the same until their need is met.

    Some task may need more than such a part, or find nothing left because others start
    a task whenever one ends. What it needs is then kept for it, and as much as is
    missing is left out of the parts of the pools that use most; their runs go on.

    Args:
        total: The amount, or `UNLIMITED`.
        used: What each pool uses.
        waiting: What each pool needs in addition.
        tasks: Positions of pools with what a task there needs in addition, the task to
            be served first at the front.
    """
    if total >= UNLIMITED:
        return [UNLIMITED] * len(used)
    spare = max(total - sum(used), 0)
    if sum(waiting) <= spare:
        idle = (spare - sum(waiting)) // (len(used) + 1)
        return [u + need + idle for u, need in zip(used, waiting, strict=True)]
    kept = [0] * len(used)
    limits = list(used)
    for number, (position, amount) in enumerate(tasks):
        left = spare - sum(kept)
        if amount > 0 and (number == 0 or amount <= left):
            kept[position] = min(amount, left)
            if kept[position] < amount:
                reduce_others(limits, position, amount - kept[position])
    if any(kept):
        waiting = [max(w - part, 0) for w, part in zip(waiting, kept, strict=True)]
    more = fill_evenly(spare - sum(kept), waiting)
    return [sum(parts) for parts in zip(limits, kept, more, strict=True)]


def reduce_others(limits: list[int], position: int, amount: int) -> None:
    """Takes an amount from the greatest limits, except from that at a position."""
    by_size = sorted(range(len(limits)), key=lambda index: -limits[index])
    for index in by_size:
        if index != position:
            taken = min(amount, limits[index])
            limits[index] -= taken
            amount -= taken


def fill_evenly(amount: int, needs: Sequence[int]) -> list[int]:
    """Returns the max-min fair division of an amount that is below the needs."""
    parts = [0] * len(needs)
    open_needs = sorted(range(len(needs)), key=lambda index: needs[index])
    for position, index in enumerate(open_needs):
        parts[index] = min(needs[index], amount // (len(needs) - position))
        amount -= parts[index]
    return parts


def effective_quota(
    quota: Quota, use: OrganisationUse, elsewhere: Iterable[int]
) -> Quota:
    """Returns the quota, raised to the largest waiting task of a pool.

    A task larger than the quota may run while nothing else of its organisation does.
    Holders compare smaller tasks with the whole quota, so that a resource is not raised
    while other pools have, or ask for, a part of it.

    Args:
        quota: The organisation's quota.
        use: Its use in the pool.
        elsewhere: What the other pools have been granted and ask for.
    """
    return Quota(
        *(
            total if others else max(total, most)
            for total, most, others in zip(quota, use.largest, elsewhere, strict=True)
        )
    )
