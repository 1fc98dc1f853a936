"""The users' list and control of machines, from machines in memory."""

import json
from typing import Any

from aiohttp import web
from burdockthread_model.errors import PlatformError
from burdockthread_scheduling.machines import Machine, MachineRefusedError
from burdockthread_scheduling.memory_machines import MemoryMachines

from burdockthread_standins.emulated_workers import capacity_body

PAGE_MACHINES = 200
REASONS = {"fenced": "fence", "busy": "busy", "not_in_wave": "wave"}


class EmulatedMachines:
    """Serves the list of machines and the orders to them."""

    def __init__(self, machines: MemoryMachines) -> None:
        self.machines = machines

    def application(self) -> web.Application:
        """Returns what answers."""
        app = web.Application()
        app.router.add_get("/machines", self.list)
        app.router.add_post("/machine-move", self.move)
        app.router.add_post("/machine-upkeep", self.maintain)
        return app

    async def list(self, request: web.Request) -> web.Response:
        """Returns a page of the machines."""
        first = int(request.query.get("pageToken", "0"))
        try:
            found = await self.machines.machines()
        except PlatformError:
            return web.json_response({}, status=503)
        last = first + PAGE_MACHINES
        token = str(last) if last < len(found) else None
        rows = [machine_body(machine) for machine in found[first:last]]
        return web.json_response({"machines": rows, "nextPageToken": token})

    async def move(self, request: web.Request) -> web.Response:
        """Moves a machine."""
        body = await request.json()
        holder, fence = holder_of(request)
        return await self.order(
            self.machines.move(body["machine"], body["pool"], holder, fence)
        )

    async def maintain(self, request: web.Request) -> web.Response:
        """Takes a machine out for upkeep."""
        body = await request.json()
        holder, fence = holder_of(request)
        return await self.order(
            self.machines.maintain(body["machine"], body["wave"], holder, fence)
        )

    async def order(self, work: Any) -> web.Response:
        """Carries an order out and answers it."""
        try:
            await work
        except MachineRefusedError as error:
            reason = REASONS.get(error.refusal.value)
            if reason is None:
                return web.json_response({}, status=400)
            return web.json_response({"reason": reason}, status=409)
        except PlatformError:
            return web.json_response({}, status=503)
        return web.json_response({})


def holder_of(request: web.Request) -> tuple[str, int]:
    """Returns who gives an order, and the fencing token."""
    fence = int(request.headers.get("Fencing-Token", "0"))
    return request.headers.get("Duty-Holder", ""), fence


def machine_body(machine: Machine) -> dict[str, object]:
    """Returns a machine as the protocol shows it."""
    body = json.loads(json.dumps(machine._asdict()))
    return {
        "machine": machine.name,
        "pool": machine.pool,
        "state": machine.state.value,
        "zone": machine.availability_zone,
        "labels": body["labels"],
        "capacity": capacity_body(machine.capacity),
        "id": machine.worker_id or None,
    }
