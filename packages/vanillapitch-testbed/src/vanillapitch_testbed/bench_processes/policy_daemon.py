"""The daemon with a baseline in place of its picking policy.

The shipped daemon has no setting for the policy. The admission at the owner, retries
and health stay as they are, so that a run compares the choice of the endpoint alone.
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
    """Let daemons that this process builds pick by `policy`."""

    class PolicyPicker(Picker):
        def __init__(self, **arguments):
            super().__init__(policy=policy, **arguments)

    assembly.Picker = PolicyPicker


if __name__ == "__main__":
    replace_policy(POLICIES_BY_NAME[sys.argv[1]])
    sys.exit(main(sys.argv[2:]))
