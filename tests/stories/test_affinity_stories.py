"""The steps of affinity.feature: a fleet in memory, kiosks that come by any router, and what an onlooker saw.

After each story, whatever it was about: two servers never ran keyed work of one session, no idempotency key
ran twice, and every request has its outcome.
"""

from __future__ import annotations

import random
import re
from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sablewheel.experiments.affinity_fleet import Request, World
from sablewheel.experiments.affinity_replicas import ReplicaWorld
from sablewheel.overload.interface import Idempotency
from sablewheel.session_affinity.binding import BindingState
from sablewheel.session_affinity.placement import ServerLoad, load_bounds
from sablewheel.session_affinity.plan import AffinitySettings

scenarios("affinity.feature", "affinity_replicas.feature")

EVERY = 0.02  # seconds between two requests of all kiosks
QUIET = 8.0  # after a story, for what is under way
BUDGET = 50.0


class Story:
    """One fleet and its kiosks."""

    def __init__(self) -> None:
        self.chance = random.Random(7)
        self.kiosks: list[str] = []
        self.settings: dict[str, Any] = {
            "idle_timeout_s": 60.0,
            "migrations_per_s": BUDGET,
            "handover_timeout_s": 3.0,
        }
        self.since = 0.0  # moves and requests from then on are the story's
        self.first = 0
        self.owners: dict[str, str] = {}  # at `since`
        self.long_run: Request | None = None

    def begin(self, servers: int, kiosks: int = 0, kind: type[World] = World, **settings: Any) -> None:
        self.settings |= settings
        self.world = kind([f"m{place}" for place in range(servers)], AffinitySettings(**self.settings))
        self.world.run_takes = lambda: self.chance.choice([0.02, 0.05, 0.4])
        self.more(kiosks)
        self.mark()

    def mark(self) -> None:
        self.since, self.first = self.world.fleet.now, len(self.world.requests)
        self.owners = {kiosk: self.world.owner(kiosk) for kiosk in self.kiosks}

    def more(self, kiosks: int) -> None:
        """Each begins with one request, and all go on a little."""
        for _ in range(kiosks):
            self.kiosks.append(f"kiosk-{len(self.kiosks)}")
            self.bring(self.kiosks[-1])
            self.world.run(EVERY)
        if kiosks:
            self.go_on(1.5)

    def bring(self, kiosk: str) -> Request:
        idempotency = self.chance.choice([Idempotency.IDEMPOTENT, Idempotency.KEYED])
        return self.world.bring(self.chance.choice(self.world.alive), kiosk, idempotency, "pay")

    def go_on(self, span: float) -> None:
        until, turn = self.world.fleet.now + span, 0
        while self.world.fleet.now < until - 1e-9:
            self.bring(self.kiosks[turn % len(self.kiosks)])
            turn += 1
            self.world.run(min(EVERY, until - self.world.fleet.now))

    @property
    def moves(self) -> list[tuple[float, str, str, str]]:
        return self.world.moves(self.since)

    @property
    def requests(self) -> list[Request]:
        return self.world.requests[self.first :]

    def causes(self) -> Counter[str]:
        notes = [
            note
            for when, _, note in self.world.notes
            if when >= self.since and note.message == "session migrated"
        ]
        return Counter(str(note.fields["cause"]) for note in notes)


@pytest.fixture
def story() -> Iterator[Story]:
    current = Story()
    yield current
    current.world.heal()
    current.world.no_majority = False
    current.world.run(QUIET)
    assert [request for request in current.world.requests if not request.outcome] == []
    if not current.settings.get("faulty_variant"):
        assert current.world.watch.wrong == []


# -- how the fleet is


@given(parsers.re(r"a fleet of (?P<servers>\d+) servers(, | with | that | whose | broken | )?(?P<rest>.*)"))
def fleet(story: Story, servers: str, rest: str) -> None:
    wanted = {
        r"keeps (\d+) versions": "keep_versions",
        r"retires versions after (\d+) seconds": "retire_after_s",
        r"budget of (\d+) moves": "migrations_per_s",
        r"waits (\d+) second for runs": "handover_timeout_s",
        r"room for (\d+) sessions": "max_sessions",
        r"sessions end after (\d+) idle": "idle_timeout_s",
    }
    matches = {name: re.search(pattern, rest) for pattern, name in wanted.items()}
    settings: dict[str, Any] = {name: int(match[1]) for name, match in matches.items() if match}
    if variant := re.search(r'by "([a-z-]+)"', rest):
        settings["faulty_variant"] = variant[1]
    if "faulty_variant" in settings or "whole" in rest:
        settings["migrations_per_s"] = 1.0
    kiosks = re.search(r"(\d+) kiosks in service", rest)
    lossy = "loses a third" in rest
    assert settings or kiosks or lossy or not rest, rest
    kind = ReplicaWorld if "on replicas" in rest else World
    story.begin(int(servers), int(kiosks[1]) if kiosks else 0, kind, **settings)
    story.world.lose_answers = 1 / 3 if lossy else 0.0
    if "migrations_per_s" in settings and settings["migrations_per_s"] == 1.0:
        story.world.run_takes = lambda: 2.5  # runs so long that a second owner is sure to meet one


