import asyncio
import json

import aiohttp
import pytest
from burdockthread_http import connection_phases
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_model.clock import settle
from burdockthread_model.errors import EndpointError
from burdockthread_model.steps import Steps
from burdockthread_routing.callers_api import CallersApi
from burdockthread_routing.callers_port import callers_port
from burdockthread_routing.endpoint_client import EndpointAnswer
from burdockthread_routing.job_ledger import JobLedger

HEADERS = {"Burdockthread-Organisation": "org", "Burdockthread-Class": "urgent"}
BODY_BYTES = 1000
LIMITS = PortLimits(
    body_bytes=BODY_BYTES, connections=5, header_timeout_s=1.0, line_bytes=8_190
)


@pytest.fixture
def api(router, store, clock, metrics, log):
    ledger = JobLedger(store, clock, Steps())
    return CallersApi("entry-1", router, ledger, clock, metrics, log)


@pytest.fixture
async def port(api, clock):
    listening = callers_port(api, clock, "127.0.0.1", 0, LIMITS, stop_timeout_s=1.0)
    async with listening as chosen:
        yield chosen


@pytest.fixture
async def call(port):
    async with aiohttp.ClientSession(
        f"http://127.0.0.1:{port}", timeout=aiohttp.ClientTimeout(total=10.0)
    ) as session:

        async def send(path="/services/svc/order", method="POST", data=b"x", **headers):
            fields = {name.replace("_", "-"): value for name, value in headers.items()}
            async with session.request(
                method, path, data=data, headers=HEADERS | fields
            ) as answer:
                body = await answer.read()
                verdict = answer.headers.get("Burdockthread-Verdict")
                return answer.status, verdict, body, answer.headers

        yield send


async def test_an_answer_carries_verdict_and_endpoint(call, add_vm, router):
    add_vm("vm-0")
    status, verdict, body, headers = await call("/services/svc/a%2Fb?town=gangi&x=%20")
    assert (status, verdict, body) == (200, "ran", b"x")
    assert headers["Burdockthread-Endpoint"] == "vm-0"
    assert router.client.attempts[0].path == "/a%2Fb?town=gangi&x=%20"


@pytest.mark.parametrize(
    ("headers", "named"),
    [
        ({"Burdockthread_Organisation": "a b"}, "Burdockthread-Organisation"),
        ({"Burdockthread_Team": "x" * 65}, "Burdockthread-Team"),
        ({"Burdockthread_Class": "soon"}, "Burdockthread-Class"),
        ({"Burdockthread_Deadline_Ms": "-1"}, "Burdockthread-Deadline-Ms"),
        ({"Burdockthread_Deadline_Ms": "0"}, "Burdockthread-Deadline-Ms"),
        ({"Burdockthread_Idempotent": "maybe"}, "Burdockthread-Idempotent"),
        ({"Idempotency_Key": "k" * 129}, "Idempotency-Key"),
    ],
)
async def test_a_malformed_header_is_named(call, add_vm, router, headers, named):
    add_vm("vm-0")
    status, verdict, body, _ = await call(**headers)
    assert (status, verdict) == (400, "not_run")
    assert named in json.loads(body)["error"]
    assert not router.client.attempts


