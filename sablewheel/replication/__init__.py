"""What several servers know together: keyed runs, session bindings, policies, each on some members."""
