"""Daemon with a baseline in place of its picking policy.

The shipped daemon has no setting for the policy. Admission at the owner, retries and
health checks are unchanged, so that the benchmark compares only the choice of the
endpoint.
"""

import sys

from vanillapitch_core.picking import (
    PickPolicy,
    choose_least_in_flight,
    choose_random,
    choose_round_robin,
)
from vanillapitch_daemon import assembly
from vanillapitch_daemon.main import main
from vanillapitch_daemon.picker import Picker

__all__ = ["POLICIES_BY_NAME", "replace_policy"]

POLICIES_BY_NAME = {
    "random": choose_random,
    "round-robin": choose_round_robin,
    "least-in-flight": choose_least_in_flight,
}


def replace_policy(policy: PickPolicy) -> None:
    """Make daemons built in this process choose endpoints with the given policy."""

    class PolicyPicker(Picker):
        def __init__(self, **arguments):
            super().__init__(policy=policy, **arguments)

    assembly.Picker = PolicyPicker


if __name__ == "__main__":
    replace_policy(POLICIES_BY_NAME[sys.argv[1]])
    sys.exit(main(sys.argv[2:]))
