"""Duplicates that race with the end, expiry or late reading of their originals, in the serving layer.

The check here is independent of the simulated server's own and stricter: the time limits of an attempt count
from when it was written to the socket, even if it was read late, and the idempotency window counts from
`since` of each attempt that ran.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st
from simulated_server import Attempt, FakeStream, SimulatedServer, call
from test_serving import SERVER_SETTINGS

from sablewheel.overload.interface import Cancellation, Idempotency, RequestClass, ServerSettings, Tenant

SHORT_WINDOW_S = 0.3  # shorter than the timeouts, the grace period and many waits of the tests
TIME_LIMIT_TOLERANCE_S = 0.05  # by which the protocol extends every time limit


def with_window(window_s: float, **changes: object) -> ServerSettings:
    """Return the usual settings with another window for the keyed request class."""
    request_class = replace(SERVER_SETTINGS.request_classes[1], idempotency_window_s=window_s)
    request_classes = (SERVER_SETTINGS.request_classes[0], request_class)
    return replace(SERVER_SETTINGS, request_classes=request_classes, **changes)  # type: ignore[arg-type]


class StrictServer(SimulatedServer):
    """A server that may read attempts late; every step is checked against the rules for sockets."""

    def __init__(self, server_settings: ServerSettings) -> None:
        self.unread: list[tuple[Attempt, bytes]] = []
        self.read_at: dict[Attempt, float] = {}
        self.ran_before: list[bytes] = []  # names of the attempts that had run at the last check
        self.checked: set[Attempt] = set()  # attempts whose answer was checked
        self.never_ran: set[bytes] = set()  # names of the runs that the interpreter reported as never started
        super().__init__(server_settings)

    def request_class_of(self, name: bytes) -> RequestClass:
        return self.server_settings.request_classes[name == b"record"]

    def request_class(self, attempt: Attempt) -> RequestClass:
        return self.request_class_of(attempt.request_class)

    def write(self, request_class: bytes, idempotency_key: bytes = b"", router: int = 4) -> Attempt:
        """Write an attempt now as its client; it stays unread until `read`."""
        tag = len(self.attempts) + 1
        attempt = Attempt(tag, b"%016x" % tag, request_class, idempotency_key, self.now)
        self.attempts.append(attempt)
        self.unread.append(
            (
                attempt,
                call(tag, attempt.name, request_class, attempt.since, attempt.body, idempotency_key, router),
            )
        )
        return attempt

    def read(self, *attempts: Attempt) -> None:
        """Deliver the given attempts, or all unread ones, in one read."""
        delivered = [(attempt, data) for attempt, data in self.unread if not attempts or attempt in attempts]
        self.unread = [item for item in self.unread if item not in delivered]
        self.read_at.update({attempt: self.now for attempt, _ in delivered})
        if delivered:
            self.client.feed(b"".join(data for _, data in delivered))

    def call(self, request_class: bytes, idempotency_key: bytes = b"", ago: float = 0.0) -> Attempt:
        assert not ago
        attempt = self.write(request_class, idempotency_key)
        self.read(attempt)
        return attempt

    def stall(self, span: float) -> None:
        """Pause the server; timers that expire during the pause fire after it."""
        self.scheduler.clock.now += span
        self.read_at.update({attempt: self.now for attempt in self.read_at})
        self.wait(0.0)

    def end(self, name: bytes, outcome: bytes = b"success") -> None:
        if outcome == b"nothing":
            self.never_ran.add(name)
        super().end(name, outcome)

    def ran(self) -> list[Attempt]:
        by_name = {attempt.name: attempt for attempt in self.attempts}
        names = [name for name, *_ in self.interpreter.applied if name not in self.never_ran]
        return [by_name[name] for name in names]

    def check(self) -> None:
        server_settings, slack = (
            self.server_settings,
            self.server_settings.answer_slack_s + TIME_LIMIT_TOLERANCE_S + 1e-6,
        )
        ran = self.ran()
        assert len(set(ran)) == len(ran), "an attempt was run twice"
        for index, attempt in enumerate(ran):
            assert attempt.since <= self.notice + server_settings.drain_grace_s + TIME_LIMIT_TOLERANCE_S, (
                "run after the grace period of the drain"
            )
            for earlier in ran[:index]:
                if attempt.idempotency_key and attempt.idempotency_key == earlier.idempotency_key:
                    assert (
                        attempt.since
                        > earlier.since
                        + self.request_class(earlier).idempotency_window_s
                        + TIME_LIMIT_TOLERANCE_S
                    ), "an idempotency key ran twice within its window"
        for attempt in self.attempts:
            assert len(attempt.answers) <= 1, "answered twice"
            if attempt in self.read_at and not attempt.answers and not attempt.cancelled:
                due = max(attempt.since + self.request_class(attempt).timeout_s, self.read_at[attempt])
                assert self.now <= min(due + slack, self.stop), "lost: not answered by its deadline"
            if not attempt.answers or attempt in self.checked:
                continue
            self.checked.add(attempt)
            status = attempt.answers[0][1]
            if status == b"OK":
                assert attempt.answers[0][3] == b"made of " + attempt.body, "result changed"
                assert any(other.body == attempt.body for other in ran), (
                    "result of a request that did not run"
                )
            if status == b"BUSY":
                assert attempt not in ran, "rejected an attempt that has run"
                for other in ran:
                    if (
                        attempt.idempotency_key
                        and other.idempotency_key == attempt.idempotency_key
                        and other.name in self.ran_before
                    ):
                        until = other.since + self.request_class(other).idempotency_window_s
                        assert attempt.since > until, "rejected a duplicate of an attempt that has run"
        self.ran_before = [attempt.name for attempt in ran]


def statuses(*attempts: Attempt) -> list[bytes]:
    return [attempt.answers[0][1] if attempt.answers else b"" for attempt in attempts]


def assert_run_once(server: StrictServer, first: Attempt, second: Attempt) -> None:
    """Assert that only the first attempt ran, and that both get its result."""
    assert server.ran() == [first]
    server.end(first.name)
    server.settle()
    assert statuses(first, second) == [b"OK", b"OK"]


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("window_s", [SHORT_WINDOW_S, 0.0])
def test_two_attempts_that_are_read_after_their_window_run_once(together: bool, window_s: float) -> None:
    """An attempt read after its own window was not recorded, so a duplicate read equally late also ran."""
    server = StrictServer(with_window(window_s))
    first, second = server.write(b"record", b"a"), server.write(b"record", b"a")
    server.scheduler.clock.now += 0.5
    server.read(*([first, second] if together else [first]))
    server.settle()
    server.read()
    server.settle()
    assert_run_once(server, first, second)


def test_two_attempts_that_wait_for_the_interpreter_past_their_window_run_once() -> None:
    server = StrictServer(with_window(SHORT_WINDOW_S))
    server.dispatcher._controller = None  # as before the first greeting of the interpreter
    first, second = server.call(b"record", b"a"), server.call(b"record", b"a")
    server.settle()
    assert server.dispatcher.open_count == 2 and not server.ran()
    server.scheduler.clock.now += 1.0
    server.dispatcher.interpreter_ready(cold=False, uptime_s=1.0)
    server.settle()
    assert_run_once(server, first, second)


def test_the_window_of_an_attempt_that_arrives_during_a_round_starts_at_its_arrival() -> None:
    """The time of a round is that of its start: a window counted from it ended too early."""
    server = StrictServer(with_window(SHORT_WINDOW_S))
    clock, start = server.scheduler.clock, server.now

    def read_clock() -> float:
        clock.now = max(clock.now, start + 0.25)
        return clock.now

    first = Attempt(1, b"%016x" % 1, b"record", b"a", start + 0.25)
    server.attempts.append(first)
    server.client.feed(call(1, first.name, b"record", first.since, first.body, b"a"))
    server.read_at[first] = first.since
    clock.read = read_clock  # type: ignore[method-assign]
    server.settle()
    assert server.ran() == [first] and server.now == start + 0.25
    clock.now = first.since + SHORT_WINDOW_S - 0.01
    duplicate = server.call(b"record", b"a")
    server.settle()
    assert server.ran() == [first] and not duplicate.answers


@pytest.mark.parametrize("slack_s", [0.0, 0.08])
@pytest.mark.parametrize("delay_s", [SHORT_WINDOW_S, SHORT_WINDOW_S + TIME_LIMIT_TOLERANCE_S, 1.0])
def test_the_window_ends_as_late_as_the_protocol_allows(slack_s: float, delay_s: float) -> None:
    server = StrictServer(with_window(SHORT_WINDOW_S, answer_slack_s=slack_s))
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.wait(delay_s)
    duplicate = server.call(b"record", b"a")
    server.settle()
    assert (duplicate in server.ran()) == (delay_s == 1.0)


def test_a_duplicate_read_late_gets_the_result_of_the_original_when_a_later_attempt_was_rejected() -> None:
    """The later attempt took over the idempotency key and released it, which also removed the entry of the
    attempt that ran.
    """
    server = StrictServer(with_window(SHORT_WINDOW_S, max_concurrency_per_core=1.0))
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    lookups = [server.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    server.wait(SHORT_WINDOW_S)
    late = server.write(b"record", b"a")  # within the window of the first
    server.scheduler.clock.now += 0.2
    rejected = server.call(b"record", b"a")  # after that window
    server.settle()
    server.wait(SERVER_SETTINGS.request_classes[1].latency_objective_s)
    assert statuses(rejected) == [b"BUSY"]
    for attempt in lookups:
        server.end(attempt.name)
    server.settle()
    server.read(late)
    server.settle()
    assert server.ran() == [first, *lookups] and statuses(late) == [b"OK"]


def test_a_duplicate_read_late_gets_the_result_of_the_original_when_a_later_attempt_was_cancelled() -> None:
    server = StrictServer(with_window(SHORT_WINDOW_S, max_concurrency_per_core=1.0))
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    lookups = [server.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    server.wait(SHORT_WINDOW_S)
    late = server.write(b"record", b"a")
    server.scheduler.clock.now += 0.2
    cancelled = server.call(b"record", b"a")
    server.settle()
    assert not cancelled.answers
    server.cancel(cancelled)
    server.settle()
    for attempt in lookups:
        server.end(attempt.name)
    server.settle()
    server.read(late)
    server.settle()
    assert server.ran() == [first, *lookups] and statuses(late) == [b"OK"]


def test_a_duplicate_read_after_a_long_stall_is_neither_run_nor_rejected() -> None:
    """By then the first attempt's entry was removed, and the recorded service times exceed any timeout."""
    server = StrictServer(with_window(SHORT_WINDOW_S))
    controller = server.dispatcher._controller
    assert controller is not None
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    for row in controller.service_times.by_class.values():
        row.service_s.add(100.0)
    late = server.write(b"record", b"a")
    server.scheduler.clock.now += SERVER_SETTINGS.request_classes[1].timeout_s + 1.0
    server.settle()  # a round with other work, such as accepting the connection
    server.read()
    server.settle()
    assert server.ran() == [first] and statuses(late) == [b"FAILED"]


