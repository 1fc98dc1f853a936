"""Scripted scenarios against distinct processes or one process with a test clock."""
