"""The schema of the features file, one module a section; each section makes its feature's plan."""
