import asyncio
import json

import pytest
from burdockthread_model.errors import EndpointError
from burdockthread_model.verdict import Verdict
from burdockthread_routing.endpoint_client import ExchangeCutError
from burdockthread_standins.endpoint_faults import Fault, FaultKind

INVALID_ANSWERS = [
    (FaultKind.DROP, True, 1),
    (FaultKind.DROP_UNREAD, True, 0),
    (FaultKind.CUT, False, 1),
    (FaultKind.CROSSED, False, 1),
    (FaultKind.NO_ID, False, 1),
    (FaultKind.OVERSIZED, False, 1),
    (FaultKind.NO_LENGTH, False, 1),
]


def echo(answer):
    return json.loads(answer.body)["echo"]


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize(("kind", "cut", "runs"), INVALID_ANSWERS)
async def test_an_invalid_answer_is_unknown_and_closes_its_connection(
    vm, client, new_attempt, kind, cut, runs, method
):
    assert echo(await client.send(new_attempt("first", method))) == "first"
    await vm.set_faults(Fault(kind, limit=1))
    with pytest.raises(EndpointError) as caught:
        await client.send(new_attempt("spoiled", method))
    assert caught.value.verdict is Verdict.UNKNOWN
    assert isinstance(caught.value, ExchangeCutError) is cut
    assert [run.body for run in vm.runs] == ["first"] + ["spoiled"] * runs
    assert echo(await client.send(new_attempt("next", method))) == "next"
    assert vm.runs[-1].sender_port != vm.runs[0].sender_port


async def test_a_complete_exchange_leaves_its_connection_open(vm, client, new_attempt):
    await client.send(new_attempt("first"))
    await client.send(new_attempt("next"))
    assert vm.runs[-1].sender_port == vm.runs[0].sender_port


async def test_a_refused_connection_is_not_run(vm, client, new_attempt):
    await vm.set_faults(Fault(FaultKind.REFUSE))
    with pytest.raises(EndpointError) as caught:
        await client.send(new_attempt())
    assert caught.value.verdict is Verdict.NOT_RUN
    assert not isinstance(caught.value, ExchangeCutError)
    assert not vm.runs


async def test_a_late_answer_is_never_read_by_the_next_request(vm, client, new_attempt):
    await vm.set_faults(Fault(FaultKind.LATE, delay_s=0.2, limit=1))
    with pytest.raises(ExchangeCutError) as caught:
        await client.send(new_attempt("late", timeout_s=0.05))
    assert caught.value.verdict is Verdict.UNKNOWN
    for number in range(20):
        assert echo(await client.send(new_attempt(f"n{number}"))) == f"n{number}"
        await asyncio.sleep(0.02)


async def test_a_cancelled_exchange_closes_its_connection(vm, client, new_attempt):
    await vm.set_faults(Fault(FaultKind.HOLD, limit=1))
    held = asyncio.create_task(client.send(new_attempt("held")))
    await asyncio.wait_for(vm.started.wait(), 5.0)
    held.cancel()
    await asyncio.gather(held, return_exceptions=True)
    vm.release()
    assert echo(await client.send(new_attempt("next"))) == "next"


async def echo_or_verdict(client, attempt):
    try:
        return echo(await client.send(attempt))
    except EndpointError as error:
        return error.verdict


@pytest.mark.parametrize("kind", [FaultKind.DUPLICATE, FaultKind.LATE_DUPLICATE])
async def test_a_duplicate_is_never_taken_for_another_answer(
    vm, client, new_attempt, kind
):
    await vm.set_faults(Fault(kind, delay_s=0.02, limit=1))
    assert echo(await client.send(new_attempt("first"))) == "first"
    await asyncio.sleep(0.1)
    second = await echo_or_verdict(client, new_attempt("second"))
    assert second in ("second", Verdict.UNKNOWN)
    assert echo(await client.send(new_attempt("third"))) == "third"
    bodies = [run.body for run in vm.runs]
    assert sorted(set(bodies)) == sorted(bodies)


async def test_a_body_longer_than_declared_closes_its_connection(
    vm, client, new_attempt
):
    await vm.set_faults(Fault(FaultKind.LONG, limit=1))
    with pytest.raises(EndpointError) as caught:
        await client.send(new_attempt("long"))
    assert caught.value.verdict is Verdict.UNKNOWN
    assert echo(await client.send(new_attempt("next"))) == "next"


async def test_a_redirect_is_returned_and_not_followed(vm, client, new_attempt):
    await vm.set_faults(Fault(FaultKind.REDIRECT))
    assert (await client.send(new_attempt())).status == 307
    assert len(vm.runs) == 1


async def test_a_closed_idle_connection_never_sends_twice(vm, client, new_attempt):
    for number in range(30):
        body = f"n{number}"
        await client.send(new_attempt(body, "PUT"))
        vm.close_connections()
        again = await echo_or_verdict(client, new_attempt(f"{body}-again", "PUT"))
        assert again in (f"{body}-again", Verdict.UNKNOWN)
    bodies = [run.body for run in vm.runs]
    assert sorted(set(bodies)) == sorted(bodies)


async def test_the_request_arrives_unchanged(vm, client, new_attempt):
    await client.send(new_attempt("text", "PUT"))
    run = vm.runs[0]
    assert (run.method, run.path, run.body) == ("PUT", "/order?town=gangi", "text")
    assert run.attempt_id == "entry-1.1"
