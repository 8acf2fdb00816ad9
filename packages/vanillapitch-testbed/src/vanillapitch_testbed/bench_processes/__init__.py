"""Processes that the benchmark starts; apart from it, so that they import little."""
