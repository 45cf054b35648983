"""The schema of the features file, one module per section; each section makes its feature's plan."""
