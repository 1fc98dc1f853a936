"""Request routing: admission, endpoint choice, retries and verdicts."""
