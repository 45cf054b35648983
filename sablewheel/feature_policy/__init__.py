"""Feature policies: the features that each flow requires or prefers, active fleet-wide from one epoch on."""
