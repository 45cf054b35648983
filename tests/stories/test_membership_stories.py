"""Membership as operators see it: the real decisions in a simulated network, reproducible by seed."""

from __future__ import annotations

import random
import re
from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sablewheel.experiments.simulated_network import Net
from sablewheel.membership.events import LeaveRequested, Send
from sablewheel.membership.plan import Settings

scenarios("membership.feature")


@dataclass
class Story:
    net: Net
    since: float = 0.0  # start of the scenario's change
    healed: float = 0.0
    affected: set[str] = field(default_factory=set)
    was: dict[str, int] = field(default_factory=dict)

    @property
    def running(self) -> list[str]:
        return [name for name in self.net.nodes if name not in self.net.dead]

    def changes(self, kind: str, since: float) -> dict[int, set[str]]:
        """By epoch, who was taken out (or let in) by the views that were decided since then."""
        found: dict[int, set[str]] = {}
        for at, _, note in self.net.notes:
            names = re.findall(rf"\b{kind}:(\w+)@", str(note.fields.get("changes", "")))
            if note.message == "view" and at >= since and names:
                found[int(str(note.fields["epoch"]))] = set(names)
        return found

    def hold(self, among: list[str]) -> set[tuple[str, ...]]:
        return {self.net.nodes[name].members for name in among}


def names_in(text: str) -> list[str]:
    return re.findall(r"s\d+", text)


@given(parsers.parse("a fleet of {n:d} servers"), target_fixture="story")
def fleet(n: int) -> Story:
    net = Net(Settings(), seed=n)
    for place in range(n):
        net.add(f"s{place}", metadata=(("link", f"10.0.0.{place}:7800"),))
        net.run(net.now + 0.3)
    net.run(net.now + 20.0)
    story = Story(net, net.now)
    assert story.hold(story.running) == {tuple(sorted(net.nodes))}
    story.was = {name: node.local_member.incarnation for name, node in net.nodes.items()}
    return story


# -- what happens


@when(parsers.parse("{name} crashes"))
def crashes(story: Story, name: str) -> None:
    story.net.kill(name)
    story.affected.add(name)


@when(parsers.re(r"(?P<name>s\d+) restarts with its clock (?P<off>-?\d+) seconds off"))
def starts_again(story: Story, name: str, off: str) -> None:
    story.net.restart(name, float(off))


@when(parsers.parse("{span:d} seconds pass"))
def let_time_pass(story: Story, span: int) -> None:
    story.net.run(story.net.now + span)


@when(parsers.re(r"(?P<who>s\d+.*) (is|are) paused for (?P<span>\d+) seconds"))
def pause_servers(story: Story, who: str, span: str) -> None:
    story.net.stopped |= {name: story.net.now + float(span) for name in names_in(who)}
    story.healed = story.net.now + float(span)
    story.affected |= set(names_in(who))


@when(parsers.parse("all are paused for {span:d} seconds and resume over {spread:d} seconds"))
def pause_all(story: Story, span: int, spread: int) -> None:
    chance = random.Random(story.net.seed)
    story.net.stopped = {name: story.net.now + span + chance.uniform(0, spread) for name in story.net.nodes}


@when(parsers.re(r"(?P<who>s\d+.*) are partitioned"))
def partition(story: Story, who: str) -> None:
    some = names_in(who)
    rest = [name for name in story.net.nodes if name not in some]
    story.net.cut = {(a, b) for a in some for b in rest} | {(b, a) for a in some for b in rest}
    story.affected |= set(some)


@when("the partition heals")
def heal_partition(story: Story) -> None:
    story.net.cut, story.healed = set(), story.net.now


@when(parsers.re(r"(?P<one>s\d+) can no longer send to (?P<other>s\d+)"))
def one_way_partition(story: Story, one: str, other: str) -> None:
    story.net.cut = {(one, other)}


@when(parsers.parse("the link between {a} and {b} flaps {n:d} times, every {span:d} seconds"))
def flap_link(story: Story, a: str, b: str, n: int, span: int) -> None:
    for _ in range(n):
        story.net.cut ^= {(a, b), (b, a)}
        story.net.run(story.net.now + span)
    story.net.cut = set()


@when(parsers.parse("{percent:d} percent of all messages are lost"))
def lose_messages(story: Story, percent: int) -> None:
    story.net.loss = percent / 100


