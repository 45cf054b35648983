"""Membership as operators see it: real membership nodes in a simulated network, reproducible by seed."""

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
    started_at: float = 0.0  # time of the scenario's first change
    healed_at: float = 0.0  # end of its pause or partition
    affected: set[str] = field(default_factory=set)
    incarnations_before: dict[str, int] = field(default_factory=dict)

    @property
    def running(self) -> list[str]:
        return [name for name in self.net.nodes if name not in self.net.dead]

    def changes(self, kind: str, since: float) -> dict[int, set[str]]:
        """By epoch, the members removed (or added) by the views that were decided at or after `since`."""
        changes_by_epoch: dict[int, set[str]] = {}
        for logged_at, _, note in self.net.notes:
            names = re.findall(rf"\b{kind}:(\w+)@", str(note.fields.get("changes", "")))
            if note.message == "view" and logged_at >= since and names:
                changes_by_epoch[int(str(note.fields["epoch"]))] = set(names)
        return changes_by_epoch

    def member_lists(self, names: list[str]) -> set[tuple[str, ...]]:
        return {self.net.nodes[name].members for name in names}


def names_in(text: str) -> list[str]:
    return re.findall(r"s\d+", text)


@given(parsers.parse("a fleet of {server_count:d} servers"), target_fixture="story")
def fleet(server_count: int) -> Story:
    net = Net(Settings(), seed=server_count)
    for index in range(server_count):
        net.add(f"s{index}", metadata=(("link", f"10.0.0.{index}:7800"),))
        net.run(net.now + 0.3)
    net.run(net.now + 20.0)
    story = Story(net, net.now)
    assert story.member_lists(story.running) == {tuple(sorted(net.nodes))}
    story.incarnations_before = {name: node.local_member.incarnation for name, node in net.nodes.items()}
    return story


# -- events


@when(parsers.parse("{name} crashes"))
def crash_server(story: Story, name: str) -> None:
    story.net.kill(name)
    story.affected.add(name)


@when(parsers.re(r"(?P<name>s\d+) restarts with its clock (?P<clock_shift_s>-?\d+) seconds off"))
def restart_server(story: Story, name: str, clock_shift_s: str) -> None:
    story.net.restart(name, float(clock_shift_s))


@when(parsers.parse("{duration_s:d} seconds pass"))
def let_time_pass(story: Story, duration_s: int) -> None:
    story.net.run(story.net.now + duration_s)


@when(parsers.re(r"(?P<servers>s\d+.*) (is|are) paused for (?P<duration_s>\d+) seconds"))
def pause_servers(story: Story, servers: str, duration_s: str) -> None:
    story.net.stopped |= {name: story.net.now + float(duration_s) for name in names_in(servers)}
    story.healed_at = story.net.now + float(duration_s)
    story.affected |= set(names_in(servers))


@when(parsers.parse("all are paused for {duration_s:d} seconds and resume over {resume_spread_s:d} seconds"))
def pause_all(story: Story, duration_s: int, resume_spread_s: int) -> None:
    rng = random.Random(story.net.seed)
    story.net.stopped = {
        name: story.net.now + duration_s + rng.uniform(0, resume_spread_s) for name in story.net.nodes
    }


@when(parsers.re(r"(?P<servers>s\d+.*) are partitioned"))
def partition(story: Story, servers: str) -> None:
    partitioned = names_in(servers)
    others = [name for name in story.net.nodes if name not in partitioned]
    story.net.cut = {(a, b) for a in partitioned for b in others} | {
        (b, a) for a in partitioned for b in others
    }
    story.affected |= set(partitioned)


@when("the partition heals")
def heal_partition(story: Story) -> None:
    story.net.cut, story.healed_at = set(), story.net.now


@when(parsers.re(r"(?P<sender>s\d+) can no longer send to (?P<recipient>s\d+)"))
def one_way_partition(story: Story, sender: str, recipient: str) -> None:
    story.net.cut = {(sender, recipient)}


@when(parsers.parse("the link between {a} and {b} flaps {flap_count:d} times, every {interval_s:d} seconds"))
def flap_link(story: Story, a: str, b: str, flap_count: int, interval_s: int) -> None:
    for _ in range(flap_count):
        story.net.cut ^= {(a, b), (b, a)}
        story.net.run(story.net.now + interval_s)
    story.net.cut = set()


@when(parsers.parse("{percent:d} percent of all messages are lost"))
def lose_messages(story: Story, percent: int) -> None:
    story.net.loss = percent / 100


