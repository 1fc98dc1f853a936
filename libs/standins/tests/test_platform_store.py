from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web
from burdockthread_model.clock import SystemClock
from burdockthread_model.errors import StoreUnavailableError, StoreUnknownError
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_standins.platform_store import PlatformStore
from burdockthread_standins.processes import listening
from burdockthread_store.etcd_store import EtcdStore
from burdockthread_store.settled_store import SettledStore
from burdockthread_store.store import Change


@asynccontextmanager
async def platform_store():
    clock = SystemClock()
    app = web.Application()
    PlatformStore(clock).add_routes(app)
    async with listening(app, "127.0.0.1", 0) as port:
        url = f"http://127.0.0.1:{port}"
        store = EtcdStore(url, clock)
        async with aiohttp.ClientSession(url) as session:
            yield store, session
        await store.close()


async def test_switches_over_http_reach_the_client_of_the_store():
    async with platform_store() as (store, session):
        await session.post("/faults", json={"lose_answers": 1})
        with pytest.raises(StoreUnknownError):
            await store.write([Change("a", b"1", 0)])
        assert (await store.get("a")).value == b"1"
        await session.post("/faults", json={"down": True})
        with pytest.raises(StoreUnavailableError):
            await store.get("a")
        await session.delete("/faults")
        assert (await store.get("a")).value == b"1"
        async with session.get("/counters") as answer:
            assert (await answer.json())["calls"] == {"write": 1, "get": 3}


async def test_lost_answers_and_requests_are_settled_over_http():
    async with platform_store() as (store, session):
        clock = SystemClock()
        settled = SettledStore(store, "entry-1", clock, MemoryMetrics())
        for number in range(5):
            await session.post("/faults", json={"lose_answers": 1})
            await settled.write([Change(f"a{number}", b"1", 0)])
            await session.post("/faults", json={"drop_requests": 1})
            with pytest.raises(StoreUnavailableError):
                await settled.write([Change(f"b{number}", b"1", 0)])
        assert len((await store.list("a")).items) == 5
        assert (await store.list("b")).items == ()


async def test_switch_that_is_not_known_is_refused():
    async with (
        platform_store() as (_, session),
        session.post("/faults", json={"slow": 1}) as answer,
    ):
        assert answer.status == 400
        assert "$.slow" in await answer.text()
