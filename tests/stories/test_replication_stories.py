"""The scenarios of `replication.feature`, on a simulated fleet in memory with a simulated clock."""

from __future__ import annotations

from dataclasses import replace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sablewheel.experiments.replication_scenario import KeyedRequest, Scenario, diverged_copy
from sablewheel.replication.messages import LogEvent, ViewInstalled

scenarios("replication.feature")
NAMES = "abcde"
ORDER = {"first": 0, "second": 1, "third": 2}


class Story:
    def __init__(self) -> None:
        self.scenario = Scenario({name: f"z{name}" for name in NAMES}, settings=replace(SETTINGS))
        self.scenario.form_fleet(*NAMES)
        self.replicas = self.scenario.replica_names("record")
        self.others = [name for name in NAMES if name not in self.replicas]
        self.requests: list[KeyedRequest] = []
        self.later_requests: list[KeyedRequest] = []
        self.writes: list[int] = []

    def server_named(self, description: str) -> str:
        if description in NAMES:
            return description
        if description.endswith(" replica"):
            return self.replicas[ORDER[description.removeprefix("the ").removesuffix(" replica")]]
        return self.others[description == "yet another server"]

    def send_request(
        self, server: str, run_time_s: float = 0.05, completes: bool = True, wait_s: float = 0.4
    ) -> None:
        self.requests.append(
            self.scenario.submit(self.server_named(server), "record", run_s=run_time_s, completes=completes)
        )
        self.scenario.fleet.run(wait_s)

    def restart_empty(self, *names: str) -> None:
        for name in names:
            self.scenario.fleet.crash(name)
        self.scenario.install_view(set(NAMES) - set(names))
        self.scenario.fleet.run(0.5)
        self.scenario.start(*names)
        self.scenario.install_view(NAMES)

    def send_other_requests(self, count: int, prefix: str) -> list[KeyedRequest]:
        requests = [self.scenario.submit(NAMES[index % 5], f"{prefix}{index}") for index in range(count)]
        self.scenario.fleet.run(1.0)
        return requests


SETTINGS = Scenario({}).settings


@pytest.fixture
def story() -> Story:
    return Story()


@given("a fleet of servers a, b, c, d and e, each in its own zone")
def _fleet_is_ready(story: Story) -> None:
    assert story.scenario.unready_range_count() == 0


@given("200 other requests have run")
def _other_requests_have_run(story: Story) -> None:
    assert all(request.outcome == "completed" for request in story.send_other_requests(200, "other"))


@given("replicas with a capacity of 3 entries")
def _limit_capacity(story: Story) -> None:
    for name in NAMES:
        story.scenario.replica(name).store._max_entries = 3


# -- requests


@when(
    parsers.re(r"the request is sent to (?P<server>(?!all).+?)(?: and takes (?P<run_time_s>\d+) seconds?)?$")
)
@when(parsers.re(r"it is retried at (?P<server>.+)$"))
def _send_request(story: Story, server: str, run_time_s: str | None = None) -> None:
    if server.endswith(" and never completes there"):
        return story.send_request(server.removesuffix(" and never completes there"), completes=False)
    story.send_request(server, float(run_time_s or 0.05))


@when("the request is sent to all servers at the same time")
def _send_request_to_all(story: Story) -> None:
    story.requests += [story.scenario.submit(name, "record") for name in NAMES]
    story.scenario.fleet.run(1.0)


@when(parsers.re(r"(?P<count>\d+) more requests are sent to all servers"))
def _send_more_requests(story: Story, count: str) -> None:
    story.later_requests = story.send_other_requests(int(count), "more")


@when("a request with another key is sent to b")
def _send_request_with_other_key(story: Story) -> None:
    story.later_requests = [story.scenario.submit("b", "another")]
    story.scenario.fleet.run(1.0)


@when(parsers.re(r"(?P<duration_s>\d+) seconds? pass(es)?"))
def _wait(story: Story, duration_s: str) -> None:
    story.scenario.fleet.run(float(duration_s))


