"""Renders answers of an entry as text: fields, lists and tables."""

import io
from collections.abc import Iterator, Mapping, Sequence
from datetime import UTC, datetime
from typing import TypeGuard

from rich.console import Console
from rich.table import Table

EMPTY_CELL = "-"
INDENT = "  "
WIDTH_COLUMNS = 1000
MAX_FIELDS_PER_LINE = 4
FIRST_UNIX_TIME_S = 1_000_000_000


def render_text(answer: object) -> str:
    """Renders an answer.

    Args:
        answer: Decoded JSON.

    Returns:
        Lines without trailing spaces: a line for each plain field of an object,
        and a table for each list of objects. Unix times are shown as UTC.
    """
    return "\n".join(line.rstrip() for line in lines_of(answer))


def lines_of(answer: object) -> Iterator[str]:
    """Yields the lines of an answer."""
    if isinstance(answer, Mapping):
        for name, value in answer.items():
            yield from field_lines(str(name), value)
    elif is_table(answer):
        yield from table_lines(answer)
    else:
        yield cell("", answer)


def field_lines(name: str, value: object) -> Iterator[str]:
    """Yields the lines of one field of an object."""
    if not is_nested(value):
        yield f"{printable(name)}: {cell(name, value)}"
        return
    yield f"{printable(name)}:"
    for line in lines_of(value):
        yield INDENT + line


def is_nested(value: object) -> bool:
    """Returns whether a value is rendered on lines of its own."""
    if isinstance(value, Mapping):
        values = value.values()
        nested = any(isinstance(item, Mapping | list) for item in values)
        return nested or len(values) > MAX_FIELDS_PER_LINE
    return is_table(value)


def is_table(value: object) -> TypeGuard[list[Mapping[str, object]]]:
    """Returns whether a value is a list of objects, which is rendered as a table."""
    if not isinstance(value, list) or not value:
        return False
    return all(isinstance(item, Mapping) for item in value)


def table_lines(rows: Sequence[Mapping[str, object]]) -> Iterator[str]:
    """Yields a table of objects with one column for each field."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(box=None, pad_edge=False)
    for name in columns:
        table.add_column(name, no_wrap=True)
    for row in rows:
        table.add_row(*(cell(name, row.get(name)) for name in columns))
    output = io.StringIO()
    console = Console(
        file=output, width=WIDTH_COLUMNS, markup=False, emoji=False, highlight=False
    )
    console.print(table)
    yield from output.getvalue().splitlines()


def cell(name: str, value: object) -> str:
    """Returns a value as text on one line."""
    if value is None or value in ("", [], {}):
        return EMPTY_CELL
    if isinstance(value, Mapping):
        return ", ".join(f"{key} {cell(key, item)}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(cell("", item) for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float | int) and name.endswith("_s"):
        return seconds(value)
    return printable(str(value))


def printable(text: str) -> str:
    """Returns the text on one line, control characters replaced by spaces."""
    shown = "".join(item if item.isprintable() else " " for item in text)
    return " ".join(shown.split())


def seconds(value: float) -> str:
    """Formats a Unix time as UTC, and a duration as a number of seconds."""
    if value < FIRST_UNIX_TIME_S:
        return f"{value:g}"
    return datetime.fromtimestamp(value, UTC).strftime("%Y-%m-%d %H:%M:%S")
