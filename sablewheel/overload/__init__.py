"""Decisions about what is let in and what becomes of it: pure, with clock and chance handed in."""
