"""Intended state, VM assignment, maintenance waves, job placement."""
