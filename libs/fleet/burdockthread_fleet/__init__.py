"""VM assignment, moves between pools, maintenance waves and job placement."""
