"""Failover between zones and regions: one traffic plan for the fleet that prefers nearby zones."""
