"""Results of keyed runs that outlive a restart: a retry gets the original answer and never runs again."""
