"""Keys of callers: authentication, versions of the configuration, and secrecy."""

import json
import traceback

import aiohttp
import msgspec
import pytest
from burdockthread_http.http_server import ListeningPort, serve
from burdockthread_model.addresses import Address
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.histograms import HistogramMetrics
from burdockthread_platform.configuration import parse_configuration
from burdockthread_platform.jobs_http import JobsPort
from burdockthread_scheduling.desk import JobDesk, NotReadyError, UnknownKeyError
from burdockthread_scheduling.job_index import ShownState
from burdockthread_scheduling.organisations import Organisations, key_digest
from burdockthread_scheduling.request_relay import CallerRequest
from ephemeral_port_reserve import reserve

HOST = "127.0.0.1"
FIRST_KEY = "x6pwawxdmdejk7f92bqu"
SECOND_KEY = "pqk8bdk9eevyxq2yyaza"
UNKNOWN_KEY = "k3y9never8configured"
JOB_PATH = f"/closed/{'a' * 16}"
JOB = {"specification": "text", "steps": [{"count": 1}]}


def configuration(version, *keys, **fields):
    """A configuration with a public queue and one that needs a key."""
    routes = [
        {"name": name, "host": "a.example", "prefix": f"/{name}/", "service": "pool-a"}
        for name in ("open", "closed")
    ]
    routes[0]["public"] = True
    tenant = {
        "name": "org-1",
        "apiKeys": list(keys),
        "weight": 3,
        "maxCount": {"cpu": 4000, "memMb": 0, "gpu": 0},
    }
    body = {"version": version, "routes": routes, "tenants": [tenant], **fields}
    return parse_configuration(json.dumps(body).encode())


class FixedView:
    """A configuration of a given age."""

    def __init__(self, current):
        self.current = current
        self.seconds = 0.0

    async def fresh(self):
        return self.current

    def is_outdated(self):
        return False

    def is_stale(self):
        return self.seconds > 1.2

    def age_s(self):
        return self.seconds

    def doubt(self):
        pass


class AcceptingDesk(JobDesk):
    """A desk that accepts every job of a known caller, and keeps it."""

    accepted = ()

    async def submit(self, queue, job, wait_s, *, is_open=False):
        self.accepted = (*self.accepted, job)

    async def state(self, job_id, wait_s):
        return ShownState.QUEUED

    async def cancel(self, job_id, wait_s):
        return


@pytest.fixture
def view():
    return FixedView(configuration(1, FIRST_KEY))


@pytest.fixture
def metrics():
    return HistogramMetrics()


@pytest.fixture
def desk(view, metrics):
    return AcceptingDesk(
        view, None, None, SystemClock(), metrics, EventLog("test"), None, 5.0
    )


@pytest.fixture
async def call(desk):
    """Sends a request on one connection that stays open; returns status and text."""
    address = Address(HOST, reserve(HOST))
    server = JobsPort(desk, SystemClock()).server
    async with (
        serve([ListeningPort(server, *address)], 0.3),
        aiohttp.ClientSession(f"http://{address}") as session,
    ):

        async def send(method, path, key=None, body=None):
            headers = {"Host": "a.example"} | ({"Api-Key": key} if key else {})
            async with session.request(
                method, path, headers=headers, json=body
            ) as found:
                return found.status, await found.text()

        yield send


# Guards against a queue that serves callers whose key no configuration has held.
@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
async def test_unknown_and_missing_keys_are_refused(call, desk, method):
    body = JOB if method == "POST" else None
    for key in (UNKNOWN_KEY, None, "", FIRST_KEY + " x", "\udcff"):
        status, text = await call(method, JOB_PATH, key, body)
        assert (status, json.loads(text)["verdict"]) == (401, "not_run")
    assert (await call("GET", "/closed/"))[0] == 401
    assert desk.accepted == ()


async def test_caller_with_a_key_is_served_as_its_organisation(call, desk):
    assert (await call("POST", JOB_PATH, FIRST_KEY, JOB))[0] == 200
    assert (await call("GET", JOB_PATH, FIRST_KEY))[0] == 200
    assert [job.organisation for job in desk.accepted] == ["org-1"]


async def test_public_queue_needs_no_key(call, desk):
    path = JOB_PATH.replace("closed", "open")
    assert (await call("POST", path, None, JOB))[0] == 200
    assert (await call("POST", path, UNKNOWN_KEY, JOB))[0] == 200
    assert [job.organisation for job in desk.accepted] == ["", ""]


# Guards against a connection that goes on with a key that was removed meanwhile.
async def test_removed_key_is_refused_on_an_open_connection(call, view):
    assert (await call("GET", JOB_PATH, FIRST_KEY))[0] == 200
    view.current = configuration(2, SECOND_KEY)
    assert (await call("GET", JOB_PATH, FIRST_KEY))[0] == 401
    assert (await call("GET", JOB_PATH, SECOND_KEY))[0] == 200


