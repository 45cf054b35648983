"""Sessions that stay with their server: keys, bindings, placing, and moves only for a named cause."""