@given(parsers.parse("a labelled run of {span:g} seconds is under way at the owner of kiosk {place:d}"))
@given(parsers.parse("a labelled run of {span:g} second is under way at the owner of kiosk {place:d}"))
def long_run(story: Story, span: float, place: int) -> None:
    kiosk, takes = story.kiosks[place], story.world.run_takes
    story.world.run(0.5)
    story.world.run_takes = lambda: span
    story.long_run = story.world.bring(story.world.owner(kiosk), kiosk, Idempotency.KEYED, "pay")
    story.world.run(0.1)
    assert story.long_run.ran_at == story.world.owner(kiosk)
    story.world.run_takes = takes


@given(parsers.parse("server {name} was killed and its sessions have moved"))
def killed_and_moved(story: Story, name: str) -> None:
    story.world.kill(name)
    story.go_on(9.0)
    assert story.moves
    story.mark()


@given("every link loses one message in five and doubles another")
def lossy(story: Story) -> None:
    names = story.world.alive
    for sender in names:
        for to in names:
            link = story.world.fleet.link(sender, to)
            link.drop = link.double = 0.2


# -- what happens


@when(parsers.re(r"the kiosks go on for (?P<span>[\d.]+) seconds?"))
def go_on(story: Story, span: str) -> None:
    story.go_on(float(span))


@when(parsers.parse("the kiosks are silent for {span:g} seconds"))
def silent(story: Story, span: float) -> None:
    story.world.run(span)


@when(parsers.re(r"version (?P<version>\d+) becomes active(?P<mandatory> and is mandatory)?"))
def bump(story: Story, version: str, mandatory: str | None) -> None:
    story.world.bump(int(version), mandatory=bool(mandatory))
    story.world.run(0.1)


@when(parsers.parse("{count:d} more kiosks come into service"))
def more(story: Story, count: int) -> None:
    story.more(count)


@when(parsers.parse("the first tickets of {count:d} kiosks come to all servers at once"))
def at_once(story: Story, count: int) -> None:
    for place in range(count):
        story.kiosks.append(f"kiosk-{place}")
        for name in story.world.alive:
            story.world.bring(name, story.kiosks[-1], Idempotency.KEYED, "pay")
    story.go_on(2.0)


@when(parsers.parse("server {name} is told to leave within {grace:g} seconds"))
def leave(story: Story, name: str, grace: float) -> None:
    story.world.leave(name, grace)


@when(parsers.parse("the owner of kiosk {place:d} is told to leave within {grace:g} seconds"))
def owner_leaves(story: Story, place: int, grace: float) -> None:
    story.world.leave(story.world.owner(story.kiosks[place]), grace)


@when(parsers.parse("every server in turn leaves within {grace:g} seconds and comes back"))
def rolling(story: Story, grace: float) -> None:
    for name in story.world.alive:
        story.world.leave(name, grace)
        story.go_on(grace + 0.5)
        story.world.start(name)
        story.go_on(1.0)


@when(parsers.parse("server {name} is killed"))
def kill(story: Story, name: str) -> None:
    story.world.kill(name)


@when(parsers.parse("server {name} comes back cold"))
def back(story: Story, name: str) -> None:
    story.world.start(name)


@when(parsers.parse("server {name} is paused for {span:g} seconds"))
def pause(story: Story, name: str, span: float) -> None:
    story.world.pause(name, span)


@when(parsers.parse("server {name} is cut off for {span:g} seconds"))
def cut_for(story: Story, name: str, span: float) -> None:
    story.world.cut_off([name], for_good=False)
    story.world.fleet.later(span, story.world.heal)


@when(parsers.parse("servers {one} and {other} are cut off"))
def cut_off(story: Story, one: str, other: str) -> None:
    story.world.cut_off([one, other])


@when(parsers.parse("the link between {one} and {other} is cut"))
def cut_link(story: Story, one: str, other: str) -> None:
    story.world.fleet.cut([one], [other])


