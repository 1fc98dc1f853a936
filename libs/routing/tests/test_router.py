import asyncio

import pytest
from burdockthread_model.clock import settle
from burdockthread_model.errors import EndpointError, OverloadedError, RequestError
from burdockthread_model.verdict import Verdict
from burdockthread_routing.endpoint_client import EndpointAnswer, ExchangeCutError
from burdockthread_routing.retry_budget import MAX_RETRY_TOKENS
from burdockthread_routing.verdicts import LateAnswerError


def failing(error):
    async def behave(attempt):
        raise error()

    return behave


def refused():
    return EndpointError("no connection")


def cut():
    return ExchangeCutError("cut", verdict=Verdict.UNKNOWN)


async def not_run(attempt):
    return EndpointAnswer(503, b"", "text/plain", draining=True, not_run=True)


async def test_an_answer_has_run(router, add_vm, new_request):
    add_vm("vm-0")
    response = await router.handle(new_request(body=b"pole"))
    assert (response.body, response.verdict) == (b"pole", Verdict.RAN)
    assert not router.chooser.outstanding


async def test_an_unknown_service_is_not_found(router, new_request):
    with pytest.raises(RequestError) as caught:
        await router.handle(new_request(service="org/none"))
    assert (caught.value.status, caught.value.verdict) == (404, Verdict.NOT_RUN)


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("failure", [refused, cut])
async def test_only_requests_that_may_be_repeated_are_retried(
    router, add_vm, script, new_request, failure, idempotent
):
    add_vm("vm-0")
    add_vm("vm-1")
    first = {}

    async def fail_once(attempt):
        if not first:
            first[attempt.endpoint.vm] = attempt
            raise failure()
        assert attempt.endpoint.vm not in first
        return EndpointAnswer(200, b"done", "text/plain")

    script.by_vm = {"vm-0": fail_once, "vm-1": fail_once}
    request = new_request(idempotent=idempotent)
    if failure is cut and not idempotent:
        with pytest.raises(EndpointError) as caught:
            await router.handle(request)
        assert caught.value.verdict is Verdict.UNKNOWN
        assert len(router.client.attempts) == 1
    else:
        assert (await router.handle(request)).body == b"done"
        assert len(router.client.attempts) == 2


async def test_the_same_endpoint_is_tried_again_when_there_is_no_other(
    router, add_vm, script, new_request
):
    add_vm("vm-0")
    script.by_vm["vm-0"] = failing(refused)
    with pytest.raises(EndpointError) as caught:
        await router.handle(new_request())
    assert caught.value.verdict is Verdict.NOT_RUN
    assert [a.endpoint.vm for a in router.client.attempts] == ["vm-0"] * 3


async def test_retries_stay_within_their_budget(router, add_vm, script, new_request):
    for number in range(4):
        add_vm(f"vm-{number}")
        script.by_vm[f"vm-{number}"] = failing(refused)
    for _ in range(200):
        with pytest.raises(EndpointError):
            await router.handle(new_request())
    assert len(router.client.attempts) <= 200 + MAX_RETRY_TOKENS


async def test_a_refusal_does_not_override_an_earlier_unknown_verdict(
    router, add_vm, script, new_request
):
    add_vm("vm-0")
    add_vm("vm-1")
    failures = iter([cut(), refused(), refused()])

    async def fail(attempt):
        raise next(failures)

    script.by_vm = {"vm-0": fail, "vm-1": fail}
    with pytest.raises(EndpointError) as caught:
        await router.handle(new_request(idempotent=True))
    assert caught.value.verdict is Verdict.UNKNOWN


async def test_the_slot_of_a_cut_exchange_is_held_back(
    router, add_vm, script, clock, service, new_request
):
    add_vm("vm-0")
    script.by_vm["vm-0"] = failing(cut)
    for _ in range(service.slots):
        with pytest.raises(EndpointError):
            await router.handle(new_request())
    script.by_vm.clear()
    background = asyncio.create_task(router.run())
    with pytest.raises(OverloadedError) as caught:
        await run_until(clock, router.handle(new_request(deadline_s=1.0)), 1.1)
    assert caught.value.verdict is Verdict.NOT_RUN
    assert len(router.client.attempts) == service.slots
    await clock.advance(service.deadline_s + 5.0)
    assert (await router.handle(new_request())).verdict is Verdict.RAN
    background.cancel()


