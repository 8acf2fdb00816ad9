"""Processes of the benchmark.

They are separate from the ``bench`` package so that they start with few imports.
"""
