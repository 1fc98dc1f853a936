"""The caller's path: admission, endpoint choice, retries, verdicts."""
