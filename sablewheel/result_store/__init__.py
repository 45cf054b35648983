"""Results of keyed runs that persist over restarts: a retry gets the original answer and never runs again."""
