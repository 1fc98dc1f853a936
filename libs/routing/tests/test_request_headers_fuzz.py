"""Any headers and body get an answer with a correct verdict."""

import asyncio
import re

import pytest
from burdockthread_http.connection_limits import PortLimits
from burdockthread_model.steps import Steps
from burdockthread_routing.callers_api import CallersApi
from burdockthread_routing.callers_port import callers_port
from burdockthread_routing.job_ledger import JobLedger
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

BODY_BYTES = 1_000
LIMITS = PortLimits(body_bytes=BODY_BYTES, connections=5, line_bytes=8_190)
STATUS = re.compile(rb"HTTP/1\.[01] (\d{3}) ")
VERDICT = re.compile(rb"\r\nBurdockthread-Verdict: (\w+)\r\n")
ANSWER_TIMEOUT_S = 10.0
CONTROLS = bytes([*range(32), 127])
VALUES = st.binary(max_size=20).map(
    lambda text: text.translate(None, delete=CONTROLS)
) | st.sampled_from(
    [b"org", b"urgent", b"true", b"false", b"5000", b"\xc2\xb2", b"\xff", b"k" * 129]
)
NAMES = st.sampled_from(
    [
        b"Burdockthread-Organisation",
        b"Burdockthread-Team",
        b"Burdockthread-Class",
        b"Burdockthread-Deadline-Ms",
        b"Burdockthread-Idempotent",
        b"Idempotency-Key",
    ]
)
METHODS = st.sampled_from([b"GET", b"HEAD", b"POST", b"PUT", b"TRACE", b"OPTIONS"])
BELOW = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=8).map(
    str.encode
)
PATHS = (
    st.builds(b"/services/svc/".__add__, BELOW)
    | st.builds(b"/jobs/".__add__, BELOW)
    | st.just(b"/jobs/svc")
)
BODIES = st.binary(max_size=40) | st.sampled_from(
    [b"{}", b'{"cores": 1e999}', b'{"cores": 1, "memory_gb": 1}', b"[" * 900]
)


@pytest.fixture
def real_router(new_router, client, add_vm, vm):
    add_vm("vm-0", port=vm.port)
    return new_router(client)


@pytest.fixture
async def port(real_router, store, clock, metrics, log):
    ledger = JobLedger(store, clock, Steps())
    running = asyncio.create_task(ledger.run())
    api = CallersApi("entry-1", real_router, ledger, clock, metrics, log)
    async with callers_port(
        api, clock, "127.0.0.1", 0, LIMITS, stop_timeout_s=1.0
    ) as chosen:
        yield chosen
    running.cancel()


async def answer_to(port, request):
    """Sends the bytes of a request and returns the complete answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        return await asyncio.wait_for(reader.read(), ANSWER_TIMEOUT_S)
    finally:
        writer.close()


def request_text(method, path, headers, body):
    """Returns the bytes of a request; adds the organisation header if missing."""
    fields = list(headers)
    if all(name != b"Burdockthread-Organisation" for name, _ in fields):
        fields.append((b"Burdockthread-Organisation", b"org"))
    fields += [(b"Host", b"x"), (b"Connection", b"close")]
    fields.append((b"Content-Length", str(len(body)).encode()))
    lines = [name + b": " + value + b"\r\n" for name, value in fields]
    return b"%b %b HTTP/1.1\r\n%b\r\n%b" % (method, path, b"".join(lines), body)


@settings(max_examples=300, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    METHODS,
    PATHS,
    st.lists(st.tuples(NAMES, VALUES), max_size=4),
    st.lists(st.tuples(st.just(b"Content-Type"), VALUES), max_size=1),
    BODIES,
)
async def test_any_request_gets_a_correct_verdict(
    port, vm, method, path, headers, content_type, body
):
    before = len(vm.runs)
    text = request_text(method, path, headers + content_type, body)
    answer = await answer_to(port, text)
    status = STATUS.match(answer)
    assert status, answer
    assert status[1] != b"500", answer
    verdict = VERDICT.search(answer)
    assert verdict, answer
    ran = len(vm.runs) - before
    job_accepted = status[1] == b"202"
    assert ran == (verdict[1] == b"ran" and not job_accepted), answer


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        (b"/services/svc/\x80", []),
        (b"/services/svc/a b", []),
        (b"/services/svc/a", [(b"Content-Type", b"a"), (b"Content-Type", b"b")]),
        (b"/services/svc/a", [(b"Idempotency-Key", b"\x01")]),
        (b"/services/svc/a", [(b"Content-Length", b"x")]),
        (b"/services/svc/" + b"a" * 9000, []),
    ],
)
async def test_a_request_that_is_not_http_is_answered_not_run(port, vm, path, headers):
    answer = await answer_to(port, request_text(b"POST", path, headers, b"x"))
    assert STATUS.match(answer)[1] == b"400"
    verdict = VERDICT.search(answer)
    assert verdict, answer
    assert verdict[1] == b"not_run"
    assert not vm.runs