async def test_a_duplicate_header_is_refused(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = "Host: x\r\nBurdockthread-Organisation: org\r\n"
    keys = "Idempotency-Key: a\r\nIdempotency-Key: b\r\nConnection: close\r\n"
    writer.write(f"GET /services/svc/order HTTP/1.1\r\n{lines}{keys}\r\n".encode())
    answer = await asyncio.wait_for(reader.read(), 5.0)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"Idempotency-Key: expected once" in answer


@pytest.mark.parametrize(
    ("path", "method", "data", "status"),
    [
        ("/services/none/order", "POST", b"", 404),
        ("/elsewhere", "GET", b"", 404),
        ("/jobs/svc", "PUT", b"", 405),
        ("/services/svc/order", "TRACE", b"", 405),
        ("/services/svc/order", "POST", b"x" * 1001, 413),
        ("/jobs/svc", "POST", b"[", 400),
        ("/jobs/svc", "POST", b'{"cores": -1}', 400),
    ],
)
async def test_a_request_that_cannot_be_served_is_answered_not_run(
    call, path, method, data, status
):
    found, verdict, body, _ = await call(path, method, data)
    assert (found, verdict) == (status, "not_run")
    assert json.loads(body)["verdict"] == "not_run"


async def test_an_unexpected_error_has_verdict_unknown(call, add_vm, script):
    add_vm("vm-0")

    async def fail(attempt):
        raise ZeroDivisionError

    script.by_vm["vm-0"] = fail
    status, verdict, body, _ = await call()
    assert (status, verdict) == (500, "unknown")
    assert json.loads(body)["verdict"] == "unknown"


async def test_an_endpoint_error_keeps_its_verdict(call, add_vm, script):
    add_vm("vm-0")

    async def refuse(attempt):
        raise EndpointError("no connection")

    script.by_vm["vm-0"] = refuse
    assert (await call())[:2] == (502, "not_run")


async def test_the_request_of_a_disconnected_caller_leaves_the_queue(port, router):
    head = "POST /services/svc/order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    writer.write(f"{head}{lines}\r\n".encode())
    assert await reached(lambda: router.in_flight == 1)
    writer.close()
    assert await reached(lambda: router.in_flight == 0)
    assert not len(router.admission.queues["org/svc"])


async def reached(condition, rounds=2000):
    """Returns whether a condition came true while the event loop ran."""
    for _ in range(rounds):
        if condition():
            return True
        await asyncio.sleep(0.001)
    return False


async def test_slow_callers_are_timed_out(port, api, clock):
    streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
    streams[0][1].write(b"POST /services/svc/order HTTP/1.1\r\nHost")
    lines = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    head = "POST /services/svc/order HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
    streams[1][1].write(f"{head}{lines}\r\nhalf".encode())
    assert await reached(lambda: len(api.busy))
    await clock.advance(10.5)
    answer = await asyncio.wait_for(streams[1][0].read(), 5.0)
    assert b"408" in answer.split(b"\r\n")[0]
    assert b"not_run" in answer
    assert b"Connection: close" in answer
    answer = await asyncio.wait_for(streams[0][0].read(), 5.0)
    assert b" 408 " in answer.split(b"\r\n")[0]
    assert b"\r\nBurdockthread-Verdict: not_run\r\n" in answer


@pytest.mark.parametrize(
    "data", [b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\nHost: " + b"x" * 9000]
)
async def test_malformed_http_is_answered_not_run(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    assert answer.startswith(b"HTTP/1.0 400 ")
    assert b"Burdockthread-Verdict: not_run\r\n" in answer


async def test_a_body_is_awaited_no_longer_than_the_deadline(port, api, clock):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    fields = HEADERS | {"Burdockthread-Deadline-Ms": "2000"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    head = "POST /services/svc/order HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
    writer.write(f"{head}{lines}\r\nhalf".encode())
    assert await reached(lambda: len(api.busy))
    await clock.advance(2.5)
    assert b" 408 " in await asyncio.wait_for(reader.readline(), 5.0)
    writer.close()


async def test_idle_connection_is_closed_for_a_new_one(port, call, add_vm):
    add_vm("vm-0")
    streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5)]
    assert (await call())[0] == 200
    assert await asyncio.wait_for(streams[0][0].read(), 5.0) == b""
    for reader, writer in streams[1:]:
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b" 200 " in await asyncio.wait_for(reader.readline(), 5.0)
        writer.close()


async def test_connection_beyond_the_limit_is_refused_if_all_have_requests(
    port, call, router
):
    held = [
        asyncio.create_task(call(Burdockthread_Deadline_Ms="60000")) for _ in "12345"
    ]
    assert await reached(lambda: router.in_flight == 5)
    reader, _ = await asyncio.open_connection("127.0.0.1", port)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    assert b" 503 " in answer.split(b"\r\n")[0]
    assert b"\r\nBurdockthread-Verdict: not_run\r\n" in answer
    assert json.loads(answer.partition(b"\r\n\r\n")[2])["verdict"] == "not_run"
    assert router.in_flight == 5
    for task in held:
        task.cancel()


# Guards against a body that is awaited although the request is refused anyway.
async def test_refused_request_is_answered_before_its_body(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = "POST /services/none/order HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n"
    writer.write(f"{head}Burdockthread-Organisation: a b\r\n\r\nhalf".encode())
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    assert b" 400 " in answer.split(b"\r\n")[0]
    assert b"\r\nConnection: close\r\n" in answer
    assert b"\r\nBurdockthread-Verdict: not_run\r\n" in answer


# Guards against answers that pile up in memory while nobody reads them.
async def test_unread_answer_is_charged_to_the_budget(api, clock, add_vm, script):
    add_vm("vm-0")
    size = 4_000_000

    async def answer_at_length(attempt):
        return EndpointAnswer(200, b"x" * size, "text/plain")

    script.by_vm["vm-0"] = answer_at_length
    guard = ConnectionGuard.with_defaults(api.log)
    listening = callers_port(
        api, clock, "127.0.0.1", 0, LIMITS, stop_timeout_s=0.1, guard=guard
    )
    lines = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    async with listening as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1)
        writer.write(f"GET /services/svc/a HTTP/1.1\r\nHost: x\r\n{lines}\r\n".encode())
        assert await reached(lambda: guard.budget.used >= size)
        writer.transport.abort()
        assert await reached(lambda: guard.budget.used == 0)
    assert reader


async def test_a_long_request_does_not_make_its_connection_idle(
    api, add_vm, script, router, clock, monkeypatch
):
    monkeypatch.setattr(connection_phases, "IDLE_MARGIN_S", 0.0)
    add_vm("vm-0")
    released = asyncio.Event()

    async def hold(attempt):
        await released.wait()
        return EndpointAnswer(200, b"whole", "text/plain")

    script.by_vm["vm-0"] = hold
    limits = LIMITS._replace(idle_timeout_s=0.2)
    listening = callers_port(api, clock, "127.0.0.1", 0, limits, stop_timeout_s=0.1)
    async with listening as port:
        idle, _ = await asyncio.open_connection("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        lines = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
        writer.write(f"GET /services/svc/a HTTP/1.1\r\nHost: x\r\n{lines}\r\n".encode())
        assert await reached(lambda: router.in_flight == 1)
        assert await asyncio.wait_for(idle.read(), 5.0) == b""
        released.set()
        assert await asyncio.wait_for(reader.readuntil(b"whole"), 5.0)
        writer.close()


async def test_a_graceful_stop_completes_requests_in_progress(
    api, call, add_vm, script, router
):
    add_vm("vm-0")
    released = asyncio.Event()

    async def hold(attempt):
        await released.wait()
        return EndpointAnswer(200, b"whole", "text/plain")

    await call()
    script.by_vm["vm-0"] = hold
    under_way = [asyncio.create_task(call()) for _ in range(4)]
    assert await reached(lambda: router.in_flight == 4)
    api.stop_accepting()
    status, verdict, _, headers = await call()
    assert (status, verdict) == (503, "not_run")
    assert headers["Connection"] == "close"
    assert (await call("/readyz", "GET"))[0] == 503
    released.set()
    answers = await asyncio.gather(*under_way)
    assert [answer[2] for answer in answers] == [b"whole"] * 4
    assert {answer[3]["Connection"] for answer in answers} == {"close"}
    await settle()
    assert not api.busy


# Guards against closing the connection of a request that exceeds the stop timeout
# without an answer.
async def test_request_in_progress_after_the_stop_timeout_is_answered(
    api, add_vm, script, router, clock
):
    add_vm("vm-0")

    async def hold(attempt):
        await asyncio.Event().wait()

    script.by_vm["vm-0"] = hold
    listening = callers_port(api, clock, "127.0.0.1", 0, LIMITS, stop_timeout_s=0.1)
    async with listening as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
        writer.write(f"POST /services/svc/a HTTP/1.1\r\nHost: a\r\n{head}".encode())
        writer.write(b"Content-Length: 1\r\n\r\nx")
        assert await reached(lambda: router.in_flight == 1)
        api.stop_accepting()
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    assert answer.startswith(b"HTTP/1.1 504 ")
    assert b"Burdockthread-Verdict: unknown\r\n" in answer
