"""Parsers and encoders of the wire formats. Nothing here does I/O or takes a decision."""
