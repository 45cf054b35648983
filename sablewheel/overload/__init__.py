"""Overload control: decides which requests run, wait or are rejected. Does no I/O and reads no clock."""
