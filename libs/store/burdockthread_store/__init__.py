"""Clients, caches and test doubles of the platform's key-value service."""
