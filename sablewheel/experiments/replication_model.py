"""Bounded model check of idempotency key claims: three replicas, two claimants, every order of events.

The model runs the real replicas without processes. From selected start states it tries the possible events in
every order up to a depth: a message in flight arrives (in any order; one that never arrives is lost), a
member receives the next view (one that doesn't is paused or cut off), a replica crashes and restarts empty,
or a timer fires. Each member has its own clock. At each step an idempotency key must have been won at most
once. A sample of the states is then settled without further faults, after which one more claim must not win a
key that was won before. A violation is printed with the steps that lead to it.
"""

from __future__ import annotations

import pickle
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..replication.entries import AnswerStatus
from ..replication.messages import (
    Answer,
    Claim,
    Message,
    MessageReceived,
    ReleaseClaim,
    Send,
    Tick,
    ViewInstalled,
)
from ..replication.placement import Site
from ..replication.plan import Settings
from ..replication.replica import Replica
from .replication_scenario import FAULTY_VARIANTS, REPLICA_TYPES
from .result import ExperimentResult

__all__ = ["FAULTY_VARIANTS", "run"]

SETTINGS = Settings(
    max_lifetime_s=1e6,
    slots=1,
    claim_timeout_s=50.0,
    initial_retry_s=5.0,
    max_retry_s=5.0,
    sync_interval_s=20.0,
    repair_interval_s=1e5,
    waits_after_cold_start=False,
)
IDEMPOTENCY_KEY, GROUP = b"label", b"group"
ACTION_TEXTS = {
    "ring": "timer of {1}",
    "view": "{1} receives view {2}",
    "claim": "a request arrives at {1}",
    "free": "{1} releases its claim without a run",
    "crash": "{1} is killed",
}
NO_TIMER_S = 1e4  # timers further away than this are not fired
MAX_IN_FLIGHT = 12


class MidpointRandom(random.Random):
    """Returns the midpoint instead of a random number: the model varies the order of events only."""

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2


class ModelState(NamedTuple):
    """A state of the model; members' states and messages are indexes into the tables of `StateSpace`."""

    nodes: tuple[tuple[str, int], ...]  # (member, index of its state)
    in_flight: tuple[tuple[str, str, int], ...]  # (sender, receiver, index of the message)
    pending_events: tuple[tuple[str, ...], ...]  # actions that may still happen, once each
    timers: tuple[tuple[str, int], ...]  # (member, how often its timer may still fire)
    winners: tuple[str, ...]  # members that won the key, in order


def node_fingerprint(node: Replica) -> str:
    """Return a text that identifies a replica's state, as far as it determines its further behaviour."""
    store = [
        (key, stored.entry, stored.promised)
        for slot in sorted(node.store.slots)
        for key, stored in sorted(node.store._slots[slot].items())
    ]
    proposals = [
        (
            item.ref,
            item.change,
            item.ballot,
            sorted(item.promises.items()),
            sorted(item.accepted_by),
            item.proposed,
            item.needs_new_ballot,
            sorted(item.refusals.items()),
        )
        for item in node.proposer.proposals.values()
    ]
    quorum_requests = [
        (item.ref, item.pushed_entry, sorted(item.answered_by))
        for item in node.quorum_requests.requests.values()
    ]
    ranges = [
        (slot, item.ready_epoch, item.start_epoch, sorted(item.merged_from.items()))
        for table in (node.ranges.assigned, node.ranges.retained)
        for slot, item in sorted(table.items())
    ]
    transfers = [
        (name, item.pending_comparisons, item.queue)
        for name, item in sorted(node.anti_entropy.transfers.items())
    ]
    return repr(
        (
            node.name,
            node.incarnation,
            node.epoch,
            node.min_decision_epoch,
            node.ranges.epoch,
            sorted(node.ranges.views),
            store,
            proposals,
            quorum_requests,
            ranges,
            transfers,
            sorted(node.proposer.promised.items()),
            sorted(node.ranges.history_received),
            sorted(node.ranges._oldest_view_from.items()),
            node.proposer.last_round,
            sorted((key, claim.state.value) for key, claim in node.claims.own_claims.items()),
            node.anti_entropy.sync_at < 1e4,
            len(node.timers),
        )
    )