@when(parsers.re(r"(?P<name>s\d+) is told to leave"))
def request_leave(story: Story, name: str) -> None:
    for effect in story.net.nodes[name].step(story.net.now, LeaveRequested()):
        if isinstance(effect, Send):
            story.net._carry(name, effect)
    story.net.kill(name)  # its retransmissions are lost: the first announcement must do
    story.affected.add(name)


# -- what is seen


@then(
    parsers.re(
        r"within (?P<span>\d+) seconds (?P<who>s\d+.*) (is|are) removed on all, in (?P<n>\d+) changes?"
    )
)
def removed_within(story: Story, span: str, who: str, n: str) -> None:
    story.net.run(story.net.now + float(span))
    removed(story, who, n)


@then(parsers.re(r"(?P<who>s\d+.*) (is|are) removed on all( others)?, in (?P<n>\d+) changes?"))
def removed(story: Story, who: str, n: str) -> None:
    gone = set(names_in(who))
    left = [name for name in story.running if name not in gone]
    assert story.hold(left) == {tuple(sorted(left))}
    assert len(story.changes("remove", story.since)) == int(n)


@then("nobody else was removed")
def nobody_else_removed(story: Story) -> None:
    assert set().union(*story.changes("remove", story.since).values()) <= story.affected


@then(parsers.re(r"nobody else was removed but (?P<who>s\d+.*)"))
def nobody_else_removed_but(story: Story, who: str) -> None:
    assert set().union(*story.changes("remove", story.since).values()) <= set(names_in(who))


@then("the list did not change")
def unchanged(story: Story) -> None:
    changed_at_most(story, 0)
    assert story.hold(story.running) == {tuple(sorted(story.net.nodes))}


@then(parsers.parse("the list changed at most {n:d} time"))
def changed_at_most(story: Story, n: int) -> None:
    epochs = {node.view.epoch for node in story.net.nodes.values() if node.view is not None}
    changed = story.changes("remove", story.since).keys() | story.changes("join", story.since).keys()
    assert len(changed) <= n and len(epochs) == 1


@then(parsers.parse("within {span:d} seconds all agree on {n:d} servers"))
def agree_within(story: Story, span: int, n: int) -> None:
    story.net.run(story.net.now + span)
    agree(story, n)


@then(parsers.parse("all agree on {n:d} servers"))
def agree(story: Story, n: int) -> None:
    agree_on_one(story)
    assert {len(members) for members in story.hold(story.running)} == {n}


@then("all agree on one list")
def agree_on_one(story: Story) -> None:
    assert len({story.net.nodes[name].view for name in story.running}) == 1


@then(parsers.re(r"they rejoined in at most (?P<n>\d+) changes?"))
def came_back(story: Story, n: str) -> None:
    assert 1 <= len(story.changes("join", story.healed)) <= int(n)


@then(parsers.re(r"(?P<who>s\d+.*) still list (?P<n>\d+) servers"))
def still_hold(story: Story, who: str, n: str) -> None:
    assert {len(members) for members in story.hold(names_in(who))} == {int(n)}


@then(parsers.re(r"(?P<name>s\d+) has a higher incarnation than before"))
def newer(story: Story, name: str) -> None:
    for node in story.net.nodes.values():
        member = node.view.get(name) if node.view is not None else None
        assert member is not None and member.incarnation > story.was[name]


@then("all know the address metadata of each")
def know_links(story: Story) -> None:
    for node in story.net.nodes.values():
        assert node.view is not None
        for member in node.view.members:
            assert member.metadata_value("link") == f"10.0.0.{member.name.removeprefix('s')}:7800"


def test_the_steps_fail_for_a_faulty_variant() -> None:
    """The steps fail for a faulty variant that removes members one at a time."""
    broken = Net(Settings(injected_fault="one-at-a-time"), seed=8)
    for place in range(8):
        broken.add(f"s{place}")
        broken.run(broken.now + 0.3)
    broken.run(broken.now + 20.0)
    story = Story(broken, broken.now)
    partition(story, "s1, s4 and s6")
    let_time_pass(story, 25)
    with pytest.raises(AssertionError):
        removed(story, "s1, s4 and s6", "1")
    with pytest.raises(AssertionError):
        unchanged(story)
