"""The process of an entry on the users' platform: settings, signals, event loop."""

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path

import aiohttp
import uvloop
from burdockthread_model.errors import SettingsError
from burdockthread_platform.settings import SETTINGS_VARIABLE, EntrySettings

from burdockthread.platform_entry import PlatformEntry

EXIT_SETTINGS = 2
DEFAULT_METRICS_PORT = 9464
CONNECTIONS_PER_HOST = 16
KEEPALIVE_S = 60.0
# The settings file may change without a signal.
RELOAD_INTERVAL_S = 1.0


class SettingsFollower:
    """Reads the settings again on a signal, or when the file has changed.

    Attributes:
        hangup: Set by SIGHUP.
    """

    def __init__(self, path: Path, entry: PlatformEntry) -> None:
        self.path = path
        self.entry = entry
        self.hangup = asyncio.Event()
        self.seen = self.stamp()

    def stamp(self) -> tuple[int, int]:
        """Returns what tells one content of the file from another."""
        try:
            found = self.path.stat()
        except OSError:
            return 0, 0
        return found.st_mtime_ns, found.st_size

    async def run(self) -> None:
        """Follows the file until cancelled."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(RELOAD_INTERVAL_S):
                    await self.hangup.wait()
            stamp = self.stamp()
            if self.hangup.is_set() or stamp != self.seen:
                self.hangup.clear()
                self.seen = stamp
                self.reload()

    def reload(self) -> None:
        """Reads the settings; what cannot be used changes nothing."""
        try:
            settings = EntrySettings.from_path(self.path)
        except SettingsError as error:
            self.entry.log.error("settings_not_valid", reason=error)
            return
        self.entry.apply(settings)


async def serve_until_stopped(
    path: Path, settings: EntrySettings, metrics_port: int
) -> None:
    """Runs an entry until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=CONNECTIONS_PER_HOST, keepalive_timeout=KEEPALIVE_S
    )
    async with aiohttp.ClientSession(connector=connector) as session:
        entry = PlatformEntry(settings, metrics_port, session)
        follower = SettingsFollower(path, entry)
        loop.add_signal_handler(signal.SIGHUP, follower.hangup.set)
        async with entry.running():
            following = asyncio.create_task(follower.run())
            await stop.wait()
            following.cancel()


def main() -> int:
    """Runs an entry with the settings that the environment names."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    metrics_port = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_METRICS_PORT
    try:
        settings = EntrySettings.from_path(path)
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    uvloop.run(serve_until_stopped(path, settings, metrics_port))
    return 0


if __name__ == "__main__":
    sys.exit(main())
