"""The stories of `replication.feature`, on a fleet in memory with a simulated clock."""

from __future__ import annotations

from dataclasses import replace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sablewheel.experiments.replication_scenario import Scenario, Try, drifted
from sablewheel.replication.messages import LogEvent, ViewInstalled

scenarios("replication.feature")
NAMES = "abcde"
ORDER = {"first": 0, "second": 1, "third": 2}


class Story:
    def __init__(self) -> None:
        self.scenario = Scenario({name: f"z{name}" for name in NAMES}, settings=replace(SETTINGS))
        self.scenario.found(*NAMES)
        self.holders = self.scenario.holders("record")
        self.others = [name for name in NAMES if name not in self.holders]
        self.requests: list[Try] = []
        self.later_requests: list[Try] = []
        self.writes: list[int] = []

    def server_named(self, words: str) -> str:
        if words in NAMES:
            return words
        if words.endswith(" replica"):
            return self.holders[ORDER[words.removeprefix("the ").removesuffix(" replica")]]
        return self.others[words == "yet another server"]

    def send_record(self, at: str, takes: float = 0.05, stays: bool = True, wait: float = 0.4) -> None:
        self.requests.append(self.scenario.come(self.server_named(at), "record", takes=takes, stays=stays))
        self.scenario.fleet.run(wait)

    def restart_empty(self, *names: str) -> None:
        for name in names:
            self.scenario.fleet.crash(name)
        self.scenario.view(set(NAMES) - set(names))
        self.scenario.fleet.run(0.5)
        self.scenario.start(*names)
        self.scenario.view(NAMES)

    def send_records(self, count: int, tag: str) -> list[Try]:
        requests = [self.scenario.come(NAMES[one % 5], f"{tag}{one}") for one in range(count)]
        self.scenario.fleet.run(1.0)
        return requests


SETTINGS = Scenario({}).settings


@pytest.fixture
def story() -> Story:
    return Story()


@given("a fleet of a, b, c, d and e, each in a zone of its own")
def _fleet(story: Story) -> None:
    assert story.scenario.unready() == 0


@given("200 other records have run")
def _others(story: Story) -> None:
    assert all(one.outcome == "completed" for one in story.send_records(200, "other"))


@given("replicas that take 3 entries only")
def _small(story: Story) -> None:
    for name in NAMES:
        story.scenario.core(name).store._max_entries = 3


# -- requests


@when(parsers.re(r"the record is sent to (?P<who>(?!all).+?)(?: and takes (?P<takes>\d+) seconds?)?$"))
@when(parsers.re(r"it is retried at (?P<who>.+)$"))
def _comes(story: Story, who: str, takes: str | None = None) -> None:
    if who.endswith(" and never ends there"):
        return story.send_record(who.removesuffix(" and never ends there"), stays=False)
    story.send_record(who, float(takes or 0.05))


@when("the record is sent to all servers at one moment")
def _to_all(story: Story) -> None:
    story.requests += [story.scenario.come(name, "record") for name in NAMES]
    story.scenario.fleet.run(1.0)


@when(parsers.re(r"(?P<many>\d+) more records are sent to all servers"))
def _more(story: Story, many: str) -> None:
    story.later_requests = story.send_records(int(many), "more")


@when("a request with another key is sent to b")
def _another(story: Story) -> None:
    story.later_requests = [story.scenario.come("b", "another")]
    story.scenario.fleet.run(1.0)


@when(parsers.re(r"(?P<many>\d+) seconds? pass(es)?"))
def _pass(story: Story, many: str) -> None:
    story.scenario.fleet.run(float(many))


# -- servers


@when(parsers.re(r"(?P<who>.+) is paused for (?P<span>\d+) seconds"))
def _paused(story: Story, who: str, span: str) -> None:
    story.scenario.fleet.pause(story.server_named(who), float(span))


@when(parsers.re(r"(?P<who>.) is killed$"))
def _killed(story: Story, who: str) -> None:
    story.scenario.fleet.crash(who)


@when(parsers.re(r"(?P<who>.) starts again with an empty store"))
def _starts(story: Story, who: str) -> None:
    story.scenario.start(who)


@when(parsers.re(r"the fleet admits (?P<who>.) again"))
def _anew(story: Story, who: str) -> None:
    story.scenario.view(NAMES)
    story.scenario.fleet.run(0.5)


@when(parsers.re(r"the fleet removes (?P<who>.)"))
def _out(story: Story, who: str) -> None:
    story.scenario.view(set(NAMES) - {who})
    story.scenario.fleet.run(0.3)


@when(parsers.re(r"(?P<who>.) comes back in, as it was"))
def _in(story: Story, who: str) -> None:
    story.scenario.returns(who)
    story.scenario.view(NAMES)
    story.scenario.fleet.run(1.0)


