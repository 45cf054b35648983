"""The bench adapter: the decision module on the simulator's wire."""