@dataclass
class StateSpace:
    """The distinct states of members, and the transitions between them."""

    replica_type: type[Replica]
    views: dict[int, ViewInstalled]
    incarnations: dict[str, int]  # of the members that join or rejoin with a later view
    pickled: list[bytes] = field(default_factory=list)
    timer_delays: list[float] = field(default_factory=list)  # by member state: seconds until the next timer
    node_ids: dict[str, int] = field(default_factory=dict)
    messages: list[Message] = field(default_factory=list)
    message_ids: dict[Message, int] = field(default_factory=dict)
    transitions: dict[tuple[int, Any], tuple[int, tuple[tuple[str, int], ...], bool]] = field(
        default_factory=dict
    )

    def node_id(self, node: Replica) -> int:
        fingerprint = node_fingerprint(node)
        if fingerprint not in self.node_ids:
            self.node_ids[fingerprint] = len(self.pickled)
            self.pickled.append(pickle.dumps(node))
            self.timer_delays.append(node.wake_at - node.now)
        return self.node_ids[fingerprint]

    def new_replica(self, name: str, incarnation: int) -> Replica:
        return self.replica_type(name, incarnation, SETTINGS, MidpointRandom(1), 0.0)

    def message_id(self, message: Message) -> int:
        if message not in self.message_ids:
            self.message_ids[message] = len(self.messages)
            self.messages.append(message)
        return self.message_ids[message]

    def step(self, node_id: int, event_key: Any, event: Any) -> tuple[int, tuple[tuple[str, int], ...], bool]:
        """Return a member's next state, its sends as (receiver, message), and whether it won the key."""
        transition = self.transitions.get((node_id, event_key))
        if transition is None:
            node: Replica = pickle.loads(self.pickled[node_id])
            now = node.now
            if isinstance(event, Tick):
                now = max(now, node.wake_at)
            effects = node.step(now, event)
            sends = tuple(
                (effect.to, self.message_id(effect.message)) for effect in effects if isinstance(effect, Send)
            )
            won = any(isinstance(effect, Answer) and effect.status is AnswerStatus.WON for effect in effects)
            transition = self.transitions[node_id, event_key] = (self.node_id(node), sends, won)
        return transition

    # -- transitions

    def actions(self, state: ModelState) -> list[tuple[str, ...]]:
        """Return the actions that are possible next."""
        actions: list[tuple[str, ...]] = [("deliver", str(index)) for index in range(len(state.in_flight))]
        nodes, seen = dict(state.nodes), set()
        for event in state.pending_events:
            if event[0] == "view" and ("view", event[1]) in seen:
                continue  # a member receives its views in order
            seen.add(event[:2])
            if event[0] != "claim" or event[1] in nodes:
                actions.append(event)
        for name, count in state.timers:
            if count and name in nodes and self.timer_delays[nodes[name]] < NO_TIMER_S:
                actions.append(("ring", name))
        return actions

    def act(self, state: ModelState, action: tuple[str, ...]) -> ModelState:
        nodes, in_flight, pending_events, timers, winners = (
            dict(state.nodes),
            list(state.in_flight),
            state.pending_events,
            state.timers,
            state.winners,
        )
        kind = action[0]
        name = ""
        event: Any = None
        event_key: Any = None
        if kind == "deliver":
            sender, name, message_id = in_flight.pop(int(action[1]))
            event, event_key = MessageReceived(sender, self.messages[message_id]), (sender, message_id)
        else:
            name = action[1]
            if kind == "ring":
                timers = tuple((item, count - (item == name)) for item, count in timers)
                event, event_key = Tick(), "tick"
            else:
                index = pending_events.index(action)
                pending_events = pending_events[:index] + pending_events[index + 1 :]
            if kind == "view":
                view = self.views[int(action[2])]
                if name not in nodes:
                    nodes[name] = self.node_id(self.new_replica(name, self.incarnations[name]))
                event, event_key = view, ("view", view.epoch)
            elif kind == "claim":
                event, event_key = (
                    Claim(len(winners) + 1, IDEMPOTENCY_KEY, GROUP, 1e5, b"same"),
                    ("claim", len(winners)),
                )
            elif kind == "free":
                event, event_key = ReleaseClaim(IDEMPOTENCY_KEY), "free"
                winners = tuple(item for item in winners if item != name)  # the request did not run
            elif kind == "crash":
                nodes.pop(name, None)
                in_flight = [item for item in in_flight if item[1] != name]
                pending_events = tuple(item for item in pending_events if item != ("claim", name))
                return ModelState(
                    tuple(sorted(nodes.items())), tuple(sorted(in_flight)), pending_events, timers, winners
                )
        if name in nodes:
            nodes[name], sends, won = self.step(nodes[name], event_key, event)
            in_flight += [
                (name, receiver, message_id)
                for receiver, message_id in sends
                if receiver in nodes or self._will_join(receiver, pending_events)
            ]
            winners += (name,) * won
        return ModelState(
            tuple(sorted(nodes.items())),
            tuple(sorted(in_flight)[-MAX_IN_FLIGHT:]),
            pending_events,
            timers,
            winners,
        )

    def _will_join(self, name: str, pending_events: tuple[tuple[str, ...], ...]) -> bool:
        return any(event[:2] == ("view", name) for event in pending_events)

    def describe(self, state: ModelState, action: tuple[str, ...]) -> str:
        """Return the text of an action for a trace."""
        if action[0] == "deliver":
            sender, receiver, message_id = state.in_flight[int(action[1])]
            return f"{sender} -> {receiver}: {self.messages[message_id]}"
        return ACTION_TEXTS[action[0]].format(*action)

    def settle(self, state: ModelState, excluded: str = "") -> ModelState:
        """Run without faults until nothing is pending; the timers of the excluded member do not fire."""
        for _ in range(600):
            view_events = [event for event in state.pending_events if event[0] == "view"]
            if view_events:
                state = self.act(state, view_events[0])
            elif state.in_flight:
                state = self.act(state, ("deliver", "0"))
            else:
                delay, next_name = min(
                    (self.timer_delays[node_id], name) for name, node_id in state.nodes if name != excluded
                )
                if delay > NO_TIMER_S:
                    break
                state = self.act(state, ("ring", next_name))
        return state


