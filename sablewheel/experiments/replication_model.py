"""An idempotency key's life among three holders and two claimants, every order of what may happen, to a
depth.

The real replicas, no process. From states worth starting from each next thing is tried in each order: any
message on its way arrives (in any order; one that never does is lost), any member hears of the next view (one
that does not is paused, or cut off), a holder crashes and comes back empty, a timer rings. Each member has a
clock of its own. Checked at each step: an idempotency key is won once at most. From the states at the bottom,
with the faults over, one more claim must not win what was won before. A violation is printed as the steps to
it.
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
from .replication_scenario import FAULTY_VARIANTS, KINDS
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
SAYS = {
    "ring": "timer of {1}",
    "view": "{1} hears of view {2}",
    "claim": "a ticket comes to {1}",
    "free": "{1} knows that it did not run",
    "crash": "{1} is killed",
}
FAR = 1e4  # seconds: a timer further off belongs to no step
ON_WAY_MOST = 12


class Even(random.Random):
    """No chance: the order of events is what is tried, not the draws."""

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2


class World(NamedTuple):
    """One state. Members and messages are numbers into the tables of `Space`."""

    nodes: tuple[tuple[str, int], ...]
    way: tuple[tuple[str, str, int], ...]
    left: tuple[tuple[str, ...], ...]  # what may still happen once
    rings: tuple[tuple[str, int], ...]
    won: tuple[str, ...]


def essence(node: Replica) -> str:
    """What decides how it goes on; spans by how far they are from now."""
    store = [
        (key, held.entry, held.promised)
        for slot in sorted(node.store.slots)
        for key, held in sorted(node.store._slots[slot].items())
    ]
    rounds = [
        (
            one.ref,
            one.change,
            one.ballot,
            sorted(one.promises.items()),
            sorted(one.accepted_by),
            one.proposed,
            one.needs_new_ballot,
            sorted(one.refusals.items()),
        )
        for one in node.proposer.proposals.values()
    ]
    spreads = [
        (one.ref, one.pushed_entry, sorted(one.answered_by)) for one in node.quorum_requests.requests.values()
    ]
    ranges = [
        (slot, one.ready_epoch, one.start_epoch, sorted(one.merged_from.items()))
        for table in (node.ranges.assigned, node.ranges.retained)
        for slot, one in sorted(table.items())
    ]
    talks = [
        (name, one.pending_comparisons, one.queue)
        for name, one in sorted(node.anti_entropy.transfers.items())
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
            rounds,
            spreads,
            ranges,
            talks,
            sorted(node.proposer.promised.items()),
            sorted(node.ranges.history_received),
            sorted(node.ranges._oldest_view_from.items()),
            node.proposer.last_round,
            sorted((key, own.state.value) for key, own in node.claims.own_claims.items()),
            node.anti_entropy.sync_at < 1e4,
            len(node.timers),
        )
    )


@dataclass
class Space:
    """The members' states, each once, and what each event makes of one."""

    kind: type[Replica]
    views: dict[int, ViewInstalled]
    births: dict[str, int]  # of those that come (back) with a later view
    packed: list[bytes] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)  # until its next timer, of each
    numbers: dict[str, int] = field(default_factory=dict)
    messages: list[Message] = field(default_factory=list)
    message_numbers: dict[Message, int] = field(default_factory=dict)
    made: dict[tuple[int, Any], tuple[int, tuple[tuple[str, int], ...], bool]] = field(default_factory=dict)

    def node(self, node: Replica) -> int:
        mark = essence(node)
        if mark not in self.numbers:
            self.numbers[mark] = len(self.packed)
            self.packed.append(pickle.dumps(node))
            self.waits.append(node.wake_at - node.now)
        return self.numbers[mark]

    def born(self, name: str, birth: int) -> Replica:
        return self.kind(name, birth, SETTINGS, Even(1), 0.0)

    def message(self, message: Message) -> int:
        if message not in self.message_numbers:
            self.message_numbers[message] = len(self.messages)
            self.messages.append(message)
        return self.message_numbers[message]

    def step(self, number: int, mark: Any, event: Any) -> tuple[int, tuple[tuple[str, int], ...], bool]:
        """The member's next state, what it sends to whom, and whether it won the idempotency key."""
        found = self.made.get((number, mark))
        if found is None:
            node: Replica = pickle.loads(self.packed[number])
            now = node.now
            if isinstance(event, Tick):
                now = max(now, node.wake_at)
            effects = node.step(now, event)
            sends = tuple((one.to, self.message(one.message)) for one in effects if isinstance(one, Send))
            won = any(isinstance(one, Answer) and one.status is AnswerStatus.WON for one in effects)
            found = self.made[number, mark] = (self.node(node), sends, won)
        return found

    # -- what may happen

    def actions(self, world: World) -> list[tuple[str, ...]]:
        """All that may happen next."""
        some: list[tuple[str, ...]] = [("deliver", str(place)) for place in range(len(world.way))]
        there, once = dict(world.nodes), set()
        for what in world.left:
            if what[0] == "view" and ("view", what[1]) in once:
                continue  # a member's views come in order
            once.add(what[:2])
            if what[0] != "claim" or what[1] in there:
                some.append(what)
        for name, left in world.rings:
            if left and name in there and self.waits[there[name]] < FAR:
                some.append(("ring", name))
        return some

    def act(self, world: World, action: tuple[str, ...]) -> World:
        nodes, way, left, rings, won = dict(world.nodes), list(world.way), world.left, world.rings, world.won
        what = action[0]
        name = ""
        event: Any = None
        mark: Any = None
        if what == "deliver":
            sender, name, number = way.pop(int(action[1]))
            event, mark = MessageReceived(sender, self.messages[number]), (sender, number)
        else:
            name = action[1]
            if what == "ring":
                rings = tuple((one, many - (one == name)) for one, many in rings)
                event, mark = Tick(), "tick"
            else:
                place = left.index(action)
                left = left[:place] + left[place + 1 :]
            if what == "view":
                view = self.views[int(action[2])]
                if name not in nodes:
                    nodes[name] = self.node(self.born(name, self.births[name]))
                event, mark = view, ("view", view.epoch)
            elif what == "claim":
                event, mark = Claim(len(won) + 1, IDEMPOTENCY_KEY, GROUP, 1e5, b"same"), ("claim", len(won))
            elif what == "free":
                event, mark = ReleaseClaim(IDEMPOTENCY_KEY), "free"
                won = tuple(one for one in won if one != name)  # it did not run
            elif what == "crash":
                nodes.pop(name, None)
                way = [one for one in way if one[1] != name]
                left = tuple(one for one in left if one != ("claim", name))
                return World(tuple(sorted(nodes.items())), tuple(sorted(way)), left, rings, won)
        if name in nodes:
            nodes[name], sends, wins = self.step(nodes[name], mark, event)
            way += [(name, to, number) for to, number in sends if to in nodes or self._comes(to, left)]
            won += (name,) * wins
        return World(tuple(sorted(nodes.items())), tuple(sorted(way)[-ON_WAY_MOST:]), left, rings, won)

    def _comes(self, name: str, left: tuple[tuple[str, ...], ...]) -> bool:
        return any(one[:2] == ("view", name) for one in left)

    def says(self, world: World, action: tuple[str, ...]) -> str:
        """How a step reads."""
        if action[0] == "deliver":
            sender, to, number = world.way[int(action[1])]
            return f"{sender} -> {to}: {self.messages[number]}"
        return SAYS[action[0]].format(*action)

    def settle(self, world: World, without: str = "") -> World:
        """The faults are over: every view is heard of, every message arrives, every timer rings."""
        for _ in range(600):
            once = [one for one in world.left if one[0] == "view"]
            if once:
                world = self.act(world, once[0])
            elif world.way:
                world = self.act(world, ("deliver", "0"))
            else:
                wait, first = min((self.waits[at], name) for name, at in world.nodes if name != without)
                if wait > FAR:
                    break
                world = self.act(world, ("ring", first))
        return world


