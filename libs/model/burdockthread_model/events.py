"""Structured logs: one line of key=value pairs per event."""

from absl import logging

from burdockthread_model.clock import SystemClock

SECRET_FIELDS = frozenset({"token", "key", "secret", "body", "authorization"})
LOG_TIME_DIGITS = 3


def format_event(name: str, fields: dict[str, object]) -> str:
    """Formats an event as one line.

    Args:
        name: Name of the event.
        fields: Values by name; names in `SECRET_FIELDS` are left out.

    Returns:
        Space-separated key=value pairs; values are quoted if needed.
    """
    pairs = [f"event={quote(name)}"]
    for key, value in fields.items():
        if key in SECRET_FIELDS:
            continue
        pairs.append(f"{key}={quote(value)}")
    return " ".join(pairs)


def quote(value: object) -> str:
    """Returns a value as text, quoted and escaped unless it is a plain word."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and all(c.isalnum() or c in "-_.:/@+$" for c in text):
        return text
    escaped = text.encode("unicode_escape").decode("ascii").replace('"', '\\"')
    return f'"{escaped}"'


class EventLog:
    """Writes events through absl.logging.

    Attributes:
        node: Name of the process, written on each line.
        clock: Clock for the time stamp of each line.
    """

    def __init__(self, node: str) -> None:
        self.node = node
        self.clock = SystemClock()

    def info(self, name: str, **fields: object) -> None:
        """Logs an event of normal operation."""
        logging.info("%s", self.line(name, fields))

    def warning(self, name: str, **fields: object) -> None:
        """Logs an event that may need an operator's attention."""
        logging.warning("%s", self.line(name, fields))

    def error(self, name: str, **fields: object) -> None:
        """Logs an event that needs an operator's attention."""
        logging.error("%s", self.line(name, fields))

    def line(self, name: str, fields: dict[str, object]) -> str:
        """Returns the log line of an event, with time stamp and node name."""
        time_s = round(self.clock.wall(), LOG_TIME_DIGITS)
        return f"time={time_s:.3f} node={self.node} {format_event(name, fields)}"
