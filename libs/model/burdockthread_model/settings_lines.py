"""Settings files with one ``name=value`` a line."""

from burdockthread_model.addresses import MAX_PORT, Address
from burdockthread_model.errors import SettingsError


class Fields:
    """The fields of a settings file by name, as text.

    Raises:
        SettingsError: A line has no equals sign.
    """

    def __init__(self, content: str) -> None:
        self.values: dict[str, str] = {}
        for number, line in enumerate(content.splitlines(), start=1):
            if not line.strip():
                continue
            name, separator, value = line.partition("=")
            if not separator:
                raise SettingsError(f"line {number}", "expected name=value")
            self.values[name.strip()] = value.strip()

    def text(self, name: str) -> str:
        """Returns a field that must be present and not empty."""
        value = self.values.get(name, "")
        if not value:
            raise SettingsError(name, "missing")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Returns a finite number of at least 0; the default if the field is empty."""
        if default is not None and not self.values.get(name):
            return default
        try:
            value = float(self.text(name))
        except ValueError as error:
            raise SettingsError(name, "expected a number") from error
        if not 0 <= value < float("inf"):
            raise SettingsError(name, "out of range")
        return value

    def address(self, name: str) -> Address:
        """Returns an address that must be present."""
        host, separator, port = self.text(name).rpartition(":")
        if not separator or not host or not port.isdecimal():
            raise SettingsError(name, "expected IP and port")
        if not 0 < int(port) <= MAX_PORT:
            raise SettingsError(name, "port out of range")
        return Address(host, int(port))

    def optional_address(self, name: str) -> Address | None:
        """Returns an address, or None if the field is absent or empty."""
        return self.address(name) if self.values.get(name) else None

    def first_port(self, name: str) -> int:
        """Returns the first port of a range."""
        first, _, _ = self.text(name).partition(",")
        if not first.isdecimal() or not 0 < int(first) <= MAX_PORT:
            raise SettingsError(name, "expected two ports")
        return int(first)

    def flag(self, name: str) -> bool:
        """Returns a Boolean; False if the field is absent or empty."""
        value = self.values.get(name) or "false"
        if value not in ("true", "false"):
            raise SettingsError(name, "expected true or false")
        return value == "true"