# -- servers


@when(parsers.re(r"(?P<server>.+) is paused for (?P<duration_s>\d+) seconds"))
def _pause(story: Story, server: str, duration_s: str) -> None:
    story.scenario.fleet.pause(story.server_named(server), float(duration_s))


@when(parsers.re(r"(?P<server>.) is killed$"))
def _kill(story: Story, server: str) -> None:
    story.scenario.fleet.crash(server)


@when(parsers.re(r"(?P<server>.) restarts with an empty store"))
def _restart_empty(story: Story, server: str) -> None:
    story.scenario.start(server)


@when(parsers.re(r"the fleet admits (?P<server>.) again"))
def _admit(story: Story, server: str) -> None:
    story.scenario.install_view(NAMES)
    story.scenario.fleet.run(0.5)


@when(parsers.re(r"the fleet removes (?P<server>.)"))
def _remove(story: Story, server: str) -> None:
    story.scenario.install_view(set(NAMES) - {server})
    story.scenario.fleet.run(0.3)


@when(parsers.re(r"(?P<server>.) rejoins without a restart"))
def _rejoin(story: Story, server: str) -> None:
    story.scenario.rejoin(server)
    story.scenario.install_view(NAMES)
    story.scenario.fleet.run(1.0)


@when(parsers.re(r"(?P<server>the .+ replica) is killed and restarts with an empty store"))
def _restart_replica_empty(story: Story, server: str) -> None:
    story.restart_empty(story.server_named(server))
    assert story.scenario.settle()


@when("the first and the second replica restart with an empty store at the same time")
def _restart_two_replicas_empty(story: Story) -> None:
    story.restart_empty(*story.replicas[:2])


@when("the first and the second replica leave gracefully at the same time")
def _two_replicas_leave(story: Story) -> None:
    story.scenario.install_view(set(NAMES) - set(story.replicas[:2]), recipients=NAMES)


@when("the first and the second replica crash at the same time")
def _crash_two_replicas(story: Story) -> None:
    for name in story.replicas[:2]:
        story.scenario.fleet.crash(name)
    story.scenario.install_view(set(NAMES) - set(story.replicas[:2]))
    story.scenario.fleet.run(0.5)


@when("the first replica is started again under its name")
def _start_first_replica(story: Story) -> None:
    story.scenario.start(story.replicas[0])
    story.scenario.install_view(set(NAMES) - {story.replicas[1]})


@when("all servers restart with an empty store")
def _restart_all_empty(story: Story) -> None:
    for name in NAMES:
        story.scenario.fleet.crash(name)
    story.scenario.start(*NAMES)
    story.scenario.install_view(NAMES)


@when("the servers restart one after another with an empty store")
def _restart_all_empty_one_by_one(story: Story) -> None:
    for name in NAMES:
        story.restart_empty(name)
        assert story.scenario.settle()


@when("the zone of the first replica is lost")
def _lose_zone(story: Story) -> None:
    name = story.replicas[0]
    story.scenario.fleet.crash(name)
    story.scenario.install_view(set(NAMES) - {name})
    story.scenario.fleet.run(0.5)


# -- links


@when(parsers.re(r"(?P<server>.) is partitioned from all other servers"))
def _partition_server(story: Story, server: str) -> None:
    story.scenario.fleet.cut([server], set(NAMES) - {server})


@when("a zone with a and b is partitioned from the other servers")
def _partition_zone(story: Story) -> None:
    story.scenario.fleet.cut("ab", "cde")
    story.scenario.install_view("cde")


@when(parsers.re(r"(?P<server>.) receives no messages from other servers"))
def _block_incoming_messages(story: Story, server: str) -> None:
    story.scenario.fleet.cut(set(NAMES) - {server}, [server], both=False)