@when(parsers.re(r"(?P<who>the .+ replica) is killed and comes back with an empty store"))
def _cold(story: Story, who: str) -> None:
    story.restart_empty(story.server_named(who))
    assert story.scenario.settle()


@when("the first and the second replica come back with an empty store at one moment")
def _two_cold(story: Story) -> None:
    story.restart_empty(*story.holders[:2])


@when("the first and the second replica leave in order at one moment")
def _two_leave(story: Story) -> None:
    story.scenario.view(set(NAMES) - set(story.holders[:2]), to=NAMES)


@when("the first and the second replica are gone at one moment")
def _two_gone(story: Story) -> None:
    for name in story.holders[:2]:
        story.scenario.fleet.crash(name)
    story.scenario.view(set(NAMES) - set(story.holders[:2]))
    story.scenario.fleet.run(0.5)


@when("the first one is started under its name again")
def _one_anew(story: Story) -> None:
    story.scenario.start(story.holders[0])
    story.scenario.view(set(NAMES) - {story.holders[1]})


@when("all servers come back with an empty store")
def _all_cold(story: Story) -> None:
    for name in NAMES:
        story.scenario.fleet.crash(name)
    story.scenario.start(*NAMES)
    story.scenario.view(NAMES)


@when("one after another leaves and comes back with an empty store")
def _one_by_one(story: Story) -> None:
    for name in NAMES:
        story.restart_empty(name)
        assert story.scenario.settle()


@when("the zone of the first replica is lost")
def _zone(story: Story) -> None:
    name = story.holders[0]
    story.scenario.fleet.crash(name)
    story.scenario.view(set(NAMES) - {name})
    story.scenario.fleet.run(0.5)


# -- links


@when(parsers.re(r"(?P<who>.) is cut off from all others"))
def _cut_off(story: Story, who: str) -> None:
    story.scenario.fleet.cut([who], set(NAMES) - {who})


@when("a zone with a and b in it is cut off")
def _cut_zone(story: Story) -> None:
    story.scenario.fleet.cut("ab", "cde")
    story.scenario.view("cde")


@when(parsers.re(r"nothing that others send reaches (?P<who>.)"))
def _deaf(story: Story, who: str) -> None:
    story.scenario.fleet.cut(set(NAMES) - {who}, [who], both=False)


@when("the cut heals")
def _heals(story: Story) -> None:
    story.scenario.fleet.heal()
    out = set(NAMES) - set(story.scenario.members)
    if out:
        story.scenario.returns(*out)
        story.scenario.view(NAMES)


@when(parsers.re(r"messages of (?P<who>.) to others need 1 second"))
def _slow(story: Story, who: str) -> None:
    for name in set(NAMES) - {who}:
        link = story.scenario.fleet.link(who, name)
        link.least, link.most = 1.0, 1.2


@when("a third of all messages is lost, and some come twice")
def _lossy(story: Story) -> None:
    for one in NAMES:
        for other in NAMES:
            link = story.scenario.fleet.link(one, other)
            link.drop, link.double = 0.33, 0.2


@when("the first replica leaves, and only the second replica hears of it for 1 second")
def _late_view(story: Story) -> None:
    gone, hears = story.holders[:2]
    rest = set(NAMES) - {gone}
    story.scenario.fleet.crash(gone)
    story.scenario.view(rest, to=[hears])
    story.scenario.fleet.later(1.0, lambda: story.scenario.tell_view(rest - {hears}))


@when("the first replica comes back with an empty store, and is cut off in the middle of its catch-up")
def _cut_catching_up(story: Story) -> None:
    name = story.holders[0]
    story.scenario.settings = replace(story.scenario.settings, batch_size=4)
    story.restart_empty(name)
    core = story.scenario.core(name)
    assert story.scenario.fleet.run_until(lambda: core.counts["entries_in"] > 8, 2.0)
    assert core.ranges.unready
    story.scenario.fleet.cut([name], set(NAMES) - {name})


@when("one replica loses the record's entry")
def _loses(story: Story) -> None:
    core = story.scenario.core(story.holders[1])
    core.store.drop(core.slot_of(b"record"))


@when("one replica has an outcome that nobody else knows")
def _drifts(story: Story) -> None:
    core = story.scenario.core(story.holders[1])
    held = story.scenario.held(core.name, "record")
    assert held is not None
    until = story.scenario.fleet.now + 8
    core.store.accept(core.slot_of(b"record"), ("labels", b"record"), drifted(held, "z"), until)


# -- sessions


@when(parsers.re(r"server (?P<who>.) (?:binds the session|moves it) at number (?P<number>\d)"))
def _moves(story: Story, who: str, number: str) -> None:
    story.writes.append(story.scenario.write(who, "sessions", "session", int(number), who.encode()))
    story.scenario.answer(story.writes[-1])


