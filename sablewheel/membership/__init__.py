"""Membership of the app servers: an agreed list of the running servers (docs/membership-design.md)."""
