"""Client and decoders of the users' platform: field names, formats, HTTP calls."""