@when("the partition heals")
def _heal_partition(story: Story) -> None:
    story.scenario.fleet.heal()
    removed = set(NAMES) - set(story.scenario.members)
    if removed:
        story.scenario.rejoin(*removed)
        story.scenario.install_view(NAMES)


@when(parsers.re(r"messages from (?P<server>.) to other servers take 1 second"))
def _slow_outgoing_messages(story: Story, server: str) -> None:
    for name in set(NAMES) - {server}:
        link = story.scenario.fleet.link(server, name)
        link.least, link.most = 1.0, 1.2


@when("a third of all messages is lost, and some are duplicated")
def _make_links_lossy(story: Story) -> None:
    for sender in NAMES:
        for receiver in NAMES:
            link = story.scenario.fleet.link(sender, receiver)
            link.drop, link.double = 0.33, 0.2


@when("the first replica crashes, and for 1 second only the second replica has the new view")
def _delay_view_of_others(story: Story) -> None:
    crashed, notified = story.replicas[:2]
    remaining = set(NAMES) - {crashed}
    story.scenario.fleet.crash(crashed)
    story.scenario.install_view(remaining, recipients=[notified])
    story.scenario.fleet.later(1.0, lambda: story.scenario.send_view(remaining - {notified}))


@when("the first replica restarts with an empty store, and is partitioned while it catches up")
def _partition_while_catching_up(story: Story) -> None:
    name = story.replicas[0]
    story.scenario.settings = replace(story.scenario.settings, batch_size=4)
    story.restart_empty(name)
    core = story.scenario.replica(name)
    assert story.scenario.fleet.run_until(lambda: core.counts["entries_in"] > 8, 2.0)
    assert core.ranges.unready
    story.scenario.fleet.cut([name], set(NAMES) - {name})


@when("one replica loses the request's entry")
def _lose_entry(story: Story) -> None:
    core = story.scenario.replica(story.replicas[1])
    core.store.drop(core.slot_of(b"record"))


@when("one replica stores a different outcome of the request")
def _add_conflicting_outcome(story: Story) -> None:
    core = story.scenario.replica(story.replicas[1])
    entry = story.scenario.stored_entry(core.name, "record")
    assert entry is not None
    expires_at = story.scenario.fleet.now + 8
    core.store.accept(core.slot_of(b"record"), ("labels", b"record"), diverged_copy(entry, "z"), expires_at)


# -- sessions


@when(parsers.re(r"server (?P<server>.) (?:binds|moves) the session if its version is (?P<version>\d)"))
def _write_binding(story: Story, server: str, version: str) -> None:
    story.writes.append(story.scenario.write(server, "sessions", "session", int(version), server.encode()))
    story.scenario.answer(story.writes[-1])


@when(parsers.re(r"a request of that session is sent to (?P<server>.) with binding version (?P<version>\d)"))
def _send_request_under_binding(story: Story, server: str, version: str) -> None:
    story.scenario.group = lambda idempotency_key: b"session"
    story.later_requests = [story.scenario.submit(server, "of the session", fencing_number=int(version))]
    story.scenario.fleet.run(1.0)


# -- expected results


@then("the request ran once, and all waiting attempts got its answer")
def _ran_once_with_same_answers(story: Story) -> None:
    assert story.scenario.run_counts["record"] == 1 and not story.scenario.violation()
    assert [request.outcome for request in story.requests if request.outcome != "denied"], story.requests
    for request in story.requests:
        assert request.outcome == "denied" or request.result == story.scenario.results["record"], request
    assert story.requests[-1].outcome == "completed"


@then("the request ran once, and the last attempt got its answer")
def _ran_once_with_last_answered(story: Story) -> None:
    assert story.scenario.run_counts["record"] == 1
    assert (story.requests[-1].outcome, story.requests[-1].result) == (
        "completed",
        story.scenario.results["record"],
    )


@then("the request ran once")
def _ran_once(story: Story) -> None:
    assert story.scenario.run_counts["record"] == 1 and not story.scenario.violation(), (
        story.scenario.violation()
    )


