"""Parsers and writers: bytes in, plain values out and back. Nothing here does I/O or knows a decision."""
