"""Templates and the operators' API."""
