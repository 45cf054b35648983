"""Membership's suspicions and incarnations for three members, every order of what may happen, to a depth.

The real node, no process: from states where a suspicion is about to run out, each next thing is tried in each
order: any member's timer rings (the others are late: that is a pause), any message on its way arrives (in any
order; one that never does is lost). Checked at each step: who knows a refutation neither reports nor votes
for the removal that it refutes; two members never hold two views at one epoch. From the states at the
bottom, with the faults over, all three hold one view of three. A violation is printed as the steps to it.
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
ON_WAY_MOST = 5  # one more pushes the oldest out: it is lost
SETTLE = 30.0  # seconds without faults after which all must agree
Trace = tuple[str, ...]


class Deaf(Node):
    """Broken on purpose: hears of a refutation, and goes on suspecting and reporting."""

    def handle_alive(self, now: float, name: str, incarnation: int) -> None:
        suspicions = dict(self.suspicions.by_name)
        alerts = {key: dict(those) for key, those in self.cut_detector.alerts.items()}
        super().handle_alive(now, name, incarnation)
        self.suspicions.by_name, self.cut_detector.alerts = suspicions, alerts

    def handle_alert(self, now: float, alert: Alert) -> None:
        held = self.member_table.raised_incarnations.pop(alert.member.name, None)
        super().handle_alert(now, alert)
        if held is not None:
            self.member_table.raised_incarnations[alert.member.name] = held


@dataclass
class State:
    """Three members, what is on its way between them, and the clock."""

    nodes: dict[str, Node]
    way: list[tuple[str, str, Message]] = field(default_factory=list)  # from, to, what
    now: float = 0.0
    wrong: str = ""

    def step(self, name: str, event: Event) -> None:
        node = self.nodes[name]
        for effect in node.step(self.now, event):
            if isinstance(effect, Send):
                to = effect.address.removeprefix("at-")
                if to != name:
                    self.way.append((name, to, effect.message))
            elif isinstance(effect, LogLine):
                self._look(node, effect)
        del self.way[:-ON_WAY_MOST]

    def _look(self, node: Node, note: LogLine) -> None:
        if note.message == "proposed" and node.voting.consensus is not None:
            for change in node.voting.consensus.own_proposal or ():
                self._refuted(node, change, "votes")
        if (
            note.message == "alert"
            and note.fields["by"] == node.local_member.name
            and not note.fields["join"]
        ):
            said = node.cut_detector.alerts[(str(note.fields["member"]), False)][node.local_member.name]
            self._refuted(node, Change(ChangeKind.REMOVE, said), "reports")

    def _refuted(self, node: Node, change: Change, does: str) -> None:
        member = change.member
        if change.kind is ChangeKind.REMOVE and node.known_incarnation(member.name) > member.incarnation:
            self.wrong = (
                f"{node.local_member.name} {does} that {member.name}@{member.incarnation} is gone, "
                f"and knows it at {node.known_incarnation(member.name)}"
            )

    def check(self) -> str:
        """What is wrong here, if anything."""
        held: dict[int, tuple[str, ...]] = {}
        for node in self.nodes.values():
            if node.view is not None and held.setdefault(node.view.epoch, node.view.names) != node.view.names:
                self.wrong = self.wrong or f"two views at epoch {node.view.epoch}"
        return self.wrong

    def actions(self) -> list[str]:
        return [f"ring {name}" for name in NAMES] + [f"deliver {place}" for place in range(len(self.way))]

    def act(self, action: str) -> str:
        """Do it; how it reads in a trace."""
        what, _, which = action.partition(" ")
        if what == "ring":
            self.now = max(self.now, self.nodes[which].next_wakeup)
            self.step(which, TimerFired())
            return f"{self.now:6.2f} timer of {which}"
        sender, to, message = self.way.pop(int(which))
        self.now += 0.001
        self.step(to, MessageReceived(message, self.nodes[sender].local_member.address))
        return f"{self.now:6.2f} {sender} -> {to}: {message.body}"

    def key(self) -> bytes:
        """What decides how it goes on, but for chance; times by how far they are from now."""
        seen = []
        for node in self.nodes.values():
            probe, agreement = node.failure_detector.probe, node.voting.consensus
            seen.append(
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
                        (k, sorted((by, m.incarnation) for by, m in those.items()))
                        for k, those in node.cut_detector.alerts.items()
                    ),
                    (probe.target, probe.helpers_asked, probe.nacks) if probe else None,
                    sorted(map(repr, agreement.votes.items())) if agreement else None,
                    repr(agreement.promised_ballot) if agreement else None,
                    [(repr(one.update), one.transmissions_left) for one in node.gossip.pending],
                    round(node.next_wakeup - self.now, 1),
                    node.cut_detector.pending_waits(self.now),
                    node.suspicions.names_silent_since_pause(),
                    node.failure_detector.unanswered_names(),
                )
            )
        way = [(sender, to, repr(message.body)) for sender, to, message in self.way]
        return hashlib.blake2b(repr((seen, way)).encode(), digest_size=12).digest()

    def settle(self) -> str:
        """All faults over: each message arrives, in order, each timer rings in time. What is wrong then."""
        until = self.now + SETTLE
        while self.now < until:
            if self.way:
                self.act("deliver 0")
            else:
                first = min(NAMES, key=lambda name: self.nodes[name].next_wakeup)
                self.act(f"ring {first}")
        views = {node.view for node in self.nodes.values()}
        if len(views) != 1 or (view := views.pop()) is None or view.names != NAMES:
            return "connected for long, and not of one view: " + ", ".join(
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
    """States worth starting from: one silent for so long that a suspicion is young, old, or just out."""
    found = {}
    for idempotency_key, silent in (
        ("a suspicion is young", 1.5),
        ("it is about to run out", 2.9),
        ("it is out", 3.6),
    ):
        state = _start(kind)
        while state.now < silent:  # c hears nobody and is not heard
            ready = [place for place, (one, to, _) in enumerate(state.way) if "c" not in (one, to)]
            state.way = [state.way[place] for place in ready]
            if state.way:
                state.act("deliver 0")
            else:
                state.act("ring " + min("ab", key=lambda name: state.nodes[name].next_wakeup))
        state.way = [one for one in state.way if "c" not in one[:2]]
        found[idempotency_key] = state
    return found


def explore(state: State, depth: int, most: int, leaves: int) -> tuple[int, int, Trace, str]:
    """States seen, leaves settled, and the first violation with its steps."""
    queue: deque[tuple[bytes, int, Trace]] = deque([(pickle.dumps(state), 0, ())])
    seen, settled, taken = {state.key()}, 0, 0
    chance = random.Random(1)
    while queue:
        held, done, trace = queue.popleft()
        for action in pickle.loads(held).actions():
            now: State = pickle.loads(held)
            path = (*trace, now.act(action))
            taken += 1
            if wrong := now.check():
                return len(seen), settled, path, wrong
            mark = now.key()
            if mark in seen or len(seen) >= most:
                continue
            seen.add(mark)
            packed = pickle.dumps(now)
            if done + 1 < depth:
                queue.append((packed, done + 1, path))
            elif settled < leaves and chance.random() < 0.2:
                settled += 1
                if wrong := now.settle():
                    return len(seen), settled, path, wrong
    return len(seen), settled, (), ""


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Nothing here is drawn by `seed`: every order is tried."""
    del seed
    result = ExperimentResult("membership-model")
    depth, most, leaves = (5, 50_000, 40) if quick else (6, 400_000, 400)
    for title, state in starts(Deaf if broken else Node).items():
        states, settled, trace, wrong = explore(state, depth, most, leaves)
        says = f"{states} states, {settled} settled" + (f": {wrong}" if wrong else "")
        whole = depth < states < most  # cut short, it would not be every order
        result.check(f"{title}: nothing wrong in any order to depth {depth}", not wrong and whole, says)
        if trace:
            result.figures[f"trace ({title})"] = "\n    ".join(["", *trace])
        result.figures[f"states ({title})"] = states
    return result
