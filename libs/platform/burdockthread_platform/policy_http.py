"""HTTP client of the users' placement policy service."""

import asyncio
from collections.abc import Sequence

import aiohttp
from burdockthread_http.http_calls import HttpCalls
from burdockthread_model.addresses import Address
from burdockthread_model.errors import PlatformError
from burdockthread_scheduling.placement_policy import (
    PolicyAnswer,
    PolicyService,
    StepId,
)

from burdockthread_platform import wire

# The service handles the calls of one machine one after another.
CALL_TIMEOUT_S = 5.0
MAX_WORKERS = 100


class HttpPolicyService(PolicyService):
    """Client of the policy service at one address; sends one call at a time."""

    def __init__(self, address: Address, calls: HttpCalls) -> None:
        self.base_url = f"http://{address}"
        self.calls = calls
        self.call_lock = asyncio.Lock()

    async def ask(self, step: StepId, workers: Sequence[str]) -> PolicyAnswer:
        """Asks which of the first `MAX_WORKERS` workers may run a step.

        Raises:
            PlatformError: The service did not answer, or not as agreed.
        """
        name = f"{step.job_id}.{step.occurrence}.{step.step}"
        body = {"step": name, "workers": list(workers[:MAX_WORKERS])}
        async with self.call_lock:
            sent_s = self.calls.load.clock.now()
            answer = await self.call(body)
            return answer._replace(took_s=self.calls.load.clock.now() - sent_s)

    async def call(self, body: wire.JsonObject) -> PolicyAnswer:
        """Sends one request to the service and decodes the answer."""
        try:
            answer = await self.calls.send(
                "policy",
                "POST",
                f"{self.base_url}/advise",
                CALL_TIMEOUT_S,
                body=wire.encode(body),
                headers=wire.BODY_HEADERS,
            )
            if answer.status != 200:
                raise PlatformError(f"policy service answered {answer.status}")
            return parse_answer(wire.parse_object(answer.data))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(f"policy service: {type(error).__name__}") from error
        except wire.WireError as error:
            raise PlatformError(f"policy service: {error}") from error


def parse_answer(body: wire.JsonObject) -> PolicyAnswer:
    """Decodes the rows of worker and ticket.

    Raises:
        WireError: The answer is malformed.
    """
    rows = body.get("good", [])
    if not isinstance(rows, list):
        raise wire.WireError("good", "expected a list")
    tickets = {}
    for row in rows:
        match row:
            case [str(worker), str(ticket), *_]:
                tickets[worker] = ticket
            case _:
                raise wire.WireError("good", "unexpected row")
    return PolicyAnswer(tickets, wire.number(body, "validMs") / 1000)
