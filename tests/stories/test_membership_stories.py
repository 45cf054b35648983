"""Membership in its operators' words: real decisions, a made network, made clocks; one seed, one story."""

from __future__ import annotations

import random
import re
from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sablewheel.experiments.made_net import Net
from sablewheel.membership.events import LeaveRequested, Send
from sablewheel.membership.plan import Settings

scenarios("membership.feature")


@dataclass
class Story:
    net: Net
    since: float = 0.0  # the change that is told of began here
    healed: float = 0.0
    hurt: set[str] = field(default_factory=set)
    was: dict[str, int] = field(default_factory=dict)

    @property
    def living(self) -> list[str]:
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
        net.add(f"s{place}", says=(("link", f"10.0.0.{place}:7800"),))
        net.run(net.now + 0.3)
    net.run(net.now + 20.0)
    story = Story(net, net.now)
    assert story.hold(story.living) == {tuple(sorted(net.nodes))}
    story.was = {name: node.local_member.incarnation for name, node in net.nodes.items()}
    return story


# -- what happens


@when(parsers.parse("{name} crashes"))
def crashes(story: Story, name: str) -> None:
    story.net.kill(name)
    story.hurt.add(name)


@when(parsers.re(r"(?P<name>s\d+) starts again, its clock (?P<off>-?\d+) seconds off"))
def starts_again(story: Story, name: str, off: str) -> None:
    story.net.restart(name, float(off))


@when(parsers.parse("{span:d} seconds pass"))
def pass_by(story: Story, span: int) -> None:
    story.net.run(story.net.now + span)


@when(parsers.re(r"(?P<who>s\d+.*) stands? still for (?P<span>\d+) seconds"))
def stand_still(story: Story, who: str, span: str) -> None:
    story.net.stopped |= {name: story.net.now + float(span) for name in names_in(who)}
    story.healed = story.net.now + float(span)
    story.hurt |= set(names_in(who))


@when(parsers.parse("all stand still for {span:d} seconds and go on over {spread:d} seconds"))
def stall(story: Story, span: int, spread: int) -> None:
    chance = random.Random(story.net.seed)
    story.net.stopped = {name: story.net.now + span + chance.uniform(0, spread) for name in story.net.nodes}


@when(parsers.re(r"(?P<who>s\d+.*) are cut off"))
def cut_off(story: Story, who: str) -> None:
    some = names_in(who)
    rest = [name for name in story.net.nodes if name not in some]
    story.net.cut = {(a, b) for a in some for b in rest} | {(b, a) for a in some for b in rest}
    story.hurt |= set(some)


@when("the cut heals")
def heals(story: Story) -> None:
    story.net.cut, story.healed = set(), story.net.now


@when(parsers.re(r"(?P<one>s\d+) is no longer heard by (?P<other>s\d+)"))
def one_way(story: Story, one: str, other: str) -> None:
    story.net.cut = {(one, other)}


@when(parsers.parse("the link between {a} and {b} flips {n:d} times, every {span:d} seconds"))
def flips(story: Story, a: str, b: str, n: int, span: int) -> None:
    for _ in range(n):
        story.net.cut ^= {(a, b), (b, a)}
        story.net.run(story.net.now + span)
    story.net.cut = set()


@when(parsers.parse("{percent:d} percent of all messages are lost"))
def lossy(story: Story, percent: int) -> None:
    story.net.loss = percent / 100


@when(parsers.re(r"(?P<name>s\d+) is told to leave"))
def told_to_leave(story: Story, name: str) -> None:
    for effect in story.net.nodes[name].step(story.net.now, LeaveRequested()):
        if isinstance(effect, Send):
            story.net._carry(name, effect)
    story.net.kill(name)  # what it still says later is lost: the first word must do
    story.hurt.add(name)


# -- what is seen


@then(parsers.re(r"within (?P<span>\d+) seconds (?P<who>s\d+.*) (is|are) out on all, in (?P<n>\d+) changes?"))
def out_within(story: Story, span: str, who: str, n: str) -> None:
    story.net.run(story.net.now + float(span))
    out(story, who, n)


@then(parsers.re(r"(?P<who>s\d+.*) (is|are) out on all( others)?, in (?P<n>\d+) changes?"))
def out(story: Story, who: str, n: str) -> None:
    gone = set(names_in(who))
    left = [name for name in story.living if name not in gone]
    assert story.hold(left) == {tuple(sorted(left))}
    assert len(story.changes("remove", story.since)) == int(n)


@then("nobody else was taken out")
def nobody_else(story: Story) -> None:
    assert set().union(*story.changes("remove", story.since).values()) <= story.hurt


@then(parsers.re(r"nobody else was taken out but (?P<who>s\d+.*)"))
def nobody_but(story: Story, who: str) -> None:
    assert set().union(*story.changes("remove", story.since).values()) <= set(names_in(who))


@then("the list did not change")
def unchanged(story: Story) -> None:
    changed_at_most(story, 0)
    assert story.hold(story.living) == {tuple(sorted(story.net.nodes))}


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
    assert {len(members) for members in story.hold(story.living)} == {n}


@then("all agree on one list")
def agree_on_one(story: Story) -> None:
    assert len({story.net.nodes[name].view for name in story.living}) == 1


@then(parsers.re(r"they came back in at most (?P<n>\d+) changes?"))
def came_back(story: Story, n: str) -> None:
    assert 1 <= len(story.changes("join", story.healed)) <= int(n)


@then(parsers.re(r"(?P<who>s\d+.*) still hold (?P<n>\d+) servers"))
def still_hold(story: Story, who: str, n: str) -> None:
    assert {len(members) for members in story.hold(names_in(who))} == {int(n)}


@then(parsers.re(r"(?P<name>s\d+) is newer than it was"))
def newer(story: Story, name: str) -> None:
    for node in story.net.nodes.values():
        member = node.view.get(name) if node.view is not None else None
        assert member is not None and member.incarnation > story.was[name]


@then("all know the link of each")
def know_links(story: Story) -> None:
    for node in story.net.nodes.values():
        assert node.view is not None
        for member in node.view.members:
            assert member.metadata_value("link") == f"10.0.0.{member.name.removeprefix('s')}:7800"


def test_stories_fail_where_a_part_is_broken() -> None:
    """The checks can fail: those who are cut off together go apart where cuts do not wait for each other."""
    broken = Net(Settings(injected_fault="one-at-a-time"), seed=8)
    for place in range(8):
        broken.add(f"s{place}")
        broken.run(broken.now + 0.3)
    broken.run(broken.now + 20.0)
    story = Story(broken, broken.now)
    cut_off(story, "s1, s4 and s6")
    pass_by(story, 25)
    with pytest.raises(AssertionError):
        out(story, "s1, s4 and s6", "1")
    with pytest.raises(AssertionError):
        unchanged(story)
