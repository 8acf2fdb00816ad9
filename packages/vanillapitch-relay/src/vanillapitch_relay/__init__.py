"""Data path of vanillapitch on one event loop."""
