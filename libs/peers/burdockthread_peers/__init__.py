"""Authenticated msgpack streams between entries."""
