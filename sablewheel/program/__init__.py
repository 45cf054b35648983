"""The server program around the overload controller: configuration, log, counters, phases, features."""
