"""Sablewheel: an overload controller inside each server of a fleet, and the app server around it."""

__version__ = "0.2.0"
