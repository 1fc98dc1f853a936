"""Typed data, errors, clock, checked settings, logs and metrics."""
