"""A routing policy, translated to what each hardware class of the fleet can run."""
