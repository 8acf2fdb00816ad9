"""Stateful test of membership under random faults, leaves and replacements.

The faults are pauses, message loss, partitions and crashes.
"""

import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from vanillapitch_core.membership import (
    MAX_MESSAGE_BYTES,
    Announce,
    MembershipSettings,
    MemberState,
    RevisionAdopted,
)
from vanillapitch_testbed.membership_loop import MembershipLoop

COUNT = 6
ADDRESSES = tuple(f"10.0.0.{index}:7001" for index in range(COUNT))
# 15 KB/s of control traffic, sent and received together.
BUDGET_BYTES_PER_S = 15_000
SETTLE_MS = 90_000
SETTINGS = MembershipSettings()

addresses = st.sampled_from(ADDRESSES)


class MembershipMachine(RuleBasedStateMachine):
    """A few daemons under faults; at the end everything heals and must converge."""

    @initialize(seed=st.integers(0, 2**16))
    def start_all(self, seed):
        self.loop = MembershipLoop(seed=seed)
        self.left = set()
        self.revision = 0
        self.incarnation = 1_700_000_000_000
        self.orders = {}
        self.seen_changes = 0
        for address in ADDRESSES:
            self.start_one(address)
        self.loop.run(5_000)

    def start_one(self, address):
        self.incarnation += 1
        self.loop.start(address, incarnation=self.incarnation, seeds=ADDRESSES)
        self.orders = {
            key: value for key, value in self.orders.items() if key[0] != address
        }

    @rule(duration_ms=st.sampled_from([200, 1_000, 5_000, 20_000]))
    def run(self, duration_ms):
        self.loop.reset_counts()
        self.loop.run(duration_ms)
        burst = 2 * (SETTINGS.gossip_burst_bytes + SETTINGS.sync_burst_bytes)
        limit = burst + BUDGET_BYTES_PER_S * duration_ms / 1_000
        for address in self.loop.states_by_address:
            sent = self.loop.sent_bytes_by_address[address]
            assert sent + self.loop.received_bytes_by_address[address] <= limit

    @rule(address=addresses)
    def pause(self, address):
        if address in self.loop.states_by_address:
            self.loop.paused.add(address)

    @rule(address=addresses)
    def resume(self, address):
        if address in self.loop.paused:
            self.loop.resume(address)

    @rule(address=addresses)
    def crash(self, address):
        if address in self.loop.states_by_address:
            self.loop.kill(address)
            self.loop.paused.discard(address)

    @rule(address=addresses)
    def replace(self, address):
        if address not in self.loop.states_by_address:
            self.start_one(address)

    @rule(address=addresses)
    def leave(self, address):
        if address not in self.loop.states_by_address or address in self.loop.paused:
            return
        now_ms = self.loop.now_ms
        self.left.add(self.loop.states_by_address[address].own.instance)
        for state in (MemberState.LEAVING, MemberState.LEFT):
            self.loop.apply(address, Announce(now_ms=now_ms, state=state))
        self.loop.kill(address)

    @rule(address=addresses)
    def adopt(self, address):
        if address in self.loop.states_by_address and address not in self.loop.paused:
            self.revision += 1
            adopted = RevisionAdopted(now_ms=self.loop.now_ms, revision=self.revision)
            self.loop.apply(address, adopted)

    @rule(size=st.integers(1, COUNT - 1))
    def part(self, size):
        inside = set(ADDRESSES[:size])
        self.loop.is_blocked = lambda source, target: (
            (source in inside) != (target in inside)
        )

    @rule()
    def heal(self):
        self.loop.is_blocked = lambda source, target: False

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def lose(self, loss):
        self.loop.loss = loss

    @invariant()
    def records_only_advance(self):
        loop = getattr(self, "loop", None)
        if loop is None:
            return
        assert loop.largest_message_bytes <= MAX_MESSAGE_BYTES
        for _, observer, record in loop.changes[self.seen_changes :]:
            key = (observer, record.address)
            assert record.order >= self.orders.get(key, (0, 0, 0))
            self.orders[key] = record.order
            if record.state is MemberState.LEFT:
                assert record.instance in self.left
        self.seen_changes = len(loop.changes)

    def teardown(self):
        loop = getattr(self, "loop", None)
        if loop is None:
            return
        self.heal()
        loop.loss = 0.0
        for address in list(loop.paused):
            loop.resume(address)
        loop.run(SETTLE_MS)
        running = loop.states_by_address
        for observer, state in running.items():
            # A single remaining daemon cannot distinguish this from a partition.
            assert not state.is_degraded or len(running) == 1
            for address in running:
                if address != observer:
                    assert loop.view(observer, address) is MemberState.ALIVE
            if len(running) > 1:
                assert state.revision == max(s.revision for s in running.values())
        if len(running) > 1:
            self.check_ended_members(running)

    def check_ended_members(self, running):
        for observer in running:
            for address in set(ADDRESSES) - set(running):
                view = self.loop.view(observer, address)
                assert view in (None, MemberState.DEAD, MemberState.LEFT)


MembershipMachine.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
# Guards against records that revert to a lower version, members that are not alive at
# all others 90 s after the last fault (dead, or still suspect), daemons that stay
# degraded, members recorded as left that did not leave, and traffic above 15 KB/s.
# These come about when faults of several kinds follow one another or overlap.
TestMembership = MembershipMachine.TestCase
