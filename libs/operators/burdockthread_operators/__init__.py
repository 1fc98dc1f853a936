"""Changes of templates and the operators' HTTP API."""