# Guards against 401 for a key that a configuration not read yet has added.
async def test_unknown_key_is_not_refused_by_a_copy_that_may_be_old(desk, view):
    view.seconds = 2.0
    with pytest.raises(NotReadyError):
        await desk.identify("a.example", JOB_PATH, key_digest(UNKNOWN_KEY))
    assert (await desk.identify("a.example", JOB_PATH, key_digest(FIRST_KEY)))[1]


# Guards against a removed key in use at an entry that cannot learn of the removal.
async def test_no_key_is_trusted_beyond_the_strict_bound(desk, view):
    view.seconds = 5.1
    with pytest.raises(NotReadyError):
        await desk.identify("a.example", JOB_PATH, key_digest(FIRST_KEY))
    desk.max_key_age_s = float("inf")
    assert (await desk.identify("a.example", JOB_PATH, key_digest(FIRST_KEY)))[1]


# Guards against a forwarded request that is answered without its key.
async def test_forwarded_request_carries_the_digest_of_its_key(desk):
    digest = key_digest(FIRST_KEY)
    request = CallerRequest("GET", "a.example", JOB_PATH, b"", 3.0, 4, digest)
    data = msgspec.msgpack.encode(request.message())
    received = msgspec.msgpack.decode(data, type=CallerRequest)
    assert received == request
    port = JobsPort(desk, SystemClock())
    assert (await port.handle(received)).status == 200
    assert (await port.handle(received._replace(key=b""))).status == 401


# Guards against another wire format between entries where there are no keys.
def test_forwarded_request_without_a_key_is_encoded_as_before():
    request = CallerRequest("GET", "a.example", JOB_PATH, b"", 3.0, 4)
    fields = ["GET", "a.example", JOB_PATH, b"", 3.0, 4]
    assert msgspec.msgpack.encode(request.message()) == msgspec.msgpack.encode(fields)


# Guards against keys needed where a configuration has no organisations, and served
# without keys where all organisations have been removed.
def test_queues_are_closed_only_in_a_configuration_with_organisations():
    route = {"name": "q", "host": "a", "prefix": "/", "service": "p", "public": False}

    def parse(**fields):
        body = {"version": 1, "routes": [route], **fields}
        return parse_configuration(json.dumps(body).encode())

    assert parse().queues["q"].public
    assert not parse(tenants=[]).queues["q"].public


def test_quota_of_zero_is_no_limit(view):
    quota = view.current.organisations.quota("org-1")
    assert quota.cpu_milli == 4000
    assert quota._replace(cpu_milli=quota.memory_mb) == type(quota)()
    assert view.current.organisations.weight("org-1") == 3


# Guards against a key in a log line, a metric, an answer, a dump or a trace.
async def test_key_is_shown_nowhere(call, desk, metrics, caplog, capfd):
    caplog.set_level("DEBUG")
    shown = []
    for key in (FIRST_KEY, UNKNOWN_KEY):
        shown += [str(await call("POST", JOB_PATH, key, JOB))]
    desk.index = None
    desk.waiting = None
    shown += [str(await call("GET", "/closed/", FIRST_KEY))]
    try:
        await desk.identify("a.example", JOB_PATH, key_digest(UNKNOWN_KEY))
    except UnknownKeyError as error:
        shown += ["".join(traceback.format_exception(error)), repr(vars(error))]
    assert "request_failed" in caplog.text
    shown += [caplog.text, metrics.text(), repr(desk.accepted), *capfd.readouterr()]
    shown += [repr(desk.configuration.current)]
    shown += [repr(desk.configuration.current.organisations.by_key)]
    text = "\n".join(shown)
    assert FIRST_KEY not in text
    assert UNKNOWN_KEY not in text


class CountedDigest(bytes):
    """A digest that counts its comparisons."""

    compared = 0

    def __eq__(self, other):
        CountedDigest.compared += 1
        return bytes(self) == bytes(other)

    __hash__ = bytes.__hash__


# Guards against a look-up that grows with the number of keys, or that compares keys.
@pytest.mark.parametrize("others", [0, 9_999])
def test_look_up_compares_one_digest_among_many_keys(others):
    keys = [FIRST_KEY, *(f"other-key-{number}" for number in range(others))]
    digests = tuple(CountedDigest(key_digest(key)) for key in keys)
    spec = configuration(1).organisations.by_name["org-1"]
    organisations = Organisations([spec._replace(key_digests=digests)])
    CountedDigest.compared = 0
    assert organisations.by_key.get(key_digest(FIRST_KEY)) is not None
    assert CountedDigest.compared <= 2
