import pytest
from aiohttp import web
from burdockthread_model.clock import MemoryClock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownError,
    WatchCompactedError,
)
from burdockthread_store.etcd_store import EtcdStore
from burdockthread_store.store import Change, Lease

CHANGE = Change("a", b"1", 0)


class Gateway:
    """Gives every request the same answer, after advancing the clock."""

    def __init__(self, clock: MemoryClock) -> None:
        self.clock = clock
        self.status = 200
        self.body = b"{}"
        self.delay_s = 0.0

    async def answer(self, request):
        await self.clock.advance(self.delay_s)
        return web.Response(status=self.status, body=self.body)


@pytest.fixture
async def gateway(clock):
    gateway = Gateway(clock)
    app = web.Application()
    app.router.add_post("/{path:.*}", gateway.answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    gateway.url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    yield gateway
    await runner.cleanup()


@pytest.fixture
async def client(gateway, clock):
    store = EtcdStore(gateway.url, clock)
    yield store
    await store.close()


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (200, b"{}", ConflictError),
        (200, b"not JSON", StoreUnknownError),
        (200, b'{"succeeded":true,"header":{"revision":"x"}}', StoreUnknownError),
        (400, b"too large", ConflictError),
        (404, b"lease not found", ConflictError),
        (429, b"busy", StoreUnavailableError),
        (503, b"no leader", StoreUnknownError),
    ],
)
async def test_write_error_matches_the_answer(client, gateway, status, body, error):
    gateway.status, gateway.body = status, body
    with pytest.raises(error) as raised:
        await client.write([CHANGE])
    assert type(raised.value) is error


@pytest.mark.parametrize(
    ("status", "body"), [(503, b""), (404, b""), (200, b"["), (200, b'{"kvs":7}')]
)
async def test_read_without_a_readable_answer_is_unavailable(
    client, gateway, status, body
):
    gateway.status, gateway.body = status, body
    for call in (client.get("a"), client.list("a"), client.grant_lease(5.0)):
        with pytest.raises(StoreUnavailableError):
            await call


async def test_write_with_refused_connection_raises_unavailable(clock):
    store = EtcdStore("http://127.0.0.1:1", clock)
    with pytest.raises(StoreUnavailableError):
        await store.write([CHANGE])
    await store.close()


async def test_lease_expiry_counts_from_before_the_call(client, gateway, clock):
    sent_s = clock.now()
    gateway.delay_s = 3.0
    gateway.body = b'{"ID":"7","TTL":"10"}'
    lease = await client.grant_lease(9.5)
    assert lease == Lease(7, 9.5, sent_s + 9.5)
    gateway.body = b'{"result":{"ID":"7","TTL":"4"}}'
    renewed = await client.renew_lease(lease)
    assert renewed.expires_s == sent_s + 3.0 + 4.0


async def test_renewal_of_an_expired_lease_raises_lease_lost(client, gateway):
    gateway.body = b'{"result":{"ID":"7"}}'
    with pytest.raises(LeaseLostError):
        await client.renew_lease(Lease(7, 10.0, 0.0))


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (200, b"", StoreUnavailableError),
        (200, b"[]\n", StoreUnavailableError),
        (200, b'{"result":{"canceled":true}}\n', StoreUnavailableError),
        (200, b'{"result":{"compact_revision":"9"}}\n', WatchCompactedError),
        (503, b"", StoreUnavailableError),
    ],
)
async def test_watch_raises_the_error_that_ended_the_watch(
    client, gateway, status, body, error
):
    gateway.status, gateway.body = status, body
    with pytest.raises(StoreError) as raised:
        await anext(client.watch("a", 0))
    assert type(raised.value) is error