def test_an_older_attempt_does_not_run_after_a_newer_one() -> None:
    """An attempt that was queued for longer than a short window lost its idempotency key to a newer one.

    The newer attempt was within the quota of its tenant, so it overtook the older one.
    """
    server = StrictServer(
        with_window(
            SHORT_WINDOW_S, max_concurrency_per_core=1.0, over_quota_weight=0.5, tenants=(Tenant(0.5),)
        )
    )
    for _ in range(4):
        attempt = server.call(b"lookup")
        server.settle()
        server.end(attempt.name)
        server.settle()
    server.wait(2.0)
    lookups = [server.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    server.wait(1.8)
    older = server.call(b"record", b"a")  # over its tenant's quota
    server.wait(SHORT_WINDOW_S + TIME_LIMIT_TOLERANCE_S + 0.2)
    assert not older.answers
    newer = server.call(b"record", b"a")  # within the quota
    server.settle()
    for attempt in lookups:
        server.end(attempt.name)
        server.settle()
    assert server.ran()[-1] is older
    server.end(older.name)
    server.settle()
    assert statuses(older, newer) == [b"OK", b"OK"]


def two_windows(**changes: object) -> ServerSettings:
    request_classes = (
        replace(SERVER_SETTINGS.request_classes[1], idempotency_window_s=0.2),
        replace(SERVER_SETTINGS.request_classes[1], idempotency_window_s=60.0),
    )
    return replace(SERVER_SETTINGS, request_classes=request_classes, **changes)  # type: ignore[arg-type]


def test_idempotency_keys_of_short_windows_expire_while_one_of_a_long_window_is_reserved() -> None:
    """Entries were assumed to expire in order, so those after one of a long window were kept and counted."""
    server = StrictServer(two_windows())
    controller = server.dispatcher._controller
    assert controller is not None
    original = server.call(b"record", b"long")
    server.settle()
    server.end(original.name)
    server.settle()
    for number in range(20):
        attempt = server.call(b"lookup", b"short%d" % number)
        server.settle()
        server.end(attempt.name)
        server.settle()
    cached_bytes_before = server.idempotency_keys._cached_bytes
    server.wait(5.0)
    assert (
        len(server.idempotency_keys._entries) == 1
        and server.idempotency_keys._cached_bytes < cached_bytes_before / 10
    )
    assert controller.resources.memory_kb == pytest.approx(SERVER_SETTINGS.idempotency_key_kb)
    duplicate = server.call(b"record", b"long")
    server.settle()
    assert statuses(duplicate) == [b"OK"]


def test_a_result_of_a_long_window_is_not_dropped_in_favour_of_expired_results() -> None:
    server = StrictServer(two_windows())
    original = server.call(b"record", b"long")
    server.settle()
    server.end(original.name)
    server.settle()
    server.idempotency_keys._max_result_bytes = 100
    for number in range(20):
        attempt = server.call(b"lookup", b"short%d" % number)
        server.settle()
        server.end(attempt.name)
        server.wait(5.0 if number % 4 == 3 else 0.0)
    assert server.idempotency_keys._cached_bytes <= 100
    duplicate = server.call(b"record", b"long")
    server.settle()
    assert statuses(duplicate) == [b"OK"]


@pytest.mark.parametrize("before_end", [True, False])
@pytest.mark.parametrize("outcome", [b"success", b"failure", b"interrupted", b"nothing"])
@pytest.mark.parametrize("cancelled", [True, False])
def test_a_duplicate_that_arrives_in_the_round_of_the_originals_end(
    before_end: bool, outcome: bytes, cancelled: bool
) -> None:
    server = StrictServer(with_window(SHORT_WINDOW_S))
    first = server.call(b"record", b"a")
    server.settle()
    if cancelled:
        server.cancel(first)
    if before_end:
        duplicate = server.call(b"record", b"a")
        server.end(first.name, outcome)
    else:
        server.end(first.name, outcome)
        duplicate = server.call(b"record", b"a")
    server.settle()
    last = server.call(b"record", b"a")
    server.settle()
    ran = server.ran()
    if outcome == b"nothing":
        # The original never started, so a duplicate that waited for it ends with it, and the next one runs.
        # A cancellation and the duplicate after it are read together.
        assert ran == [last if before_end or cancelled else duplicate]
    else:
        assert ran == [first]
        status = b"OK" if outcome == b"success" else b"FAILED"
        assert statuses(first, duplicate, last) == [b"" if cancelled else status, status, status]


@pytest.mark.parametrize("order", ["cancel repeat", "repeat cancel", "repeat cancel repeat"])
@pytest.mark.parametrize("state", ["held", "running", "joined"])
def test_a_duplicate_that_is_read_together_with_a_cancellation(order: str, state: str) -> None:
    server = StrictServer(with_window(SHORT_WINDOW_S, max_concurrency_per_core=1.0))
    if state == "held":
        server.call(b"lookup")
        server.call(b"lookup")
    attempts = [server.call(b"record", b"a")]
    if state == "joined":
        attempts.append(server.call(b"record", b"a"))
    server.settle()
    for step in order.split():
        if step == "cancel":
            server.cancel(attempts[0])
        else:
            attempts.append(server.call(b"record", b"a"))
    server.settle()
    while server.interpreter.running:
        server.end(next(iter(server.interpreter.running)))
        server.settle()
    assert server.dispatcher.open_count == 0
    answered = [attempt for attempt in attempts if not attempt.cancelled]
    assert all(attempt.answers for attempt in answered)
    assert state == "held" or set(statuses(*answered)) <= {b"OK"}
    assert sum(attempt.request_class == b"record" for attempt in server.ran()) <= 1


def test_two_duplicates_in_the_round_of_the_originals_rejection() -> None:
    """The original never ran. A duplicate that waits for it fails at once, not at its own deadline.

    The idempotency key is then available again.
    """
    server = StrictServer(with_window(SHORT_WINDOW_S, max_concurrency_per_core=1.0))
    lookups = [server.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    server.settle()
    first = server.call(b"record", b"a")
    server.settle()
    duplicates = [server.call(b"record", b"a") for _ in range(2)]
    # The original has waited too long, and is rejected in the batch of the duplicates.
    server.scheduler.clock.now += SERVER_SETTINGS.request_classes[1].latency_objective_s
    server.settle()
    assert statuses(first, *duplicates) == [b"BUSY", b"FAILED", b"BUSY"]
    for attempt in lookups:
        server.end(attempt.name)
    server.settle()
    last = server.call(b"record", b"a")
    server.settle()
    assert server.ran() == [*lookups, last]


@pytest.mark.parametrize("fits_in_memory", [True, False])
def test_a_duplicate_after_the_grace_period_or_over_the_memory_limit_gets_the_result(
    fits_in_memory: bool,
) -> None:
    """Without memory for the duplicate itself, it can't wait: it fails at once, but is not rejected."""
    server = StrictServer(with_window(20.0))
    first, second = server.call(b"record", b"a"), server.call(b"record", b"b")
    server.settle()
    server.end(first.name)
    server.settle()
    server.drain(4.0)
    server.wait(SERVER_SETTINGS.drain_grace_s + 0.5)
    controller = server.dispatcher._controller
    assert controller is not None
    late_kb = 3 * 10.0  # memory of the three late attempts; a run takes four times as much
    free_kb = SERVER_SETTINGS.memory_kb - controller.resources.memory_kb
    allocated_kb = free_kb - late_kb if fits_in_memory else SERVER_SETTINGS.memory_kb
    controller.resources.memory_kb += allocated_kb  # no memory left for a run, or none at all
    late = [server.call(b"record", idempotency_key) for idempotency_key in (b"a", b"b", b"c")]
    server.settle()
    expected = b"" if fits_in_memory else b"FAILED"
    assert statuses(*late) == [expected, expected, b"BUSY"]
    controller.resources.memory_kb -= allocated_kb
    server.end(second.name, b"failure")
    server.wait(0.1)
    assert statuses(*late) == [b"OK" if fits_in_memory else b"FAILED", b"FAILED", b"BUSY"]
    assert server.ran() == [first, second]


def test_a_duplicate_in_the_round_of_its_originals_deadline() -> None:
    server = StrictServer(with_window(20.0))
    first = server.call(b"record", b"a")
    server.settle()
    second = server.call(b"record", b"a")
    server.scheduler.clock.now += SERVER_SETTINGS.request_classes[1].timeout_s + 0.01
    server.settle()
    assert statuses(first, second) == [b"FAILED", b"FAILED"]
    third = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    assert statuses(third) == [b"OK"] and server.ran() == [first]


def test_an_original_that_runs_past_its_window_still_answers_duplicates_sent_within_it() -> None:
    server = StrictServer(with_window(SHORT_WINDOW_S))
    first = server.call(b"record", b"a")
    server.settle()
    server.wait(SHORT_WINDOW_S)
    sent_within = server.write(b"record", b"a")
    server.scheduler.clock.now += 0.5
    server.settle()
    server.read()
    server.settle()
    assert server.ran() == [first]
    sent_after = server.call(b"record", b"a")
    server.settle()
    assert server.ran() == [first, sent_after]  # the rule allows a run after the window
    server.end(first.name)
    server.end(sent_after.name)
    server.settle()
    assert statuses(first, sent_within, sent_after) == [b"OK"] * 3


@pytest.mark.parametrize("window_s", [0.1, 5.0])
def test_a_changed_window_applies_to_attempts_admitted_after_the_change(window_s: float) -> None:
    server = StrictServer(with_window(1.0))
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    server_settings = with_window(window_s)
    server.dispatcher.update_settings(server_settings, (0, 3, 1))
    server.listener._request_classes.update(
        zip((b"lookup", b"record"), server_settings.request_classes, strict=True)
    )
    server.wait(0.9)
    duplicate = server.call(b"record", b"a")
    server.settle()
    assert statuses(duplicate) == [b"OK"] and server.ran() == [first]
    other = server.call(b"record", b"b")
    server.settle()
    server.end(other.name)
    server.wait(0.9)
    server.server_settings = server_settings
    server.call(b"record", b"b")
    server.settle()
    assert len(server.ran()) == (3 if window_s < 0.9 else 2)


def test_a_longer_timeout_in_new_settings_keeps_idempotency_keys_for_as_long() -> None:
    server = StrictServer(with_window(SHORT_WINDOW_S))
    request_classes = tuple(
        replace(request_class, timeout_s=10.0) for request_class in server.server_settings.request_classes
    )
    server_settings = replace(server.server_settings, request_classes=request_classes)
    server.dispatcher.update_settings(server_settings, (0, 3, 1))
    server.listener._request_classes.update(zip((b"lookup", b"record"), request_classes, strict=True))
    server.server_settings = server_settings
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    late = server.write(b"record", b"a")
    server.scheduler.clock.now += 6.0
    server.settle()
    server.read()
    server.settle()
    assert statuses(late) == [b"OK"] and server.ran() == [first]


@pytest.mark.parametrize("idempotency", [Idempotency.NON_IDEMPOTENT, Idempotency.KEYED])
def test_a_request_id_that_is_repeated_after_its_attempt_ended_is_not_run_again(
    idempotency: Idempotency,
) -> None:
    request_class = replace(
        SERVER_SETTINGS.request_classes[1], idempotency=idempotency, idempotency_window_s=SHORT_WINDOW_S
    )
    server = StrictServer(
        replace(SERVER_SETTINGS, request_classes=(SERVER_SETTINGS.request_classes[0], request_class))
    )
    idempotency_key = b"a" if idempotency is Idempotency.KEYED else b""
    attempt = server.call(b"record", idempotency_key)
    server.settle()
    server.end(attempt.name)
    server.wait(1.0)
    copy = call(900, attempt.name, b"record", server.now, attempt.body, idempotency_key)
    server.client.feed(copy)
    server.settle(deliver=False)
    server.settle()
    assert (
        server.dispatcher.open_count == 0
        and server.ran() == [attempt]
        and server.counts.count("runs_sent") == 1
    )
    if idempotency_key:  # the idempotency key is free for a retry with an id of its own
        retry = server.call(b"record", b"a")
        server.settle()
        assert server.ran() == [attempt, retry]


VARIANTS = {
    "short": with_window(SHORT_WINDOW_S),
    "tight": with_window(SHORT_WINDOW_S, max_concurrency_per_core=1.0),
    "long": with_window(20.0),
    "two windows": two_windows(max_concurrency_per_core=1.0),
    "non-idempotent": replace(
        SERVER_SETTINGS,
        request_classes=tuple(
            replace(
                request_class, idempotency=Idempotency.NON_IDEMPOTENT, idempotency_window_s=SHORT_WINDOW_S
            )
            for request_class in SERVER_SETTINGS.request_classes
        ),
    ),
    "cancellation unsupported": with_window(0.0, cancellation=Cancellation.UNSUPPORTED, answer_slack_s=0.0),
}
FREQUENT_STEPS = (
    ["read"] * 2
    + ["write"] * 3
    + ["write_unread"] * 3
    + ["deliver"] * 3
    + ["end"] * 3
    + ["fail", "stop", "copy"]
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["cancel", "wait", "pass", "long", "stall", "lose", "rush", "drain", *FREQUENT_STEPS]
        ),
        st.integers(0, 3),
    ),
    max_size=40,
)