@dataclass(frozen=True)
class StartState:
    """A start of the exploration: `setup` is carried out first; `events` may happen later, once each."""

    epochs: tuple[tuple[tuple[str, int], ...], ...]
    setup: tuple[tuple[str, ...], ...]
    events: tuple[tuple[str, ...], ...]
    final_claimant: str  # the member that claims the key after settling
    timers: tuple[tuple[str, int], ...] = ()
    extra_depth: int = 0  # added to the depth of the experiment


INITIAL_MEMBERS = (("a", 1), ("b", 1), ("c", 1))
STARTS = {
    "what a removed owner sent is late, the others have caught up": StartState(
        (INITIAL_MEMBERS, (("b", 1), ("c", 1), ("d", 2))),
        (
            ("claim", "a"),
            ("deliver", "a", "b"),
            ("deliver", "b", "a"),
            ("view", "c", "2"),
            ("view", "d", "2"),
            ("view", "b", "2"),
            ("rest", "a"),
        ),
        (("claim", "d"),),
        "c",
    ),
    "an older copy, that it is free again, is heard after a newer claim": StartState(
        (INITIAL_MEMBERS, (("a", 1), ("b", 1), ("d", 2))),
        (
            ("claim", "b"),
            *(("deliver", "b", "c"), ("deliver", "c", "b")) * 2,
            ("free", "b"),
            ("deliver", "b", "c"),
            ("deliver", "c", "b"),
            ("claim", "a"),
            ("deliver", "a", "c"),
            ("deliver", "c", "a"),
            ("ring", "a"),
            *(("deliver", "a", "c"), ("deliver", "c", "a")) * 2,
            ("lose",),
        ),
        (("view", "a", "2"), ("view", "b", "2"), ("view", "d", "2"), ("claim", "d")),
        "d",
    ),
    "two claims of one label at one moment": StartState(
        (INITIAL_MEMBERS,),
        (("claim", "a"), ("claim", "b")),
        (),
        "c",
        (("a", 1), ("b", 1)),
    ),
    "a holder crashes and comes back empty": StartState(
        (INITIAL_MEMBERS, (("a", 1), ("b", 1), ("c", 2))),
        (("claim", "a"), ("deliver", "a", "c"), ("deliver", "c", "a"), ("deliver", "a", "c"), ("crash", "c")),
        (("view", "a", "2"), ("view", "b", "2"), ("view", "c", "2"), ("claim", "b")),
        "c",
        (),
        -1,
    ),
    "the owner is paused and removed, another comes for it": StartState(
        (INITIAL_MEMBERS, (("b", 1), ("c", 1), ("d", 2))),
        (
            ("claim", "a"),
            ("deliver", "a", "b"),
            ("deliver", "b", "a"),
            ("view", "c", "2"),
            ("view", "d", "2"),
        ),
        (("view", "b", "2"), ("claim", "d")),
        "c",
        (),
        -1,
    ),
    "two views in a row, before anybody has caught up": StartState(
        (INITIAL_MEMBERS, (("a", 1), ("b", 1), ("d", 2)), (("b", 1), ("d", 2), ("e", 3))),
        (
            ("claim", "a"),
            ("deliver", "a", "c"),
            ("deliver", "c", "a"),
            ("deliver", "a", "c"),
            ("view", "b", "2"),
            ("view", "d", "2"),
        ),
        (("view", "a", "2"), ("view", "b", "3"), ("view", "d", "3"), ("view", "e", "3"), ("claim", "e")),
        "d",
        (),
        -3,
    ),
    "one hears of no view but the last": StartState(
        (INITIAL_MEMBERS, (("a", 1), ("b", 1), ("d", 2)), (("b", 1), ("d", 2), ("e", 3))),
        (
            ("claim", "a"),
            ("deliver", "a", "c"),
            ("deliver", "c", "a"),
            ("deliver", "a", "c"),
            ("view", "d", "2"),
        ),
        (("view", "a", "2"), ("view", "b", "3"), ("view", "d", "3"), ("view", "e", "3"), ("claim", "e")),
        "d",
        (),
        -2,
    ),
    "two holders leave in order at one moment": StartState(
        (INITIAL_MEMBERS, (("c", 1), ("d", 2), ("e", 3))),
        (
            ("claim", "a"),
            ("deliver", "a", "b"),
            ("deliver", "b", "a"),
            ("deliver", "a", "b"),
            ("view", "c", "2"),
            ("view", "d", "2"),
        ),
        (("view", "a", "2"), ("view", "b", "2"), ("view", "e", "2"), ("claim", "d")),
        "d",
        (),
        -2,
    ),
    "one that was out is asked before it hears that it is in again": StartState(
        (INITIAL_MEMBERS, (("b", 1), ("c", 1), ("d", 2)), (("a", 3), ("b", 1), ("d", 2))),
        (
            ("claim", "a"),
            ("deliver", "a", "c"),
            ("deliver", "c", "a"),
            ("deliver", "a", "c"),
            ("view", "a", "2"),
            ("view", "b", "2"),
            ("view", "d", "2"),
        ),
        (("view", "a", "3"), ("view", "b", "3"), ("view", "d", "3"), ("claim", "d")),
        "b",
        (),
        -2,
    ),
    "a holder gives way to a new one": StartState(
        (INITIAL_MEMBERS, (("a", 1), ("b", 1), ("d", 2))),
        (
            ("claim", "a"),
            ("deliver", "a", "c"),
            ("deliver", "c", "a"),
            ("deliver", "a", "c"),
            ("deliver", "c", "a"),
        ),
        (("view", "a", "2"), ("view", "b", "2"), ("view", "d", "2"), ("claim", "d")),
        "b",
    ),
}


