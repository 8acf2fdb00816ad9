"""Load generator that sends reads, keyed reservations and uploads."""

from vanillapitch_testbed.callers._call import Call, send
from vanillapitch_testbed.callers._load import Load, LoadOptions
from vanillapitch_testbed.callers._summary import percentile_ms, summarize

__all__ = ["Call", "Load", "LoadOptions", "percentile_ms", "send", "summarize"]
