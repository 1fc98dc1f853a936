"""Runs the stand-ins as processes of their own."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import web
from burdockthread_model.clock import SystemClock
from burdockthread_model.vm import VmListing, VmStatus

from burdockthread_standins.platform_store import MAX_REQUEST_BYTES, PlatformStore
from burdockthread_standins.platform_vms import PlatformVms
from burdockthread_standins.vm_host import VmHost
from burdockthread_standins.workers import PlatformWorkers, StandinWorkers

VMS_PER_RACK = 4


@asynccontextmanager
async def listening(app: web.Application, host: str, port: int) -> AsyncIterator[int]:
    """Serves an application within the block.

    Yields:
        The TCP port, chosen by the kernel if `port` is 0.
    """
    runner = web.AppRunner(app, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


@asynccontextmanager
async def platform(host: str, port: int) -> AsyncIterator[int]:
    """Runs the stand-in platform within the block and yields its port."""
    app = web.Application(client_max_size=MAX_REQUEST_BYTES)
    async with aiohttp.ClientSession() as session:
        vms = PlatformVms(session)
        PlatformStore(SystemClock()).add_routes(app)
        vms.add_routes(app)
        PlatformWorkers(vms).add_routes(app)
        poll = asyncio.create_task(vms.run())
        try:
            async with listening(app, host, port) as chosen:
                yield chosen
        finally:
            poll.cancel()


@asynccontextmanager
async def site(
    name: str, zones: tuple[str, ...], vms: int, host: str, platform_url: str
) -> AsyncIterator[VmHost]:
    """Runs the stand-in VMs of a site within the block.

    Args:
        name: Name of the site; names of VMs start with it.
        zones: Availability zones to spread the VMs over.
        vms: How many VMs.
        host: IP address to listen on.
        platform_url: Stand-in platform to register at.

    Yields:
        The running VMs.
    """
    vm_host = VmHost()
    for number in range(vms):
        await vm_host.add(new_listing(name, zones, number, host))
    app = vm_host.application()
    StandinWorkers(vm_host, SystemClock()).add_routes(app)
    try:
        async with listening(app, host, 0) as port:
            await register(platform_url, f"http://{host}:{port}")
            yield vm_host
    finally:
        await vm_host.stop()


def new_listing(name: str, zones: tuple[str, ...], number: int, host: str) -> VmListing:
    """Returns the listing of one stand-in VM."""
    zone = zones[number % len(zones)]
    rack = f"{zone}-rack-{number // len(zones) // VMS_PER_RACK}"
    return VmListing(
        name=f"{name}-{number:03d}",
        host=host,
        port=0,
        availability_zone=zone,
        region=name,
        rack=rack,
        cores=64,
        memory_gb=128,
        accelerators=0,
        status=VmStatus.LIVE,
        boot_id="",
    )


async def register(platform_url: str, host_url: str) -> None:
    """Tells the stand-in platform about a process that runs VMs."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{platform_url}/hosts", json={"url": host_url}) as answer,
    ):
        answer.raise_for_status()
