"""The bench adapter: connects the overload controller to the simulator's line protocol."""
