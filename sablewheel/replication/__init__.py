"""What several servers know together: labelled runs, session bindings, policies, each on some members."""
