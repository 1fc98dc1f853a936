import json

import pytest
from burdockthread.__main__ import main


def run(capsys, *arguments):
    with pytest.raises(SystemExit) as caught:
        main(list(arguments))
    return caught.value.code, capsys.readouterr()


def test_help_lists_the_commands(capsys, snapshot, monkeypatch):
    monkeypatch.setenv("COLUMNS", "80")
    code, output = run(capsys, "--help")
    assert code == 0
    assert output.out == snapshot


def test_valid_settings_are_reported_valid(capsys, site_folder):
    main(["settings", "check", str(site_folder / "entry-1.json")])
    assert "valid" in capsys.readouterr().out


def test_invalid_settings_exit_with_2_and_one_line(
    capsys, tmp_path, entry_settings_text
):
    entry_settings_text["callers"]["port"] = -1
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(entry_settings_text))
    code, output = run(capsys, "settings", "check", str(path))
    assert code == 2
    assert output.err.count("\n") == 1
    assert "$.callers.port" in output.err


def test_unavailable_entry_exits_with_1_and_one_line(capsys):
    code, output = run(capsys, "status", "--entry", "http://127.0.0.1:1")
    assert code == 1
    assert output.err.count("\n") == 1
    assert "127.0.0.1:1" in output.err


def test_error_names_the_missing_template_file(capsys):
    code, output = run(
        capsys, "template", "propose", "no-such-file", "--base-version", "0"
    )
    assert code == 1
    assert "cannot read no-such-file" in output.err
