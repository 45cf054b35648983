"""The steps of affinity.feature: a simulated fleet, kiosks that send requests by any router, and a monitor.

After each scenario the `story` fixture checks that two servers never ran keyed requests of one session at the
same time, that no idempotency key ran twice, and that every request has an outcome.
"""

from __future__ import annotations

import random
import re
from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sablewheel.experiments.affinity_fleet import Request, SessionCluster
from sablewheel.experiments.affinity_replicas import ReplicatedSessionCluster
from sablewheel.overload.interface import Idempotency
from sablewheel.session_affinity.binding import BindingState
from sablewheel.session_affinity.placement import ServerLoad, load_bounds
from sablewheel.session_affinity.plan import AffinitySettings

scenarios("affinity.feature", "affinity_replicas.feature")

REQUEST_INTERVAL_S = 0.02  # between two requests of the kiosks together
SETTLE_S = 8.0  # after a scenario, until all open requests have ended
MIGRATIONS_PER_S = 50.0


class Story:
    """One fleet and its kiosks, in one scenario."""

    def __init__(self) -> None:
        self.random = random.Random(7)
        self.kiosks: list[str] = []
        self.settings: dict[str, Any] = {
            "idle_timeout_s": 60.0,
            "migrations_per_s": MIGRATIONS_PER_S,
            "handover_timeout_s": 3.0,
        }
        self.observed_since = 0.0  # migrations from this time on are examined
        self.first_request = 0  # index of the first request that is examined
        self.owners: dict[str, str] = {}  # by kiosk, at the time `observed_since`
        self.long_run: Request | None = None

    def start(
        self,
        servers: int,
        kiosks: int = 0,
        cluster_type: type[SessionCluster] = SessionCluster,
        **settings: Any,
    ) -> None:
        self.settings |= settings
        self.cluster = cluster_type(
            [f"m{index}" for index in range(servers)], AffinitySettings(**self.settings)
        )
        self.cluster.next_run_duration_s = lambda: self.random.choice([0.02, 0.05, 0.4])
        self.add_kiosks(kiosks)
        self.start_observation()

    def start_observation(self) -> None:
        self.observed_since, self.first_request = self.cluster.fleet.now, len(self.cluster.requests)
        self.owners = {kiosk: self.cluster.owner(kiosk) for kiosk in self.kiosks}

    def add_kiosks(self, count: int) -> None:
        """Add kiosks that send one request each, then let all kiosks send requests for a short time."""
        for _ in range(count):
            self.kiosks.append(f"kiosk-{len(self.kiosks)}")
            self.send_request(self.kiosks[-1])
            self.cluster.run(REQUEST_INTERVAL_S)
        if count:
            self.send_requests(1.5)

    def send_request(self, kiosk: str) -> Request:
        idempotency = self.random.choice([Idempotency.IDEMPOTENT, Idempotency.KEYED])
        return self.cluster.submit(self.random.choice(self.cluster.alive), kiosk, idempotency, "pay")

    def send_requests(self, duration_s: float) -> None:
        until, count = self.cluster.fleet.now + duration_s, 0
        while self.cluster.fleet.now < until - 1e-9:
            self.send_request(self.kiosks[count % len(self.kiosks)])
            count += 1
            self.cluster.run(min(REQUEST_INTERVAL_S, until - self.cluster.fleet.now))

    @property
    def migrations(self) -> list[tuple[float, str, str, str]]:
        return self.cluster.migrations(self.observed_since)

    @property
    def requests(self) -> list[Request]:
        return self.cluster.requests[self.first_request :]

    def causes(self) -> Counter[str]:
        log_events = [
            log_event
            for at, _, log_event in self.cluster.log_events
            if at >= self.observed_since and log_event.message == "session migrated"
        ]
        return Counter(str(log_event.fields["cause"]) for log_event in log_events)


@pytest.fixture
def story() -> Iterator[Story]:
    current = Story()
    yield current
    current.cluster.heal()
    current.cluster.register_unavailable = False
    current.cluster.run(SETTLE_S)
    assert [request for request in current.cluster.requests if not request.outcome] == []
    if not current.settings.get("faulty_variant"):
        assert current.cluster.checker.violations == []


