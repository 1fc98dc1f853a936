"""HTTP client that lists the platform's machines and sends them orders."""

from typing import NoReturn
from urllib.parse import quote

import aiohttp
from burdockthread_http.http_calls import HttpCalls
from burdockthread_model.addresses import Address
from burdockthread_model.errors import PlatformError
from burdockthread_scheduling.machines import (
    Machine,
    MachineControl,
    MachineRefusal,
    MachineRefusedError,
    MachineState,
)
from burdockthread_scheduling.pool_status import MACHINE_ORDER_TIMEOUT_S

from burdockthread_platform import wire
from burdockthread_platform.registrations import parse_capacity

MAX_PAGES = 100
OVER_RATE = 429
REFUSALS = {
    "fence": MachineRefusal.FENCED,
    "busy": MachineRefusal.BUSY,
    "wave": MachineRefusal.NOT_IN_WAVE,
}


class HttpMachineControl(MachineControl):
    """Client of the machine control at one address."""

    def __init__(self, address: Address, calls: HttpCalls) -> None:
        self.base_url = f"http://{address}"
        self.calls = calls

    async def call(
        self,
        method: str,
        path: str,
        body: wire.JsonObject | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, wire.JsonObject]:
        """Sends a request and returns status and body.

        Raises:
            PlatformError: No complete answer, or one that is not a JSON object.
        """
        try:
            answer = await self.calls.send(
                "machines",
                method,
                self.base_url + path,
                MACHINE_ORDER_TIMEOUT_S,
                body=None if body is None else wire.encode(body),
                headers={**wire.BODY_HEADERS, **(headers or {})},
            )
            found = wire.parse_object(answer.data) if answer.data else {}
            return answer.status, found
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(f"{path}: {type(error).__name__}") from error
        except wire.WireError as error:
            raise PlatformError(f"{path}: {error}") from error

    async def machines(self) -> tuple[Machine, ...]:
        """Returns all machines, page by page.

        Raises:
            PlatformError: A page failed, or the list exceeds the most pages.
        """
        found: list[Machine] = []
        path = "/machines"
        for _ in range(MAX_PAGES):
            status, body = await self.call("GET", path)
            if status != 200:
                raise PlatformError(f"{path} answered {status}")
            found.extend(parse_machines(body))
            token = body.get("nextPageToken")
            if not token:
                return tuple(found)
            path = f"/machines?pageToken={quote(str(token), safe='')}"
        raise PlatformError(f"the list of machines has more than {MAX_PAGES} pages")

    async def order(
        self, path: str, body: wire.JsonObject, holder: str, fence: int
    ) -> None:
        """Sends an order under the fencing token of its holder.

        Raises:
            MachineRefusedError: The platform refused the order.
            PlatformError: No valid answer; the order may have taken effect.
        """
        headers = {"Duty-Holder": holder, "Fencing-Token": str(fence)}
        status, answer = await self.call("POST", path, body, headers)
        if status != 200:
            raise_refusal(str(body["machine"]), status, answer)

    async def move(self, machine: str, pool: str, holder: str, fence: int) -> None:
        """Orders the move of a machine to another pool."""
        body: wire.JsonObject = {"machine": machine, "pool": pool}
        await self.order("/machine-move", body, holder, fence)

    async def maintain(self, machine: str, wave: int, holder: str, fence: int) -> None:
        """Orders the upkeep of a machine as part of a wave."""
        body: wire.JsonObject = {"machine": machine, "wave": wave}
        await self.order("/machine-upkeep", body, holder, fence)


def raise_refusal(machine: str, status: int, answer: wire.JsonObject) -> NoReturn:
    """Raises the error for an order that the platform did not accept."""
    if status == 409:
        reason = str(answer.get("reason", ""))
        refusal = REFUSALS.get(reason, MachineRefusal.INVALID)
        raise MachineRefusedError(machine, refusal)
    if status == 400:
        raise MachineRefusedError(machine, MachineRefusal.INVALID)
    if status == OVER_RATE:
        raise MachineRefusedError(machine, MachineRefusal.OVER_RATE)
    raise PlatformError(f"order to machine {machine} answered {status}")


def parse_machines(body: wire.JsonObject) -> list[Machine]:
    """Decodes the machines of one page.

    Raises:
        WireError: The page is malformed.
    """
    return [parse_machine(item) for item in wire.objects(body, "machines")]


def parse_machine(item: wire.JsonObject) -> Machine:
    """Decodes one machine; an unknown state counts as down."""
    state = wire.text(item, "state")
    known = state in set(MachineState)
    return Machine(
        name=wire.required_text(item, "machine", "machines"),
        pool=wire.required_text(item, "pool", "machines"),
        state=MachineState(state) if known else MachineState.DOWN,
        availability_zone=wire.text(item, "zone", "machines"),
        labels=wire.texts(item, "labels", "machines"),
        capacity=parse_capacity(item.get("capacity", {})),
        # Id of the worker that runs on the machine; absent while none runs.
        worker_id=str(item.get("id") or ""),
    )