async def run_until(clock, call, seconds):
    task = asyncio.create_task(call)
    await clock.advance(seconds)
    assert task.done()
    return await task


async def test_no_exchange_outlasts_the_limit_that_slot_lenders_assume(
    router, add_vm, new_request
):
    add_vm("vm-0")
    await router.handle(new_request(deadline_s=600.0))
    await router.handle(new_request(deadline_s=1.0))
    assert [a.timeout_s for a in router.client.attempts] == [600.0, 15.0]


async def test_a_late_exchange_keeps_its_slot_and_finishes_its_key(
    router, add_vm, script, clock, keys, new_request
):
    add_vm("vm-0")
    released = asyncio.Event()

    async def late(attempt):
        await released.wait()
        return EndpointAnswer(200, b"late", "text/plain")

    script.by_vm["vm-0"] = late
    request = new_request(deadline_s=1.0, idempotency_key="k")
    with pytest.raises(LateAnswerError) as caught:
        await run_until(clock, router.handle(request), 1.1)
    assert (caught.value.status, caught.value.verdict) == (504, Verdict.UNKNOWN)
    assert router.chooser.outstanding == {"vm-0": 1}
    assert router.in_flight == 1
    assert not keys.finished
    released.set()
    await settle()
    assert keys.finished == [("k", Verdict.RAN, b"late")]
    assert not router.chooser.outstanding
    assert router.in_flight == 0


async def test_a_disconnected_caller_cancels_its_queued_request(
    router, keys, clock, new_request
):
    task = asyncio.create_task(router.handle(new_request(idempotency_key="k")))
    await settle()
    task.cancel()
    await settle()
    assert task.cancelled()
    assert keys.finished == [("k", Verdict.NOT_RUN, None)]
    assert router.in_flight == 0
    assert not len(router.admission.queues["org/svc"])


async def test_a_sent_request_completes_after_its_caller_disconnects(
    router, add_vm, script, keys, new_request
):
    add_vm("vm-0")
    released = asyncio.Event()

    async def hold(attempt):
        await released.wait()
        return EndpointAnswer(200, b"whole", "text/plain")

    script.by_vm["vm-0"] = hold
    task = asyncio.create_task(router.handle(new_request(idempotency_key="k")))
    await settle()
    task.cancel()
    await settle()
    assert task.cancelled()
    assert router.in_flight == 1
    released.set()
    await settle()
    assert keys.finished == [("k", Verdict.RAN, b"whole")]
    assert router.in_flight == 0


async def test_a_draining_answer_moves_new_requests_to_other_endpoints(
    router, add_vm, script, view, new_request
):
    add_vm("vm-0")
    add_vm("vm-1")
    script.by_vm["vm-0"] = not_run
    reported = []
    view.leaving_listeners.append(lambda vm, boot_id: reported.append(vm))
    for _ in range(20):
        response = await router.handle(new_request())
        assert response.endpoint == "vm-1"
    assert reported == ["vm-0"]
    asked = [a.endpoint.vm for a in router.client.attempts]
    assert asked.count("vm-0") == 1


async def test_an_unexpected_error_is_recorded_as_unknown(
    router, add_vm, script, keys, metrics, new_request
):
    add_vm("vm-0")
    script.by_vm["vm-0"] = failing(ZeroDivisionError)
    with pytest.raises(ZeroDivisionError):
        await router.handle(new_request(idempotency_key="k"))
    assert keys.finished == [("k", Verdict.UNKNOWN, None)]
    assert metrics.counters["routing.unexpected_errors"] >= 1
    assert not router.chooser.outstanding


async def test_no_endpoint_gets_more_than_its_slots(
    router, add_vm, script, clock, service, new_request
):
    add_vm("vm-0")
    add_vm("vm-1")

    async def slow(attempt):
        await clock.sleep(0.1)
        return EndpointAnswer(200, attempt.body, "text/plain")

    script.by_vm = {"vm-0": slow, "vm-1": slow}
    calls = [asyncio.create_task(router.handle(new_request())) for _ in range(100)]
    await clock.advance(5.0)
    responses = await asyncio.gather(*calls)
    assert len(responses) == 100
    assert script.highest == service.slots