@dataclass(frozen=True)
class Start:
    """`calm`: what happens before anything is tried; `may`: what may, at any time, once each."""

    epochs: tuple[tuple[tuple[str, int], ...], ...]
    calm: tuple[tuple[str, ...], ...]
    may: tuple[tuple[str, ...], ...]
    asks: str  # who claims at the end
    rings: tuple[tuple[str, int], ...] = ()
    depth: int = 0  # beside the trial's own


FIRST = (("a", 1), ("b", 1), ("c", 1))
STARTS = {
    "what a removed owner sent is late, the others have caught up": Start(
        (FIRST, (("b", 1), ("c", 1), ("d", 2))),
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
    "an older copy, that it is free again, is heard after a newer claim": Start(
        (FIRST, (("a", 1), ("b", 1), ("d", 2))),
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
    "two claims of one label at one moment": Start(
        (FIRST,),
        (("claim", "a"), ("claim", "b")),
        (),
        "c",
        (("a", 1), ("b", 1)),
    ),
    "a holder crashes and comes back empty": Start(
        (FIRST, (("a", 1), ("b", 1), ("c", 2))),
        (("claim", "a"), ("deliver", "a", "c"), ("deliver", "c", "a"), ("deliver", "a", "c"), ("crash", "c")),
        (("view", "a", "2"), ("view", "b", "2"), ("view", "c", "2"), ("claim", "b")),
        "c",
        (),
        -1,
    ),
    "the owner is paused and removed, another comes for it": Start(
        (FIRST, (("b", 1), ("c", 1), ("d", 2))),
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
    "two views in a row, before anybody has caught up": Start(
        (FIRST, (("a", 1), ("b", 1), ("d", 2)), (("b", 1), ("d", 2), ("e", 3))),
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
    "one hears of no view but the last": Start(
        (FIRST, (("a", 1), ("b", 1), ("d", 2)), (("b", 1), ("d", 2), ("e", 3))),
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
    "two holders leave in order at one moment": Start(
        (FIRST, (("c", 1), ("d", 2), ("e", 3))),
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
    "one that was out is asked before it hears that it is in again": Start(
        (FIRST, (("b", 1), ("c", 1), ("d", 2)), (("a", 3), ("b", 1), ("d", 2))),
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
    "a holder gives way to a new one": Start(
        (FIRST, (("a", 1), ("b", 1), ("d", 2))),
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


def begin(start: Start, kind: type[Replica]) -> tuple[Space, World]:
    """The members under their first view, ready, and then what is calm."""
    views = {
        epoch: ViewInstalled(epoch, tuple(Site(name, number, name) for name, number in members))
        for epoch, members in enumerate(start.epochs, 1)
    }
    births = {name: number for members in start.epochs for name, number in members}
    space = Space(kind, views, births)
    nodes = {}
    for name, number in start.epochs[0]:
        nodes[name] = space.node(space.born(name, number))
    world = World(tuple(sorted(nodes.items())), (), tuple(("view", name, "1") for name in nodes), (), ())
    world = space.settle(world)
    may = tuple(one for one in start.calm + start.may if one[0] not in ("deliver", "rest", "ring", "lose"))
    world = world._replace(left=may, rings=start.rings)
    for one in start.calm:
        if one[0] == "rest":  # all but that one hear each other out
            late = tuple(each for each in world.way if one[1] in each[:2])
            kept = tuple(each for each in world.way if one[1] not in each[:2])
            world = space.settle(world._replace(way=kept, left=()), one[1])._replace(left=world.left)
            world = world._replace(way=tuple(sorted(world.way + late)))
            continue
        if one[0] == "lose":
            world = world._replace(way=())
            continue
        if one[0] == "deliver":
            place = next(place for place, (a, b, _) in enumerate(world.way) if (a, b) == one[1:])
            one = ("deliver", str(place))
        world = space.act(world, one)
    return space, world


def explore(start: Start, kind: type[Replica], depth: int, most: int, leaves: int) -> dict[str, Any]:
    """States seen, leaves settled, whether all was tried to that depth, the first violation and its steps."""
    space, first = begin(start, kind)
    queue: deque[tuple[World, int]] = deque([(first, 0)])
    came: dict[World, tuple[World, tuple[str, ...]] | None] = {first: None}
    settled, whole, chance = 0, True, random.Random(1)

    def found(world: World, wrong: str) -> dict[str, Any]:
        steps: list[str] = []
        at: World | None = world
        while at is not None and (before := came.get(at)) is not None:
            steps.append(space.says(*before))
            at = before[0]
        return {"states": len(came), "settled": settled, "whole": whole, "wrong": wrong, "steps": steps[::-1]}

    def last_claim(world: World) -> str:
        views = tuple(one for one in world.left if one[0] == "view")
        rested = space.settle(world._replace(left=views))
        if len(rested.won) > 1:
            return f"won by {' and by '.join(rested.won)}, once all had arrived"
        if not rested.won:
            return ""
        rested = rested._replace(left=(("claim", start.asks),))
        rested = space.settle(space.act(rested, ("claim", start.asks)))
        if len(rested.won) > 1:
            return f"won by {' and by '.join(rested.won)}, the last one after the faults"
        return ""

    while queue:
        world, done = queue.popleft()
        for action in space.actions(world):
            now = space.act(world, action)
            if now in came:
                continue
            if len(came) >= most:
                whole = False
                queue.clear()
                break
            came[now] = (world, action)
            if len(now.won) > 1:
                return found(now, f"won by {' and by '.join(now.won)}")
            if done + 1 < depth:
                queue.append((now, done + 1))
            if settled < leaves and chance.random() < (0.02 if now.won else 0.002):
                settled += 1
                if wrong := last_claim(now):
                    return found(now, wrong)
    return {"states": len(came), "settled": settled, "whole": whole, "wrong": "", "steps": []}


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Nothing here is drawn by `seed`: every order is tried."""
    del seed
    result = ExperimentResult("replication-model")
    depth, most, leaves = (8, 300_000, 60) if quick else (10, 1_500_000, 600)
    for title, start in STARTS.items():
        told = explore(start, KINDS[broken], depth + start.depth, most, leaves)
        says = f"{told['states']} states, {told['settled']} settled"
        says += f": {told['wrong']}" if told["wrong"] else ""
        whole = told["whole"] and told["states"] > depth
        promise = f"{title}: won once in every order to depth {depth + start.depth}"
        result.check(promise, not told["wrong"] and whole, says)
        if told["steps"]:
            result.figures[f"trace ({title})"] = "\n    ".join(["", *told["steps"]])
        result.figures[f"states ({title})"] = told["states"]
        if broken and told["wrong"]:
            break  # found
    return result
