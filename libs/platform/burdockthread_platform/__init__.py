"""The speech of the users' platform: names, formats and calls."""
