"""Settings that change while an entry runs, or while it starts."""

import asyncio

import pytest
from burdockthread.platform_process import FileVersion, SettingsFollower


@pytest.fixture
def settings_path(tmp_path):
    path = tmp_path / "settings"
    path.write_text("a=1\n")
    return path


class CountingFollower(SettingsFollower):
    """Follower that counts its reloads instead of applying the settings."""

    reloads = 0

    def reload(self):
        self.reloads += 1


async def reloads(path, version, monkeypatch):
    """Follows a file for some intervals; returns the number of reloads."""
    monkeypatch.setattr("burdockthread.platform_process.RELOAD_INTERVAL_S", 0.01)
    follower = CountingFollower(path, version, None)
    following = asyncio.create_task(follower.run())
    await asyncio.sleep(0.2)
    following.cancel()
    return follower.reloads


async def test_settings_changed_while_the_entry_starts_are_loaded(
    settings_path, monkeypatch
):
    """A change between the first read and the start of the follower went unnoticed."""
    version = FileVersion.from_path(settings_path)
    settings_path.write_text("a=1\nb=2\n")
    assert await reloads(settings_path, version, monkeypatch) == 1


async def test_unchanged_settings_are_not_loaded_again(settings_path, monkeypatch):
    version = FileVersion.from_path(settings_path)
    assert await reloads(settings_path, version, monkeypatch) == 0
