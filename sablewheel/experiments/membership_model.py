"""Bounded model check of membership's suspicions and incarnations with three members.

Runs the real node without processes. From states in which a suspicion is about to expire, all orders of the
possible actions are explored up to a depth: the timer of any member fires (the timers of the others are then
late, as in a pause), or any message in transit is delivered (in any order; one that never is, is lost).
Checked at each step: a member that has received a refutation neither reports nor votes for the removal that
it refutes, and two members never have different views at one epoch. From the states at full depth, once the
faults are over, all three members must reach one view of three. A violation is printed with the steps to it.
"""

from __future__ import annotations

import hashlib
import pickle
import random
from collections import deque
from dataclasses import dataclass, field

from ..membership.events import Event, LogLine, MessageReceived, Send, TimerFired
from ..membership.messages import Alert, Message
from ..membership.node import Node
from ..membership.plan import Settings
from ..membership.view import Change, ChangeKind, Member, View
from .result import ExperimentResult

FAULTY_VARIANTS = ("ignores-refutation",)
NAMES = ("a", "b", "c")
MAX_IN_TRANSIT = 5  # beyond it the oldest message in transit is lost
SETTLE_S = 30.0  # seconds without faults after which all must agree
Trace = tuple[str, ...]


class IgnoresRefutation(Node):
    """Faulty variant: continues to suspect and report a member after receiving its refutation."""

    def handle_alive(self, now: float, name: str, incarnation: int) -> None:
        suspicions = dict(self.suspicions.by_name)
        alerts = {key: dict(those) for key, those in self.cut_detector.alerts.items()}
        super().handle_alive(now, name, incarnation)
        self.suspicions.by_name, self.cut_detector.alerts = suspicions, alerts

    def handle_alert(self, now: float, alert: Alert) -> None:
        raised = self.member_table.raised_incarnations.pop(alert.member.name, None)
        super().handle_alert(now, alert)
        if raised is not None:
            self.member_table.raised_incarnations[alert.member.name] = raised


@dataclass
class State:
    """Three members, the messages in transit between them, and the clock."""

    nodes: dict[str, Node]
    in_transit: list[tuple[str, str, Message]] = field(default_factory=list)  # sender, receiver, message
    now: float = 0.0
    violation: str = ""

    def step(self, name: str, event: Event) -> None:
        node = self.nodes[name]
        for effect in node.step(self.now, event):
            if isinstance(effect, Send):
                to = effect.address.removeprefix("at-")
                if to != name:
                    self.in_transit.append((name, to, effect.message))
            elif isinstance(effect, LogLine):
                self._check_log_line(node, effect)
        del self.in_transit[:-MAX_IN_TRANSIT]

    def _check_log_line(self, node: Node, note: LogLine) -> None:
        if note.message == "proposed" and node.voting.consensus is not None:
            for change in node.voting.consensus.own_proposal or ():
                self._check_not_refuted(node, change, "votes for")
        if (
            note.message == "alert"
            and note.fields["by"] == node.local_member.name
            and not note.fields["join"]
        ):
            reported = node.cut_detector.alerts[(str(note.fields["member"]), False)][node.local_member.name]
            self._check_not_refuted(node, Change(ChangeKind.REMOVE, reported), "reports")

    def _check_not_refuted(self, node: Node, change: Change, action: str) -> None:
        member = change.member
        if change.kind is ChangeKind.REMOVE and node.known_incarnation(member.name) > member.incarnation:
            self.violation = (
                f"{node.local_member.name} {action} the removal of {member.name}@{member.incarnation}, "
                f"but has received its incarnation {node.known_incarnation(member.name)}"
            )

    def check(self) -> str:
        """Return the first violation found, or an empty string."""
        names_by_epoch: dict[int, tuple[str, ...]] = {}
        for node in self.nodes.values():
            if (
                node.view is not None
                and names_by_epoch.setdefault(node.view.epoch, node.view.names) != node.view.names
            ):
                self.violation = self.violation or f"two views at epoch {node.view.epoch}"
        return self.violation

    def actions(self) -> list[str]:
        return [f"ring {name}" for name in NAMES] + [
            f"deliver {index}" for index in range(len(self.in_transit))
        ]

    def act(self, action: str) -> str:
        """Perform an action and return its line for the trace."""
        kind, _, target = action.partition(" ")
        if kind == "ring":
            self.now = max(self.now, self.nodes[target].next_wakeup)
            self.step(target, TimerFired())
            return f"{self.now:6.2f} timer of {target}"
        sender, to, message = self.in_transit.pop(int(target))
        self.now += 0.001
        self.step(to, MessageReceived(message, self.nodes[sender].local_member.address))
        return f"{self.now:6.2f} {sender} -> {to}: {message.body}"

    def key(self) -> bytes:
        """Return a digest of all state that determines further behaviour, except random draws.

        Times are taken relative to now.
        """
        node_states = []
        for node in self.nodes.values():
            probe, consensus = node.failure_detector.probe, node.voting.consensus
            node_states.append(
                (
                    node.view.names if node.view else None,
                    node.view.epoch if node.view else 0,
                    node.local_member.incarnation,
                    node.failure_detector.health_score,
                    sorted(node.member_table.raised_incarnations.items()),
                    sorted(
                        (
                            n,
                            s.incarnation,
                            sorted(s.suspected_by),
                            s.confirmed_by_own_probe,
                            s.faulty,
                            round(self.now - s.started_at, 1),
                        )
                        for n, s in node.suspicions.by_name.items()
                    ),
                    sorted(
                        (k, sorted((by, m.incarnation) for by, m in reports.items()))
                        for k, reports in node.cut_detector.alerts.items()
                    ),
                    (probe.target, probe.helpers_asked, probe.nacks) if probe else None,
                    sorted(map(repr, consensus.votes.items())) if consensus else None,
                    repr(consensus.promised_ballot) if consensus else None,
                    [(repr(entry.update), entry.transmissions_left) for entry in node.gossip.pending],
                    round(node.next_wakeup - self.now, 1),
                    node.cut_detector.pending_waits(self.now),
                    node.suspicions.names_silent_since_pause(),
                    node.failure_detector.unanswered_names(),
                )
            )
        in_transit = [(sender, to, repr(message.body)) for sender, to, message in self.in_transit]
        return hashlib.blake2b(repr((node_states, in_transit)).encode(), digest_size=12).digest()

    def settle(self) -> str:
        """Run without faults, with messages in order and timers in time, and return the violation if any."""
        deadline = self.now + SETTLE_S
        while self.now < deadline:
            if self.in_transit:
                self.act("deliver 0")
            else:
                first = min(NAMES, key=lambda name: self.nodes[name].next_wakeup)
                self.act(f"ring {first}")
        views = {node.view for node in self.nodes.values()}
        if len(views) != 1 or (view := views.pop()) is None or view.names != NAMES:
            return "no common view of all members after a long time without faults: " + ", ".join(
                f"{name} {node.members}" for name, node in self.nodes.items()
            )
        return self.check()