# -- given


@given(parsers.re(r"a fleet of (?P<servers>\d+) servers(, | with | that | whose | )?(?P<rest>.*)"))
def fleet(story: Story, servers: str, rest: str) -> None:
    setting_patterns = {
        r"retains (\d+) versions": "keep_versions",
        r"retires versions after (\d+) seconds": "retire_after_s",
        r"budget of (\d+) migrations": "migrations_per_s",
        r"waits (\d+) second for runs": "handover_timeout_s",
        r"capacity for (\d+) sessions": "max_sessions",
        r"sessions end after (\d+) idle": "idle_timeout_s",
    }
    matches = {name: re.search(pattern, rest) for pattern, name in setting_patterns.items()}
    settings: dict[str, Any] = {name: int(match[1]) for name, match in matches.items() if match}
    if variant := re.search(r'the faulty variant "([a-z-]+)"', rest):
        settings["faulty_variant"] = variant[1]
    if "faulty_variant" in settings or "is correct" in rest:
        settings["migrations_per_s"] = 1.0
    kiosks = re.search(r"(\d+) kiosks in service", rest)
    lossy = "loses a third" in rest
    assert settings or kiosks or lossy or not rest, rest
    cluster_type = ReplicatedSessionCluster if "on replicas" in rest else SessionCluster
    story.start(int(servers), int(kiosks[1]) if kiosks else 0, cluster_type, **settings)
    story.cluster.answer_loss_share = 1 / 3 if lossy else 0.0
    if "migrations_per_s" in settings and settings["migrations_per_s"] == 1.0:
        story.cluster.next_run_duration_s = lambda: (
            2.5
        )  # long enough that the runs of a second owner overlap with them


@given(parsers.parse("a keyed run of {duration_s:g} seconds is in progress on the owner of kiosk {index:d}"))
@given(parsers.parse("a keyed run of {duration_s:g} second is in progress on the owner of kiosk {index:d}"))
def long_run(story: Story, duration_s: float, index: int) -> None:
    kiosk, next_run_duration_s = story.kiosks[index], story.cluster.next_run_duration_s
    story.cluster.run(0.5)
    story.cluster.next_run_duration_s = lambda: duration_s
    story.long_run = story.cluster.submit(story.cluster.owner(kiosk), kiosk, Idempotency.KEYED, "pay")
    story.cluster.run(0.1)
    assert story.long_run.run_server == story.cluster.owner(kiosk)
    story.cluster.next_run_duration_s = next_run_duration_s


@given(parsers.parse("server {name} was killed and its sessions have migrated"))
def killed_and_migrated(story: Story, name: str) -> None:
    story.cluster.kill(name)
    story.send_requests(9.0)
    assert story.migrations
    story.start_observation()


@given("every link loses one message in five and duplicates another")
def lossy_links(story: Story) -> None:
    names = story.cluster.alive
    for sender in names:
        for to in names:
            link = story.cluster.fleet.link(sender, to)
            link.drop = link.double = 0.2


# -- when


@when(parsers.re(r"the kiosks send requests for (?P<duration_s>[\d.]+) seconds?"))
def send_requests(story: Story, duration_s: str) -> None:
    story.send_requests(float(duration_s))


@when(parsers.parse("the kiosks send no requests for {duration_s:g} seconds"))
def send_no_requests(story: Story, duration_s: float) -> None:
    story.cluster.run(duration_s)


@when(parsers.re(r"version (?P<version>\d+) becomes active(?P<mandatory> and is mandatory)?"))
def activate_version(story: Story, version: str, mandatory: str | None) -> None:
    story.cluster.activate_policy(int(version), mandatory=bool(mandatory))
    story.cluster.run(0.1)


@when(parsers.parse("{count:d} more kiosks start"))
def start_kiosks(story: Story, count: int) -> None:
    story.add_kiosks(count)


