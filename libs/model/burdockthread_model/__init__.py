"""Shared types: records, errors, clock, settings, logs, metrics."""