@pytest.mark.parametrize("name", VARIANTS)
@settings(
    max_examples=150,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[Phase.explicit, Phase.generate, Phase.shrink],
    suppress_health_check=[HealthCheck.too_slow],
)
@given(STEPS)
@example(
    [("lose", 0), ("pass", 0), ("long", 1), ("write", 0), ("stall", 2)]
)  # answered late, and queried immediately afterwards
def test_rules_hold_while_attempts_are_unread(name: str, steps: list[tuple[str, int]]) -> None:
    server = StrictServer(VARIANTS[name])

    def idempotency_key(request_class: bytes, number: int) -> bytes:
        return (
            b"%b%d" % (request_class, number)
            if server.request_class_of(request_class).idempotency is Idempotency.KEYED
            else b""
        )

    for step, number in steps:
        running = list(server.interpreter.running)
        attempts = [attempt for attempt in server.attempts if attempt in server.read_at]
        ran, deliver = server.ran(), True
        open_or_run = [
            attempt for attempt in attempts if attempt in ran or not (attempt.answers or attempt.cancelled)
        ]
        match step:
            case "read":
                server.call(b"lookup", idempotency_key(b"lookup", number))
            case "write":
                server.call(b"record", idempotency_key(b"record", number))
            case "write_unread":
                request_class = (b"lookup", b"record")[number % 2]
                server.write(request_class, idempotency_key(request_class, number))
                server.write(request_class, idempotency_key(request_class, number))
            case "deliver" if server.unread:
                server.read(server.unread[number % len(server.unread)][0])
                if number == 3:
                    server.read()
            case "rush":  # attempts with one idempotency key and a cancellation in one read
                first = server.call(b"record", idempotency_key(b"record", number))
                server.call(b"record", idempotency_key(b"record", number))
                server.cancel(first)
                server.call(b"record", idempotency_key(b"record", number))
            case "cancel" if attempts:
                server.cancel(attempts[-1 - number % len(attempts)])
            case "end" | "fail" | "stop" if running:
                outcome = {"end": b"success", "fail": b"failure", "stop": b"interrupted"}[step]
                server.end(running[number % len(running)], outcome)
            case "wait":
                server.wait(0.1 * number)
            case "pass":
                server.wait(SHORT_WINDOW_S + 0.02 * number)
            case "long":
                server.wait(2.0 * number)
            case "stall" if server.notice == float("inf"):
                server.stall(0.2 * 3**number)
            case "copy" if open_or_run:
                # An invalid client repeats the id of an attempt that is open or has run.
                attempt = open_or_run[-1 - number % len(open_or_run)]
                stream = FakeStream(server.scheduler)
                server.listener.accepted(stream)
                stream.feed(
                    call(
                        1,
                        attempt.name,
                        attempt.request_class,
                        server.now,
                        attempt.body,
                        attempt.idempotency_key,
                    )
                )
            case "lose":
                server.call(b"record", idempotency_key(b"record", number))
                server.settle(deliver=False)
                server.break_link(lost=True)
            case "drain":
                server.drain(1.0 + number)
            case _:
                deliver = False
        server.settle(deliver)
    server.read()
    if server.notice == float("inf"):
        server.drain(2.0)
    server.settle()
    server.wait(server.stop - server.now - 0.002 if server.stop > server.now else 0.0)
    server.check()
    assert all(
        attempt.answers or attempt.cancelled
        for attempt in server.attempts
        if server.read_at[attempt] < server.stop
    )