@when(parsers.parse("the first requests of {count:d} kiosks arrive at all servers at the same time"))
def send_first_requests(story: Story, count: int) -> None:
    for index in range(count):
        story.kiosks.append(f"kiosk-{index}")
        for name in story.cluster.alive:
            story.cluster.submit(name, story.kiosks[-1], Idempotency.KEYED, "pay")
    story.send_requests(2.0)


@when(parsers.parse("server {name} is asked to leave within {grace_s:g} seconds"))
def leave(story: Story, name: str, grace_s: float) -> None:
    story.cluster.leave(name, grace_s)


@when(parsers.parse("the owner of kiosk {index:d} is asked to leave within {grace_s:g} seconds"))
def owner_leaves(story: Story, index: int, grace_s: float) -> None:
    story.cluster.leave(story.cluster.owner(story.kiosks[index]), grace_s)


@when(parsers.parse("every server in turn leaves within {grace_s:g} seconds and restarts"))
def rolling_restart(story: Story, grace_s: float) -> None:
    for name in story.cluster.alive:
        story.cluster.leave(name, grace_s)
        story.send_requests(grace_s + 0.5)
        story.cluster.start(name)
        story.send_requests(1.0)


@when(parsers.parse("server {name} is killed"))
def kill(story: Story, name: str) -> None:
    story.cluster.kill(name)


@when(parsers.parse("server {name} restarts cold"))
def restart(story: Story, name: str) -> None:
    story.cluster.start(name)


@when(parsers.parse("server {name} is paused for {duration_s:g} seconds"))
def pause(story: Story, name: str, duration_s: float) -> None:
    story.cluster.pause(name, duration_s)


@when(parsers.parse("server {name} is isolated for {duration_s:g} seconds"))
def isolate(story: Story, name: str, duration_s: float) -> None:
    story.cluster.isolate([name], permanent=False)
    story.cluster.fleet.later(duration_s, story.cluster.heal)


@when(parsers.parse("servers {first} and {second} are partitioned from the others"))
def partition(story: Story, first: str, second: str) -> None:
    story.cluster.isolate([first, second])


@when(parsers.parse("the link between {first} and {second} is cut"))
def cut_link(story: Story, first: str, second: str) -> None:
    story.cluster.fleet.cut([first], [second])


@when("the partition is healed")
def heal(story: Story) -> None:
    story.cluster.heal()


@when("the register has no majority")
def lose_majority(story: Story) -> None:
    story.cluster.register_unavailable = True


@when("the register has its majority again")
def restore_majority(story: Story) -> None:
    story.cluster.register_unavailable = False


@when(parsers.re(r"servers (?P<first>\w+) and (?P<second>\w+) can no longer run the kiosks' flow"))
def lose_capability(story: Story, first: str, second: str) -> None:
    capable = frozenset(story.cluster.alive) - {first, second}
    story.cluster.activate_policy(1, {"pay": capable})


@when("no server can run the kiosks' flow")
def no_server_capable(story: Story) -> None:
    story.cluster.run(1.0)
    story.cluster.activate_policy(1, {"pay": frozenset()})
    story.cluster.run(0.2)
    story.first_request = len(story.cluster.requests)


# -- then


@then("no session has migrated")
def none_migrated(story: Story) -> None:
    assert story.migrations == []


@then(parsers.parse("every session runs under version {version:d}"))
def all_under_version(story: Story, version: int) -> None:
    assert {story.cluster.register.bindings[kiosk].policy_version for kiosk in story.kiosks} == {version}


@then(parsers.parse("some sessions run under version {version:d}"))
def some_under_version(story: Story, version: int) -> None:
    counts = Counter(story.cluster.register.bindings[kiosk].policy_version for kiosk in story.kiosks)
    assert 0 < counts[version] < len(story.kiosks)


@then(
    parsers.parse(
        "{first_count:d} sessions run under version {first:d} and {second_count:d} under version {second:d}"
    )
)
def under_versions(story: Story, first_count: int, first: int, second_count: int, second: int) -> None:
    counts = Counter(story.cluster.register.bindings[kiosk].policy_version for kiosk in story.kiosks)
    assert counts == {first: first_count, second: second_count}