def _start(kind: type[Node]) -> State:
    settings = Settings(
        period_s=0.5, vote_timeout_s=1.0, join_interval_s=0.5, found_delay_s=1.0, sync_interval_s=2.0
    )
    members = [Member(name, f"at-{name}", incarnation=1) for name in NAMES]
    view = View(1, tuple(members))
    nodes = {}
    for member in members:
        node = kind(member, ("at-a", "at-b", "at-c"), settings, random.Random(member.name), 0.0)
        node.start_with_view(view)
        nodes[member.name] = node
    return State(nodes)


def starts(kind: type[Node]) -> dict[str, State]:
    """Return the initial states: c silent until a suspicion is new, about to expire, or just expired."""
    states = {}
    for title, silence_s in (
        ("a suspicion is young", 1.5),
        ("it is about to run out", 2.9),
        ("it is out", 3.6),
    ):
        state = _start(kind)
        while state.now < silence_s:  # c neither receives nor sends
            ready = [
                index for index, (sender, to, _) in enumerate(state.in_transit) if "c" not in (sender, to)
            ]
            state.in_transit = [state.in_transit[index] for index in ready]
            if state.in_transit:
                state.act("deliver 0")
            else:
                state.act("ring " + min("ab", key=lambda name: state.nodes[name].next_wakeup))
        state.in_transit = [entry for entry in state.in_transit if "c" not in entry[:2]]
        states[title] = state
    return states


def explore(state: State, depth: int, most: int, leaves: int) -> tuple[int, int, Trace, str]:
    """Explore all orders of actions up to `depth`, with at most `most` states and `leaves` settled leaves.

    Returns the number of states, the number of settled leaves, the steps to the first violation and the
    violation (empty if none).
    """
    queue: deque[tuple[bytes, int, Trace]] = deque([(pickle.dumps(state), 0, ())])
    seen, settled, action_count = {state.key()}, 0, 0
    chance = random.Random(1)
    while queue:
        packed_state, steps, trace = queue.popleft()
        for action in pickle.loads(packed_state).actions():
            now: State = pickle.loads(packed_state)
            path = (*trace, now.act(action))
            action_count += 1
            if violation := now.check():
                return len(seen), settled, path, violation
            key = now.key()
            if key in seen or len(seen) >= most:
                continue
            seen.add(key)
            packed = pickle.dumps(now)
            if steps + 1 < depth:
                queue.append((packed, steps + 1, path))
            elif settled < leaves and chance.random() < 0.2:
                settled += 1
                if violation := now.settle():
                    return len(seen), settled, path, violation
    return len(seen), settled, (), ""


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Run the model check; `seed` is ignored, as every order is explored."""
    del seed
    result = ExperimentResult("membership-model")
    depth, most, leaves = (5, 50_000, 40) if quick else (6, 400_000, 400)
    for title, state in starts(IgnoresRefutation if broken else Node).items():
        states, settled, trace, violation = explore(state, depth, most, leaves)
        summary = f"{states} states, {settled} settled" + (f": {violation}" if violation else "")
        is_complete = depth < states < most  # at the limit of states the exploration was cut short
        result.check(
            f"{title}: no violation in any order up to depth {depth}", not violation and is_complete, summary
        )
        if trace:
            result.figures[f"trace ({title})"] = "\n    ".join(["", *trace])
        result.figures[f"states ({title})"] = states
    return result
