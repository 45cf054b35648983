"""The program round the decisions: configuration, log, counters and phases."""