@when("the cut is healed")
def heal(story: Story) -> None:
    story.world.heal()


@when("the register has no majority")
def no_majority(story: Story) -> None:
    story.world.no_majority = True


@when("the register has its majority again")
def majority(story: Story) -> None:
    story.world.no_majority = False


@when(parsers.re(r"servers (?P<one>\w+) and (?P<other>\w+) can no longer run the kiosks' flow"))
def incapable(story: Story, one: str, other: str) -> None:
    able = frozenset(story.world.alive) - {one, other}
    story.world.bump(1, {"pay": able})


@when("no server can run the kiosks' flow")
def nobody_able(story: Story) -> None:
    story.world.run(1.0)
    story.world.bump(1, {"pay": frozenset()})
    story.world.run(0.2)
    story.first = len(story.world.requests)


# -- what is seen


@then("no session has moved")
def none_moved(story: Story) -> None:
    assert story.moves == []


@then(parsers.parse("every session goes on under version {version:d}"))
def under(story: Story, version: int) -> None:
    assert {story.world.register.bindings[kiosk].policy_version for kiosk in story.kiosks} == {version}


@then(parsers.parse("some sessions go on under version {version:d}"))
def some_under(story: Story, version: int) -> None:
    found = Counter(story.world.register.bindings[kiosk].policy_version for kiosk in story.kiosks)
    assert 0 < found[version] < len(story.kiosks)


@then(parsers.parse("sessions under version {one:d} are {few:d} and under version {other:d} are {many:d}"))
def mixed(story: Story, one: int, few: int, other: int, many: int) -> None:
    found = Counter(story.world.register.bindings[kiosk].policy_version for kiosk in story.kiosks)
    assert found == {one: few, other: many}


@then(parsers.parse('{count:d} sessions are counted as brought for "{cause}"'))
def brought(story: Story, count: int, cause: str) -> None:
    assert story.world.count(f"brought_{cause}") == count


@then(parsers.parse("all servers run version {version:d}"))
def all_run(story: Story, version: int) -> None:
    assert {story.world.sessions(name).version for name in story.world.alive} == {version}


@then(parsers.parse("kiosk {place:d} has another owner, taken after that run had ended"))
def after_run(story: Story, place: int) -> None:
    other_owner(story, place)
    assert story.long_run is not None and story.long_run.outcome == "completed"
    assert story.world.count("passed_as_claims") == 0  # its end was waited for


@then(parsers.parse("kiosk {place:d} has another owner"))
def other_owner(story: Story, place: int) -> None:
    kiosk = story.kiosks[place]
    assert story.world.owner(kiosk) not in ("", story.owners[kiosk])


@then(parsers.parse("{count:d} run has passed on as a claim"))
def passed_on(story: Story, count: int) -> None:
    assert story.long_run is not None
    found = [note for _, _, note in story.world.notes if note.message == "session handed over with open runs"]
    assert sum(int(str(note.fields["runs"])) for note in found) == count


@then("no kiosk's ticket was denied or lost")
def none_rejected(story: Story) -> None:
    story.world.run(2.0)
    assert [request for request in story.requests if request.outcome != "completed"] == []


@then(parsers.re(r"servers? (?P<names>m\d( and m\d)?) owns? nothing"))
def owns_nothing(story: Story, names: str) -> None:
    for name in names.split(" and "):
        assert not story.world.sessions(name).owned
    assert not {story.world.owner(kiosk) for kiosk in story.kiosks} & set(names.split(" and "))


@then(parsers.re(r'only sessions of (?P<names>[m\d, and]+?) have moved(, counted as "(?P<cause>\w+)")?$'))
def only_of(story: Story, names: str, cause: str | None) -> None:
    movers = set(re.findall(r"m\d", names))
    assert story.moves and {before for _, _, before, _ in story.moves} <= movers
    if cause:
        assert set(story.causes()) == {cause}


@then("only sessions of that owner have moved")
def only_of_that(story: Story) -> None:
    assert story.long_run is not None
    assert {before for _, _, before, _ in story.moves} == {story.long_run.ran_at}


@then("every session has a number above its first, or its first owner")
def bindings_kept(story: Story) -> None:
    for kiosk in story.kiosks:
        binding = story.world.register.bindings[kiosk]
        first = next(one for _, one in story.world.register.history if one.key == kiosk)
        assert binding.fencing_number > first.fencing_number or binding.owner == first.owner
        assert binding.owner in story.world.alive