@when(parsers.re(r"(?P<name>s\d+) is asked to leave"))
def request_leave(story: Story, name: str) -> None:
    for effect in story.net.nodes[name].step(story.net.now, LeaveRequested()):
        if isinstance(effect, Send):
            story.net._carry(name, effect)
    story.net.kill(name)  # its retransmissions are lost, so the first announcement must suffice
    story.affected.add(name)


# -- expectations


@then(
    parsers.re(
        r"within (?P<timeout_s>\d+) seconds (?P<servers>s\d+.*) (is|are) removed on all, "
        r"in (?P<count>\d+) changes?"
    )
)
def removed_within(story: Story, timeout_s: str, servers: str, count: str) -> None:
    story.net.run(story.net.now + float(timeout_s))
    removed(story, servers, count)


@then(parsers.re(r"(?P<servers>s\d+.*) (is|are) removed on all( others)?, in (?P<count>\d+) changes?"))
def removed(story: Story, servers: str, count: str) -> None:
    removed_names = set(names_in(servers))
    remaining = [name for name in story.running if name not in removed_names]
    assert story.member_lists(remaining) == {tuple(sorted(remaining))}
    assert len(story.changes("remove", story.started_at)) == int(count)


@then("nobody else was removed")
def nobody_else_removed(story: Story) -> None:
    assert set().union(*story.changes("remove", story.started_at).values()) <= story.affected


@then(parsers.re(r"nobody else was removed but (?P<servers>s\d+.*)"))
def nobody_else_removed_but(story: Story, servers: str) -> None:
    assert set().union(*story.changes("remove", story.started_at).values()) <= set(names_in(servers))


@then("the list did not change")
def unchanged(story: Story) -> None:
    changed_at_most(story, 0)
    assert story.member_lists(story.running) == {tuple(sorted(story.net.nodes))}


@then(parsers.parse("the list changed at most {max_changes:d} time"))
def changed_at_most(story: Story, max_changes: int) -> None:
    epochs = {node.view.epoch for node in story.net.nodes.values() if node.view is not None}
    changed_epochs = (
        story.changes("remove", story.started_at).keys() | story.changes("join", story.started_at).keys()
    )
    assert len(changed_epochs) <= max_changes and len(epochs) == 1


@then(parsers.parse("within {timeout_s:d} seconds all agree on {server_count:d} servers"))
def agree_within(story: Story, timeout_s: int, server_count: int) -> None:
    story.net.run(story.net.now + timeout_s)
    agree(story, server_count)


@then(parsers.parse("all agree on {server_count:d} servers"))
def agree(story: Story, server_count: int) -> None:
    agree_on_one(story)
    assert {len(members) for members in story.member_lists(story.running)} == {server_count}


@then("all agree on one list")
def agree_on_one(story: Story) -> None:
    assert len({story.net.nodes[name].view for name in story.running}) == 1


@then(parsers.re(r"they rejoined in at most (?P<max_changes>\d+) changes?"))
def rejoined(story: Story, max_changes: str) -> None:
    assert 1 <= len(story.changes("join", story.healed_at)) <= int(max_changes)


@then(parsers.re(r"(?P<servers>s\d+.*) still list (?P<server_count>\d+) servers"))
def still_list(story: Story, servers: str, server_count: str) -> None:
    assert {len(members) for members in story.member_lists(names_in(servers))} == {int(server_count)}


@then(parsers.re(r"(?P<name>s\d+) has a higher incarnation than before"))
def has_higher_incarnation(story: Story, name: str) -> None:
    for node in story.net.nodes.values():
        member = node.view.get(name) if node.view is not None else None
        assert member is not None and member.incarnation > story.incarnations_before[name]


@then("all list the address metadata of each")
def list_address_metadata(story: Story) -> None:
    for node in story.net.nodes.values():
        assert node.view is not None
        for member in node.view.members:
            assert member.metadata_value("link") == f"10.0.0.{member.name.removeprefix('s')}:7800"


def test_the_steps_fail_for_a_faulty_variant() -> None:
    """The steps fail for a faulty variant that removes members one at a time."""
    net = Net(Settings(injected_fault="one-at-a-time"), seed=8)
    for index in range(8):
        net.add(f"s{index}")
        net.run(net.now + 0.3)
    net.run(net.now + 20.0)
    story = Story(net, net.now)
    partition(story, "s1, s4 and s6")
    let_time_pass(story, 25)
    with pytest.raises(AssertionError):
        removed(story, "s1, s4 and s6", "1")
    with pytest.raises(AssertionError):
        unchanged(story)