@when(parsers.re(r"a record of that session is sent to (?P<who>.) under number (?P<number>\d)"))
def _under(story: Story, who: str, number: str) -> None:
    story.scenario.group = lambda idempotency_key: b"session"
    story.later_requests = [story.scenario.come(who, "of the session", under=int(number))]
    story.scenario.fleet.run(1.0)


# -- what must be so


@then("the record ran once, and all waiting requests got its answer")
def _same(story: Story) -> None:
    assert story.scenario.runs["record"] == 1 and not story.scenario.wrong()
    assert [one.outcome for one in story.requests if one.outcome != "denied"], story.requests
    for one in story.requests:
        assert one.outcome == "denied" or one.result == story.scenario.results["record"], one
    assert story.requests[-1].outcome == "completed"


@then("the record ran once, and the last request got its answer")
def _last(story: Story) -> None:
    assert story.scenario.runs["record"] == 1
    assert (story.requests[-1].outcome, story.requests[-1].result) == (
        "completed",
        story.scenario.results["record"],
    )


@then("the record ran once")
def _once(story: Story) -> None:
    assert story.scenario.runs["record"] == 1 and not story.scenario.wrong(), story.scenario.wrong()


@then("the record ran at most once")
def _at_most_once(story: Story) -> None:
    assert not story.scenario.wrong(), story.scenario.wrong()
    assert all(one.result in (b"", story.scenario.results.get("record")) for one in story.requests)


@then("the record never ran")
def _never(story: Story) -> None:
    assert story.scenario.runs["record"] == 0


@then("the record ran twice, the second time on purpose")
def _twice(story: Story) -> None:
    assert story.scenario.runs["record"] == 2 and len(story.scenario.ran_by["record"]) == 2


@then("the last request failed, and was not rejected")
def _error(story: Story) -> None:
    assert story.requests[-1].outcome == "terminated"


@then("the last request was rejected, or got the answer")
def _rejected(story: Story) -> None:
    one = story.requests[-1]
    assert one.outcome == "denied" or one.result == story.scenario.results["record"], one


@then("that other one was completed")
def _other(story: Story) -> None:
    assert [one.outcome for one in story.later_requests] == ["completed"]


@then("every server is ready again for all its ranges")
def _ready(story: Story) -> None:
    assert story.scenario.settle(3.0), story.scenario.unready()


@then("the cut-off one is not ready yet")
def _not_yet(story: Story) -> None:
    core = story.scenario.core(story.holders[0])
    assert core.ranges.unready and not core.is_ready(max(core.ranges.unready))


@then("each of these ran once")
def _each_once(story: Story) -> None:
    assert [one for one in story.later_requests if one.outcome == "completed"] == story.later_requests
    assert all(story.scenario.runs[one.idempotency_key] == 1 for one in story.later_requests)


@then("each of these ran at most once, and some were rejected")
def _some_rejected(story: Story) -> None:
    verdicts = {one.outcome for one in story.later_requests}
    assert "denied" in verdicts and not story.scenario.wrong()
    assert all(
        story.scenario.runs[one.idempotency_key] == (one.outcome == "completed")
        for one in story.later_requests
    )


@then("every replica has the record's outcome")
def _repaired(story: Story) -> None:
    for name in story.holders:
        held = story.scenario.held(name, "record")
        assert held is not None and held.outcomes[0].result == story.scenario.results["record"]


@then("both outcomes are on every replica, and were logged with their evidence")
def _both(story: Story) -> None:
    held = {story.scenario.held(name, "record") for name in story.holders}
    assert {len(one.outcomes) for one in held if one is not None} == {2}
    told = [note for _, _, note in story.scenario.notes if note.event is LogEvent.CONFLICTING_OUTCOMES]
    assert told and all("worked" in str(note.fields["outcomes"]) for note in told)


@then("a retry is not run")
def _again(story: Story) -> None:
    story.send_record("another server")
    assert story.scenario.runs["record"] == 1 and story.requests[-1].outcome == "completed"


@then("it took no entry")
def _took_none(story: Story) -> None:
    assert story.scenario.core(story.holders[0]).counts["entries_in"] == 0


@then("the moves were won, won and stale")
def _told(story: Story) -> None:
    assert [story.scenario.answers[ref].status for ref in story.writes] == ["won", "won", "stale"]


@then("that record was rejected, and never ran")
def _fenced(story: Story) -> None:
    assert story.later_requests[0].outcome == "denied" and not story.scenario.runs["of the session"]


def test_the_stories_see_a_view() -> None:
    assert isinstance(Scenario({"a": "z"}).view("a", to=[]), ViewInstalled)
