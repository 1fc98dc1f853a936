"""Jobs of many tasks: acceptance, placement on workers, recovery."""
