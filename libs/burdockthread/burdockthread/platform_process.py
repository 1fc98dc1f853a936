"""Main program of an entry on the users' platform: settings, signals, event loop."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import NamedTuple

import aiohttp
import uvloop
from burdockthread_http.connections import TrackedConnector
from burdockthread_http.http_calls import ClientSessions
from burdockthread_model.errors import SettingsError
from burdockthread_platform.settings import SETTINGS_VARIABLE, EntrySettings
from burdockthread_scheduling.entry_lease import MAX_ATTEMPTS

from burdockthread.platform_entry import PlatformEntry

EXIT_SETTINGS = 2
DEFAULT_METRICS_PORT = 9464
CONNECTIONS_PER_HOST = 16
NO_LIMIT = 0
KEEPALIVE_S = 60.0
# The settings file may change without a signal.
RELOAD_INTERVAL_S = 1.0


class FileVersion(NamedTuple):
    """What tells that a file has changed.

    Attributes:
        modified_ns: Unix time of the last change in nanoseconds.
        size: Size in bytes.
    """

    modified_ns: int
    size: int

    @classmethod
    def from_path(cls, path: Path) -> "FileVersion":
        """Returns the version of a file; zeros if it is unreadable."""
        try:
            found = path.stat()
        except OSError:
            return cls(0, 0)
        return cls(found.st_mtime_ns, found.st_size)


class SettingsFollower:
    """Reloads the settings on a signal, or when the file has changed.

    Attributes:
        reload_requested: Set by SIGHUP.
        loaded_version: Version of the file from before it was last read.
    """

    def __init__(
        self, path: Path, loaded_version: FileVersion, entry: PlatformEntry
    ) -> None:
        self.path = path
        self.entry = entry
        self.reload_requested = asyncio.Event()
        self.loaded_version = loaded_version

    async def run(self) -> None:
        """Checks for a changed file or a signal until cancelled."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(RELOAD_INTERVAL_S):
                    await self.reload_requested.wait()
            version = FileVersion.from_path(self.path)
            if self.reload_requested.is_set() or version != self.loaded_version:
                self.reload_requested.clear()
                self.loaded_version = version
                self.reload()

    def reload(self) -> None:
        """Reads and applies the settings; invalid ones are logged and ignored."""
        try:
            settings = EntrySettings.from_path(self.path)
        except SettingsError as error:
            self.entry.log.error("settings_not_valid", reason=error)
            return
        self.entry.parts.apply(settings)


def client_session(connections_per_host: int) -> aiohttp.ClientSession:
    """Returns a session with connections that are kept open for further calls.

    Args:
        connections_per_host: Most connections to an address, or `NO_LIMIT`.
    """
    connector = TrackedConnector(
        limit_per_host=connections_per_host, keepalive_timeout=KEEPALIVE_S
    )
    return aiohttp.ClientSession(connector=connector)


@asynccontextmanager
async def client_sessions() -> AsyncIterator[ClientSessions]:
    """Yields the sessions of an entry, and closes them at the end of the block."""
    async with (
        client_session(CONNECTIONS_PER_HOST) as shared,
        client_session(MAX_ATTEMPTS) as urgent,
        client_session(NO_LIMIT) as waiting,
    ):
        yield ClientSessions(shared, urgent, waiting)


async def serve_until_stopped(
    path: Path, version: FileVersion, settings: EntrySettings, metrics_port: int
) -> None:
    """Runs an entry until SIGTERM or SIGINT.

    Args:
        path: Path of the settings file.
        version: Version of the file from before the settings were read.
        settings: The settings.
        metrics_port: TCP port of the metrics.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with client_sessions() as sessions:
        entry = PlatformEntry(settings, metrics_port, sessions)
        follower = SettingsFollower(path, version, entry)
        loop.add_signal_handler(signal.SIGHUP, follower.reload_requested.set)
        async with entry.running():
            following = asyncio.create_task(follower.run())
            await stop.wait()
            following.cancel()


def main() -> int:
    """Runs an entry; returns the exit status.

    The path of the settings file comes from the environment, the port of the
    metrics from the first argument.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    metrics_port = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_METRICS_PORT
    version = FileVersion.from_path(path)
    try:
        settings = EntrySettings.from_path(path)
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    uvloop.run(serve_until_stopped(path, version, settings, metrics_port))
    return 0


if __name__ == "__main__":
    sys.exit(main())
