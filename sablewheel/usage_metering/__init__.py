"""Usage metering: entries for final outcomes, exported exactly once, in periods that close."""
