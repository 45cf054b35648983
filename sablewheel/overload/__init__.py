"""Overload control: which requests run, wait or are rejected. Free of I/O; the clock is handed in."""
