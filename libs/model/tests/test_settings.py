import json

import pytest
from burdockthread_model.errors import SettingsError
from burdockthread_model.settings import load_settings, parse_settings


def test_examples_are_valid(entry_settings_text):
    parsed = parse_settings(json.dumps(entry_settings_text).encode())
    assert parsed["name"] == entry_settings_text["name"]


def test_missing_file_names_the_path():
    with pytest.raises(SettingsError, match="cannot read no-such-file"):
        load_settings("no-such-file")


@pytest.mark.parametrize(
    ("keys", "value", "path"),
    [
        (("callers", "prot"), 1, "$.callers.prot"),
        (("callers", "port"), "80", "$.callers.port"),
        (("callers", "port"), 65536, "$.callers.port"),
        (("entries", 0, "colour"), "red", "$.entries[0].colour"),
        (("entries", 0, "name"), "other", "$.entries"),
        (("limits", "body_bytes"), 0, "$.limits.body_bytes"),
        (("limits", "memory_mb"), 33, "$.limits.memory_mb"),
        (("limits", "header_bytes"), 20_000_000, "$.limits.memory_mb"),
        (("operator_tokens", 0, "rights"), ["rule"], "$.operator_tokens[0].rights"),
        (("log_level",), "loud", "$.log_level"),
    ],
)
def test_errors_name_the_json_path(entry_settings_text, keys, value, path):
    target = entry_settings_text
    for key in keys[:-1]:
        target = target[key]
    target[keys[-1]] = value
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(entry_settings_text).encode())
    assert caught.value.path == path


def test_text_that_is_not_json_is_refused():
    with pytest.raises(SettingsError, match="not JSON"):
        parse_settings(b"{")
