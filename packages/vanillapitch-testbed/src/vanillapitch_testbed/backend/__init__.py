"""Fake backend server with slots, a cold start, faults and a journal.

It runs as a process of its own: ``python -m vanillapitch_testbed.backend``.
"""

from vanillapitch_testbed.backend._journal import JournalEntry, read_journal_file
from vanillapitch_testbed.backend._options import BackendOptions, Scenario

__all__ = ["BackendOptions", "JournalEntry", "Scenario", "read_journal_file"]
