"""Simulated backend server with slots, a cold start, faults and a journal.

It runs in a separate process: ``python -m vanillapitch_testbed.backend``.
"""

from vanillapitch_testbed.backend._journal import JournalEntry, read_journal_file
from vanillapitch_testbed.backend._options import BackendOptions, Scenario

__all__ = ["BackendOptions", "JournalEntry", "Scenario", "read_journal_file"]
