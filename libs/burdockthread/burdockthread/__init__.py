"""Command line, wiring and the single-file executable."""

__version__ = "0.1.0"