def initial_state(start: StartState, replica_type: type[Replica]) -> tuple[StateSpace, ModelState]:
    """Create the members, ready under their first view, and carry out the setup."""
    views = {
        epoch: ViewInstalled(epoch, tuple(Site(name, incarnation, name) for name, incarnation in members))
        for epoch, members in enumerate(start.epochs, 1)
    }
    incarnations = {name: incarnation for members in start.epochs for name, incarnation in members}
    space = StateSpace(replica_type, views, incarnations)
    nodes = {}
    for name, incarnation in start.epochs[0]:
        nodes[name] = space.node_id(space.new_replica(name, incarnation))
    state = ModelState(tuple(sorted(nodes.items())), (), tuple(("view", name, "1") for name in nodes), (), ())
    state = space.settle(state)
    events = tuple(
        action
        for action in start.setup + start.events
        if action[0] not in ("deliver", "rest", "ring", "lose")
    )
    state = state._replace(pending_events=events, timers=start.timers)
    for action in start.setup:
        if action[0] == "rest":  # all messages arrive except those from and to this member
            delayed = tuple(message for message in state.in_flight if action[1] in message[:2])
            delivered = tuple(message for message in state.in_flight if action[1] not in message[:2])
            state = space.settle(state._replace(in_flight=delivered, pending_events=()), action[1])._replace(
                pending_events=state.pending_events
            )
            state = state._replace(in_flight=tuple(sorted(state.in_flight + delayed)))
            continue
        if action[0] == "lose":
            state = state._replace(in_flight=())
            continue
        if action[0] == "deliver":
            index = next(index for index, (a, b, _) in enumerate(state.in_flight) if (a, b) == action[1:])
            action = ("deliver", str(index))
        state = space.act(state, action)
    return space, state


