"""Usage metering: an entry for each final outcome, exported exactly once, posted in billing periods."""
