"""All open connections go silent; an entry goes on with a configuration of before."""

import asyncio
import json
import time
from pathlib import Path

from deployment import Deployment, main

FOLDER = Path(__file__).resolve().parent
SERVICES = ("bookings", "releases")
DROPPED = "releases"
# Clients that ask at once for the state of a job, three times.
CLIENTS = 24
ACK_AFTER_S = 1.0
# `configApplyMs` and `contactMs`, with a margin: the entry counts as in touch again.
CONFIG_APPLY_S = 2.0
IN_TOUCH_S = 3.0
MARGIN_S = 0.05
ASK_INTERVAL_S = 0.2
WATCHED_S = 12.0


async def case(trouble: bool) -> bool:
    """Returns whether no late request for the dropped route was answered with 200."""
    deployment = Deployment(FOLDER, 3, 2, SERVICES)
    record = deployment.record
    async with deployment.running():
        await deployment.until_ready()
        holders = {deployment.holder(service).name for service in SERVICES}
        idle = [entry for entry in deployment.entries if entry.name not in holders]
        entry = (idle or deployment.entries)[0]
        step = {"count": 1, "cpu": 1000, "memMb": 64, "estimatedMs": 20_000}
        job = await deployment.submit(entry, [20.0], [step])
        for _ in range(3):
            calls = (deployment.call(entry, "GET", job) for _ in range(CLIENTS))
            await asyncio.gather(*calls)
        await asyncio.sleep(1.5)
        silent_s = time.monotonic()
        if trouble:
            record.write("silent", connections=deployment.silence_connections())
        await asyncio.sleep(ACK_AFTER_S)
        drop_route(deployment)
        acked_s = time.monotonic()
        record.write("configuration_acknowledged", dropped=DROPPED)
        due_s = max(acked_s + CONFIG_APPLY_S, silent_s + IN_TOUCH_S) + MARGIN_S
        await asyncio.sleep(due_s - time.monotonic())
        broken = 0
        while time.monotonic() - silent_s < WATCHED_S:
            sent_s = time.monotonic()
            status, _ = await deployment.call(entry, "GET", "", None, DROPPED)
            if status == 200:
                broken += 1
                record.write(
                    "CONFIG",
                    entry=entry.name,
                    sent_after_ack_s=f"{sent_s - acked_s:.2f}",
                    sent_after_silence_s=f"{sent_s - silent_s:.2f}",
                )
            await asyncio.sleep(ASK_INTERVAL_S)
        record.write("end", broken=broken)
        return not broken


def drop_route(deployment: Deployment) -> None:
    """Writes a version of the configuration without the dropped route."""
    body = json.loads(deployment.store.items["op/config"].value)
    body["version"] += 4
    body["routes"] = [r for r in body["routes"] if r["service"] != DROPPED]
    deployment.store.write("op/config", json.dumps(body).encode())


if __name__ == "__main__":
    main(case)