@then("the request ran at most once")
def _ran_at_most_once(story: Story) -> None:
    assert not story.scenario.violation(), story.scenario.violation()
    assert all(request.result in (b"", story.scenario.results.get("record")) for request in story.requests)


@then("the request never ran")
def _never_ran(story: Story) -> None:
    assert story.scenario.run_counts["record"] == 0


@then("the request ran twice, once in each window")
def _ran_twice(story: Story) -> None:
    assert story.scenario.run_counts["record"] == 2 and len(story.scenario.ran_by["record"]) == 2


@then("the last attempt failed, and was not rejected")
def _last_attempt_failed(story: Story) -> None:
    assert story.requests[-1].outcome == "terminated"


@then("the last attempt was rejected, or got the answer")
def _last_attempt_rejected_or_answered(story: Story) -> None:
    request = story.requests[-1]
    assert request.outcome == "denied" or request.result == story.scenario.results["record"], request


@then("that other request was completed")
def _other_request_completed(story: Story) -> None:
    assert [request.outcome for request in story.later_requests] == ["completed"]


@then("every server is ready again for all its ranges")
def _all_ranges_ready(story: Story) -> None:
    assert story.scenario.settle(3.0), story.scenario.unready_range_count()


@then("the partitioned replica is not ready")
def _partitioned_replica_not_ready(story: Story) -> None:
    core = story.scenario.replica(story.replicas[0])
    assert core.ranges.unready and not core.is_ready(max(core.ranges.unready))


@then("each of these requests ran once")
def _each_ran_once(story: Story) -> None:
    assert [
        request for request in story.later_requests if request.outcome == "completed"
    ] == story.later_requests
    assert all(story.scenario.run_counts[request.idempotency_key] == 1 for request in story.later_requests)


@then("each of these requests ran at most once, and some were rejected")
def _each_ran_at_most_once(story: Story) -> None:
    outcomes = {request.outcome for request in story.later_requests}
    assert "denied" in outcomes and not story.scenario.violation()
    assert all(
        story.scenario.run_counts[request.idempotency_key] == (request.outcome == "completed")
        for request in story.later_requests
    )


@then("every replica has the request's outcome")
def _replicas_have_outcome(story: Story) -> None:
    for name in story.replicas:
        entry = story.scenario.stored_entry(name, "record")
        assert entry is not None and entry.outcomes[0].result == story.scenario.results["record"]


@then("every replica has both outcomes, and they were logged with their details")
def _replicas_have_both_outcomes(story: Story) -> None:
    entries = {story.scenario.stored_entry(name, "record") for name in story.replicas}
    assert {len(entry.outcomes) for entry in entries if entry is not None} == {2}
    log_lines = [
        line for _, _, line in story.scenario.log_entries if line.event is LogEvent.CONFLICTING_OUTCOMES
    ]
    assert log_lines and all("worked" in str(line.fields["outcomes"]) for line in log_lines)


@then("a retry does not run again")
def _retry_does_not_run(story: Story) -> None:
    story.send_request("another server")
    assert story.scenario.run_counts["record"] == 1 and story.requests[-1].outcome == "completed"


@then("it received no entries")
def _received_no_entries(story: Story) -> None:
    assert story.scenario.replica(story.replicas[0]).counts["entries_in"] == 0


@then("the writes were answered with won, won and stale")
def _writes_answered(story: Story) -> None:
    assert [story.scenario.answers[ref].status for ref in story.writes] == ["won", "won", "stale"]


@then("that request was rejected, and never ran")
def _rejected_without_run(story: Story) -> None:
    assert story.later_requests[0].outcome == "denied" and not story.scenario.run_counts["of the session"]


def test_the_scenario_returns_the_installed_view() -> None:
    assert isinstance(Scenario({"a": "z"}).install_view("a", recipients=[]), ViewInstalled)