@then(parsers.parse('{count:d} version changes are counted as "{cause}"'))
def version_changes(story: Story, count: int, cause: str) -> None:
    assert story.cluster.count(f"brought_{cause}") == count


@then(parsers.parse("all servers run version {version:d}"))
def active_version(story: Story, version: int) -> None:
    assert {story.cluster.sessions(name).version for name in story.cluster.alive} == {version}


@then(parsers.parse("kiosk {index:d} has another owner, which took over after that run had ended"))
def other_owner_after_run(story: Story, index: int) -> None:
    other_owner(story, index)
    assert story.long_run is not None and story.long_run.outcome == "completed"
    assert story.cluster.count("passed_as_claims") == 0  # the handover waited for the end of the run


@then(parsers.parse("kiosk {index:d} has another owner"))
def other_owner(story: Story, index: int) -> None:
    kiosk = story.kiosks[index]
    assert story.cluster.owner(kiosk) not in ("", story.owners[kiosk])


@then(parsers.parse("{count:d} run has continued as a claim"))
def continued_as_claims(story: Story, count: int) -> None:
    assert story.long_run is not None
    log_events = [
        log_event
        for _, _, log_event in story.cluster.log_events
        if log_event.message == "session handed over with open runs"
    ]
    assert sum(int(str(log_event.fields["runs"])) for log_event in log_events) == count


@then("no kiosk's request was rejected or lost")
def none_rejected(story: Story) -> None:
    story.cluster.run(2.0)
    assert [request for request in story.requests if request.outcome != "completed"] == []


@then(parsers.re(r"servers? (?P<names>m\d( and m\d)?) owns? no sessions"))
def own_no_sessions(story: Story, names: str) -> None:
    for name in names.split(" and "):
        assert not story.cluster.sessions(name).owned
    assert not {story.cluster.owner(kiosk) for kiosk in story.kiosks} & set(names.split(" and "))


@then(parsers.re(r'only sessions of (?P<names>[m\d, and]+?) have migrated(, counted as "(?P<cause>\w+)")?$'))
def only_sessions_of(story: Story, names: str, cause: str | None) -> None:
    previous_owners = set(re.findall(r"m\d", names))
    assert story.migrations and {owner for _, _, owner, _ in story.migrations} <= previous_owners
    if cause:
        assert set(story.causes()) == {cause}


@then("only sessions of that owner have migrated")
def only_sessions_of_that_owner(story: Story) -> None:
    assert story.long_run is not None
    assert {owner for _, _, owner, _ in story.migrations} == {story.long_run.run_server}


@then("every session has a fencing number above its first one, or its first owner")
def bindings_kept(story: Story) -> None:
    for kiosk in story.kiosks:
        binding = story.cluster.register.bindings[kiosk]
        first = next(stored for _, stored in story.cluster.register.history if stored.key == kiosk)
        assert binding.fencing_number > first.fencing_number or binding.owner == first.owner
        assert binding.owner in story.cluster.alive


@then(parsers.parse('all sessions of {name} have migrated, counted as "{cause}"'))
def all_sessions_of(story: Story, name: str, cause: str) -> None:
    kiosks = {kiosk for kiosk, owner in story.owners.items() if owner == name}
    assert kiosks and {kiosk for _, kiosk, owner, _ in story.migrations if owner == name} == kiosks
    assert story.causes()[cause] == len(kiosks)


@then(parsers.parse('every migration is counted as "{cause}"'))
def every_migration(story: Story, cause: str) -> None:
    assert story.migrations and story.causes() == {cause: len(story.migrations)}


@then("every kiosk has an owner that serves")
def all_owned(story: Story) -> None:
    cluster = story.cluster
    cluster.heal()
    cluster.answer_loss_share = 0.0
    cluster.run(4.0)
    servers = [story.random.choice(cluster.alive) for _ in story.kiosks]
    pairs = zip(servers, story.kiosks, strict=True)
    requests = [cluster.submit(server, kiosk, Idempotency.KEYED, "pay") for server, kiosk in pairs]
    cluster.run(5.0)
    assert Counter((request.outcome, request.reason) for request in requests) == {
        ("completed", "owner"): len(requests)
    }
    for kiosk, request in zip(story.kiosks, requests, strict=True):
        binding = cluster.register.bindings[kiosk]
        owners = [name for name in cluster.alive if kiosk in cluster.sessions(name).owned]
        assert binding.state is BindingState.OWNED and owners == [binding.owner] == [request.run_server]


