"""Feature policies: what each traffic class requires or prefers, in force on the whole fleet at one epoch."""
