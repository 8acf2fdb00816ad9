"""Simulated services, fault injection and measurements; not shipped."""
