"""The `sablewheel` command: one file a group of sub-commands, thin: parse, call, print."""
