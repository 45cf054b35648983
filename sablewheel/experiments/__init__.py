"""Measured experiments: real processes on loopback, the failures they are for, and a result."""