def explore(
    start: StartState, replica_type: type[Replica], depth: int, max_states: int, max_settled: int
) -> dict[str, Any]:
    """Try every order of events up to a depth.

    Returns the number of states, the number of settled states, whether all orders were tried, and the first
    violation with its steps.
    """
    space, initial = initial_state(start, replica_type)
    queue: deque[tuple[ModelState, int]] = deque([(initial, 0)])
    predecessors: dict[ModelState, tuple[ModelState, tuple[str, ...]] | None] = {initial: None}
    settled, is_complete, rng = 0, True, random.Random(1)

    def violation_result(state: ModelState, violation: str) -> dict[str, Any]:
        steps: list[str] = []
        current: ModelState | None = state
        while current is not None and (predecessor := predecessors.get(current)) is not None:
            steps.append(space.describe(*predecessor))
            current = predecessor[0]
        return {
            "states": len(predecessors),
            "settled": settled,
            "whole": is_complete,
            "wrong": violation,
            "steps": steps[::-1],
        }

    def final_claim_violation(state: ModelState) -> str:
        views = tuple(event for event in state.pending_events if event[0] == "view")
        settled_state = space.settle(state._replace(pending_events=views))
        if len(settled_state.winners) > 1:
            return f"won by {' and by '.join(settled_state.winners)}, after every message arrived"
        if not settled_state.winners:
            return ""
        settled_state = settled_state._replace(pending_events=(("claim", start.final_claimant),))
        settled_state = space.settle(space.act(settled_state, ("claim", start.final_claimant)))
        if len(settled_state.winners) > 1:
            return f"won by {' and by '.join(settled_state.winners)}, the last time after the faults"
        return ""

    while queue:
        state, depth_reached = queue.popleft()
        for action in space.actions(state):
            next_state = space.act(state, action)
            if next_state in predecessors:
                continue
            if len(predecessors) >= max_states:
                is_complete = False
                queue.clear()
                break
            predecessors[next_state] = (state, action)
            if len(next_state.winners) > 1:
                return violation_result(next_state, f"won by {' and by '.join(next_state.winners)}")
            if depth_reached + 1 < depth:
                queue.append((next_state, depth_reached + 1))
            if settled < max_settled and rng.random() < (0.02 if next_state.winners else 0.002):
                settled += 1
                if violation := final_claim_violation(next_state):
                    return violation_result(next_state, violation)
    return {"states": len(predecessors), "settled": settled, "whole": is_complete, "wrong": "", "steps": []}


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Run the experiment; `seed` has no effect, as every order is tried."""
    del seed
    result = ExperimentResult("replication-model")
    depth, max_states, max_settled = (8, 300_000, 60) if quick else (10, 1_500_000, 600)
    for title, start in STARTS.items():
        exploration = explore(
            start, REPLICA_TYPES[broken], depth + start.extra_depth, max_states, max_settled
        )
        details = f"{exploration['states']} states, {exploration['settled']} settled"
        details += f": {exploration['wrong']}" if exploration["wrong"] else ""
        is_complete = exploration["whole"] and exploration["states"] > depth
        guarantee = f"{title}: won once in every order to depth {depth + start.extra_depth}"
        result.check(guarantee, not exploration["wrong"] and is_complete, details)
        if exploration["steps"]:
            result.figures[f"trace ({title})"] = "\n    ".join(["", *exploration["steps"]])
        result.figures[f"states ({title})"] = exploration["states"]
        if broken and exploration["wrong"]:
            break  # the faulty variant was detected
    return result
