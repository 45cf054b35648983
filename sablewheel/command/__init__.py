"""The `sablewheel` command: one module per group of subcommands, which parse, call and print only."""