@then(parsers.parse('all sessions of {name} have moved, counted as "{cause}"'))
def all_of(story: Story, name: str, cause: str) -> None:
    mine = {kiosk for kiosk, owner in story.owners.items() if owner == name}
    assert mine and {kiosk for _, kiosk, before, _ in story.moves if before == name} == mine
    assert story.causes()[cause] == len(mine)


@then(parsers.parse('every move is counted as "{cause}"'))
def every_move(story: Story, cause: str) -> None:
    assert story.moves and story.causes() == {cause: len(story.moves)}


@then("every kiosk has an owner that serves")
def owned(story: Story) -> None:
    world = story.world
    world.heal()
    world.lose_answers = 0.0
    world.run(4.0)
    places = [story.chance.choice(world.alive) for _ in story.kiosks]
    pairs = zip(places, story.kiosks, strict=True)
    requests = [world.bring(at, kiosk, Idempotency.KEYED, "pay") for at, kiosk in pairs]
    world.run(5.0)
    assert Counter((one.outcome, one.why) for one in requests) == {("completed", "owner"): len(requests)}
    for kiosk, request in zip(story.kiosks, requests, strict=True):
        binding = world.register.bindings[kiosk]
        holders = [name for name in world.alive if kiosk in world.sessions(name).owned]
        assert binding.state is BindingState.OWNED and holders == [binding.owner] == [request.ran_at]


@then(parsers.parse("in no second more than {most:d} sessions have moved, and {more:d} more at the start"))
def paced(story: Story, most: int, more: int) -> None:
    times = sorted(when for when, *_ in story.moves)
    assert len(times) > most  # so many that it could have been broken
    for place, begun in enumerate(times):
        assert sum(1 for when in times[place:] if when < begun + 1.0) <= most + more


@then("some tickets were served elsewhere since the budget was spent")
def for_budget(story: Story) -> None:
    assert any(request.why == "budget" and request.outcome == "completed" for request in story.requests)


@then(parsers.parse("server {name} owns fewer sessions than half of what another owns"))
def few(story: Story, name: str) -> None:
    owners = Counter(story.world.owner(kiosk) for kiosk in story.kiosks)
    assert owners[name] * 2 < min(much for other, much in owners.items() if other != name)


@then("some redoable tickets were served where they came")
def served_there(story: Story) -> None:
    found = [one for one in story.requests if one.why in ("unreached", "no_majority")]
    found = [one for one in found if one.outcome == "completed"]
    assert found and all(
        one.came.idempotency is Idempotency.IDEMPOTENT and one.ran_at == one.at for one in found
    )


@then("some labelled tickets were denied, and none of them ran")
def rejected_there(story: Story) -> None:
    found = [one for one in story.requests if one.outcome == "denied"]
    assert found and all(one.came.idempotency is Idempotency.KEYED and not one.ran_at for one in found)


@then("every ticket of that time is denied")
def all_rejected(story: Story) -> None:
    story.world.run(4.0)
    assert story.requests and {request.outcome for request in story.requests} == {"denied"}


@then("no server took a session above its bound")
def in_bound(story: Story) -> None:
    world = story.world
    loads = {name: ServerLoad(len(world.sessions(name).owned)) for name in world.alive}
    most = load_bounds(loads, loads, world.settings.load_factor, world.settings.min_load_bound)
    assert sum(load.sessions for load in loads.values()) == len(story.kiosks)
    assert world.count("forced") == 0
    assert all(load.sessions <= most[name] for name, load in loads.items())


@then(parsers.parse("no server holds more than {most:d} sessions"))
def room(story: Story, most: int) -> None:
    assert all(len(story.world.sessions(name).owned) <= most for name in story.world.alive)
    assert story.world.count("forgotten") > 0


@then(parsers.parse("{count:d} sessions have ended"))
def ended(story: Story, count: int) -> None:
    assert story.world.count("ended_idle") == count


def breaches(story: Story) -> set[str]:
    found = {"two owners ran labelled work"} if story.world.watch.wrong else set()
    if [one for one in story.moves if one[2] not in ("m3", "m4")]:
        found.add("sessions moved without a cause")
    times = sorted(when for when, _, before, _ in story.moves if before == "m3")
    burst = max((sum(when < at + 1.0 for when in times[place:]) for place, at in enumerate(times)), default=0)
    if burst > story.settings["migrations_per_s"] + len(story.world.view.names):
        found.add("more moved than the budget lets")
    return found


@then(parsers.parse('it is seen that "{breach}"'))
def seen(story: Story, breach: str) -> None:
    assert breach in breaches(story)


@then("nothing is seen")
def nothing_seen(story: Story) -> None:
    assert story.moves and not breaches(story)