@then(
    parsers.parse("at most {limit:d} sessions have migrated in any second, with {burst:d} more at the start")
)
def rate_limited(story: Story, limit: int, burst: int) -> None:
    times = sorted(at for at, *_ in story.migrations)
    assert len(times) > limit  # enough migrations to exceed the limit
    for index, start in enumerate(times):
        assert sum(1 for at in times[index:] if at < start + 1.0) <= limit + burst


@then("some requests were served by another server because the budget was exhausted")
def served_without_budget(story: Story) -> None:
    assert any(request.reason == "budget" and request.outcome == "completed" for request in story.requests)


@then(parsers.parse("server {name} owns less than half as many sessions as any other server"))
def owns_fewer_sessions(story: Story, name: str) -> None:
    session_counts = Counter(story.cluster.owner(kiosk) for kiosk in story.kiosks)
    assert session_counts[name] * 2 < min(count for other, count in session_counts.items() if other != name)


@then("some idempotent requests were served where they arrived")
def served_where_arrived(story: Story) -> None:
    served = [request for request in story.requests if request.reason in ("unreached", "no_majority")]
    served = [request for request in served if request.outcome == "completed"]
    assert served and all(
        request.arrival.idempotency is Idempotency.IDEMPOTENT and request.run_server == request.first_server
        for request in served
    )


@then("some keyed requests were rejected, and none of them ran")
def keyed_rejected(story: Story) -> None:
    rejected = [request for request in story.requests if request.outcome == "denied"]
    assert rejected and all(
        request.arrival.idempotency is Idempotency.KEYED and not request.run_server for request in rejected
    )


@then("every request since then is rejected")
def all_rejected(story: Story) -> None:
    story.cluster.run(4.0)
    assert story.requests and {request.outcome for request in story.requests} == {"denied"}


@then("no server took a session above its bound")
def within_load_bounds(story: Story) -> None:
    cluster = story.cluster
    loads = {name: ServerLoad(len(cluster.sessions(name).owned)) for name in cluster.alive}
    bounds = load_bounds(loads, loads, cluster.settings.load_factor, cluster.settings.min_load_bound)
    assert sum(load.sessions for load in loads.values()) == len(story.kiosks)
    assert cluster.count("forced") == 0
    assert all(load.sessions <= bounds[name] for name, load in loads.items())


@then(parsers.parse("no server owns more than {limit:d} sessions"))
def within_capacity(story: Story, limit: int) -> None:
    assert all(len(story.cluster.sessions(name).owned) <= limit for name in story.cluster.alive)
    assert story.cluster.count("forgotten") > 0


@then(parsers.parse("{count:d} sessions have ended"))
def ended(story: Story, count: int) -> None:
    assert story.cluster.count("ended_idle") == count


def violations(story: Story) -> set[str]:
    detected = {"two owners ran keyed requests"} if story.cluster.checker.violations else set()
    if [migration for migration in story.migrations if migration[2] not in ("m3", "m4")]:
        detected.add("sessions migrated without a cause")
    times = sorted(at for at, _, owner, _ in story.migrations if owner == "m3")
    burst = max(
        (sum(at < start + 1.0 for at in times[index:]) for index, start in enumerate(times)), default=0
    )
    if burst > story.settings["migrations_per_s"] + len(story.cluster.view.names):
        detected.add("migrations exceeded the budget")
    return detected


@then(parsers.parse('the violation "{violation}" is detected'))
def violation_detected(story: Story, violation: str) -> None:
    assert violation in violations(story)


@then("no violation is detected")
def no_violation(story: Story) -> None:
    assert story.migrations and not violations(story)
