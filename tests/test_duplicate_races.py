"""Duplicates that cross the end, expiry or late reading of their originals, on the serving layer.

The check here is stricter than the simulated server's own and independent of it: an attempt counts from when
it was written, even if it lay unread; the window counts from `since` of each attempt that ran.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st
from simulated_server import Attempt, FakeStream, SimulatedServer, call
from test_serving import SERVER_SETTINGS

from sablewheel.overload.interface import Cancellation, Idempotency, RequestClass, ServerSettings, Tenant

SHORT = 0.3  # a window shorter than the deadline, the grace and many a wait
LIMIT = 0.05  # by which the protocol makes every time limit longer


def with_window(window: float, **rest: object) -> ServerSettings:
    """The usual settings with another window for the keyed request class."""
    request_class = replace(SERVER_SETTINGS.request_classes[1], idempotency_window_s=window)
    request_classes = (SERVER_SETTINGS.request_classes[0], request_class)
    return replace(SERVER_SETTINGS, request_classes=request_classes, **rest)  # type: ignore[arg-type]


class StrictServer(SimulatedServer):
    """A server where attempts may lie unread; every step is checked by the rules on sockets."""

    def __init__(self, server_settings: ServerSettings) -> None:
        self.unread: list[tuple[Attempt, bytes]] = []
        self.read_at: dict[Attempt, float] = {}
        self.ran_before: list[bytes] = []  # names, as of the last check
        self.checked: set[Attempt] = set()
        self.never_ran: set[bytes] = set()  # as the interpreter reported
        super().__init__(server_settings)

    def request_class_of(self, name: bytes) -> RequestClass:
        return self.server_settings.request_classes[name == b"record"]

    def request_class(self, attempt: Attempt) -> RequestClass:
        return self.request_class_of(attempt.request_class)

    def write(self, request_class: bytes, idempotency_key: bytes = b"", router: int = 4) -> Attempt:
        """A client writes an attempt now; it lies unread until `read`."""
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
        """All that lies unread, or the given attempts of it, is received in one read."""
        going = [(attempt, data) for attempt, data in self.unread if not attempts or attempt in attempts]
        self.unread = [each for each in self.unread if each not in going]
        self.read_at.update({attempt: self.now for attempt, _ in going})
        if going:
            self.client.feed(b"".join(data for _, data in going))

    def call(self, request_class: bytes, idempotency_key: bytes = b"", ago: float = 0.0) -> Attempt:
        assert not ago
        attempt = self.write(request_class, idempotency_key)
        self.read(attempt)
        return attempt

    def stall(self, span: float) -> None:
        """The server stands still; what was due meanwhile is due once it goes on."""
        self.scheduler.clock.now += span
        self.read_at.update({attempt: self.now for attempt in self.read_at})
        self.wait(0.0)

    def end(self, name: bytes, how: bytes = b"success") -> None:
        if how == b"nothing":
            self.never_ran.add(name)
        super().end(name, how)

    def ran(self) -> list[Attempt]:
        by_name = {attempt.name: attempt for attempt in self.attempts}
        names = [name for name, *_ in self.interpreter.applied if name not in self.never_ran]
        return [by_name[name] for name in names]

    def check(self) -> None:
        server_settings, slack = self.server_settings, self.server_settings.answer_slack_s + LIMIT + 1e-6
        ran = self.ran()
        assert len(set(ran)) == len(ran), "one try was run twice"
        for place, attempt in enumerate(ran):
            assert attempt.since <= self.notice + server_settings.drain_grace_s + LIMIT, (
                "run after the drain's grace"
            )
            for before in ran[:place]:
                if attempt.idempotency_key and attempt.idempotency_key == before.idempotency_key:
                    assert (
                        attempt.since > before.since + self.request_class(before).idempotency_window_s + LIMIT
                    ), "ran twice"
        for attempt in self.attempts:
            assert len(attempt.answers) <= 1, "answered twice"
            if attempt in self.read_at and not attempt.answers and not attempt.cancelled:
                due = max(attempt.since + self.request_class(attempt).timeout_s, self.read_at[attempt])
                assert self.now <= min(due + slack, self.stop), "lost"
            if not attempt.answers or attempt in self.checked:
                continue
            self.checked.add(attempt)
            word = attempt.answers[0][1]
            if word == b"OK":
                assert attempt.answers[0][3] == b"made of " + attempt.body, "result changed"
                assert any(other.body == attempt.body for other in ran), "result of no run"
            if word == b"BUSY":
                assert attempt not in ran, "denied what has run"
                for other in ran:
                    if (
                        attempt.idempotency_key
                        and other.idempotency_key == attempt.idempotency_key
                        and other.name in self.ran_before
                    ):
                        until = other.since + self.request_class(other).idempotency_window_s
                        assert attempt.since > until, "a repeat of what has run was denied"
        self.ran_before = [attempt.name for attempt in ran]


def words(*attempts: Attempt) -> list[bytes]:
    return [attempt.answers[0][1] if attempt.answers else b"" for attempt in attempts]


def assert_run_once(server: StrictServer, first: Attempt, second: Attempt) -> None:
    """The first ran, the second did not, and both get its result."""
    assert server.ran() == [first]
    server.end(first.name)
    server.settle()
    assert words(first, second) == [b"OK", b"OK"]


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("window", [SHORT, 0.0])
def test_two_attempts_that_are_read_after_their_window_run_once(together: bool, window: float) -> None:
    """What was read past its own window was not remembered: its twin, as late, ran beside it."""
    server = StrictServer(with_window(window))
    first, second = server.write(b"record", b"a"), server.write(b"record", b"a")
    server.scheduler.clock.now += 0.5
    server.read(*([first, second] if together else [first]))
    server.settle()
    server.read()
    server.settle()
    assert_run_once(server, first, second)


def test_two_attempts_that_waited_for_the_interpreter_past_their_window_run_once() -> None:
    server = StrictServer(with_window(SHORT))
    server.dispatcher._controller = None  # as before the first greeting
    first, second = server.call(b"record", b"a"), server.call(b"record", b"a")
    server.settle()
    assert server.dispatcher.open_count == 2 and not server.ran()
    server.scheduler.clock.now += 1.0
    server.dispatcher.interpreter_ready(cold=False, uptime_s=1.0)
    server.settle()
    assert_run_once(server, first, second)


def test_an_attempt_that_came_while_the_round_went_on_counts_from_then() -> None:
    """The round's clock stands while it lasts: a window counted from it ended too early."""
    server = StrictServer(with_window(SHORT))
    clock, start = server.scheduler.clock, server.now

    def read() -> float:
        clock.now = max(clock.now, start + 0.25)
        return clock.now

    first = Attempt(1, b"%016x" % 1, b"record", b"a", start + 0.25)
    server.attempts.append(first)
    server.client.feed(call(1, first.name, b"record", first.since, first.body, b"a"))
    server.read_at[first] = first.since
    clock.read = read  # type: ignore[method-assign]
    server.settle()
    assert server.ran() == [first] and server.now == start + 0.25
    clock.now = first.since + SHORT - 0.01
    again = server.call(b"record", b"a")
    server.settle()
    assert server.ran() == [first] and not again.answers


@pytest.mark.parametrize("slack", [0.0, 0.08])
@pytest.mark.parametrize("after", [SHORT, SHORT + LIMIT, 1.0])
def test_the_window_ends_as_late_as_the_protocol_allows(slack: float, after: float) -> None:
    server = StrictServer(with_window(SHORT, answer_slack_s=slack))
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.wait(after)
    again = server.call(b"record", b"a")
    server.settle()
    assert (again in server.ran()) == (after == 1.0)


def test_a_duplicate_read_late_still_meets_the_original_when_a_later_attempt_was_rejected() -> None:
    """The later try took the idempotency key over and let go of it: the one that ran was forgotten with
    it.
    """
    server = StrictServer(with_window(SHORT, max_concurrency_per_core=1.0))
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    lookups = [server.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    server.wait(SHORT)
    late = server.write(b"record", b"a")  # within the window
    server.scheduler.clock.now += 0.2
    rejected = server.call(b"record", b"a")  # past it
    server.settle()
    server.wait(SERVER_SETTINGS.request_classes[1].latency_objective_s)
    assert words(rejected) == [b"BUSY"]
    for attempt in lookups:
        server.end(attempt.name)
    server.settle()
    server.read(late)
    server.settle()
    assert server.ran() == [first, *lookups] and words(late) == [b"OK"]


def test_a_duplicate_read_late_still_meets_the_original_when_a_later_attempt_was_cancelled() -> None:
    server = StrictServer(with_window(SHORT, max_concurrency_per_core=1.0))
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    lookups = [server.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    server.wait(SHORT)
    late = server.write(b"record", b"a")
    server.scheduler.clock.now += 0.2
    gone = server.call(b"record", b"a")
    server.settle()
    assert not gone.answers
    server.cancel(gone)
    server.settle()
    for attempt in lookups:
        server.end(attempt.name)
    server.settle()
    server.read(late)
    server.settle()
    assert server.ran() == [first, *lookups] and words(late) == [b"OK"]


def test_a_duplicate_read_after_a_long_stall_is_neither_run_nor_rejected() -> None:
    """By then the table has let go of the first, and runs that take longer than anybody waits look usual."""
    server = StrictServer(with_window(SHORT))
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
    server.settle()  # a round that brings other things, or the accepting of its connection
    server.read()
    server.settle()
    assert server.ran() == [first] and words(late) == [b"FAILED"]


def test_an_older_attempt_does_not_run_after_a_newer_one() -> None:
    """Held past a short window, the idempotency key was taken over; one within its share then overtook
    the older.
    """
    server = StrictServer(
        with_window(SHORT, max_concurrency_per_core=1.0, over_quota_weight=0.5, tenants=(Tenant(0.5),))
    )
    for _ in range(4):
        attempt = server.call(b"lookup")
        server.settle()
        server.end(attempt.name)
        server.settle()
    server.wait(2.0)
    lookups = [server.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    server.wait(1.8)
    older = server.call(b"record", b"a")  # beyond its tenant's share
    server.wait(SHORT + LIMIT + 0.2)
    assert not older.answers
    newer = server.call(b"record", b"a")  # within it
    server.settle()
    for attempt in lookups:
        server.end(attempt.name)
        server.settle()
    assert server.ran()[-1] is older
    server.end(older.name)
    server.settle()
    assert words(older, newer) == [b"OK", b"OK"]


def two_windows(**rest: object) -> ServerSettings:
    request_classes = (
        replace(SERVER_SETTINGS.request_classes[1], idempotency_window_s=0.2),
        replace(SERVER_SETTINGS.request_classes[1], idempotency_window_s=60.0),
    )
    return replace(SERVER_SETTINGS, request_classes=request_classes, **rest)  # type: ignore[arg-type]


def test_idempotency_keys_of_short_windows_are_let_go_behind_one_of_a_long_window() -> None:
    """Lapses were taken to come in order: whatever came behind a long window was kept and counted with it."""
    server = StrictServer(two_windows())
    controller = server.dispatcher._controller
    assert controller is not None
    long = server.call(b"record", b"long")
    server.settle()
    server.end(long.name)
    server.settle()
    for place in range(20):
        attempt = server.call(b"lookup", b"short%d" % place)
        server.settle()
        server.end(attempt.name)
        server.settle()
    kept = server.idempotency_keys._cached_bytes
    server.wait(5.0)
    assert len(server.idempotency_keys._entries) == 1 and server.idempotency_keys._cached_bytes < kept / 10
    assert controller.resources.memory_kb == pytest.approx(SERVER_SETTINGS.idempotency_key_kb)
    again = server.call(b"record", b"long")
    server.settle()
    assert words(again) == [b"OK"]


def test_a_long_windows_result_is_not_dropped_for_those_that_nobody_can_refer_to() -> None:
    server = StrictServer(two_windows())
    long = server.call(b"record", b"long")
    server.settle()
    server.end(long.name)
    server.settle()
    server.idempotency_keys._max_result_bytes = 100
    for place in range(20):
        attempt = server.call(b"lookup", b"short%d" % place)
        server.settle()
        server.end(attempt.name)
        server.wait(5.0 if place % 4 == 3 else 0.0)
    assert server.idempotency_keys._cached_bytes <= 100
    again = server.call(b"record", b"long")
    server.settle()
    assert words(again) == [b"OK"]


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("how", [b"success", b"failure", b"interrupted", b"nothing"])
@pytest.mark.parametrize("gone", [True, False])
def test_a_duplicate_that_comes_in_the_round_of_the_originals_end(
    before: bool, how: bytes, gone: bool
) -> None:
    server = StrictServer(with_window(SHORT))
    first = server.call(b"record", b"a")
    server.settle()
    if gone:
        server.cancel(first)
    if before:
        again = server.call(b"record", b"a")
        server.end(first.name, how)
    else:
        server.end(first.name, how)
        again = server.call(b"record", b"a")
    server.settle()
    last = server.call(b"record", b"a")
    server.settle()
    ran = server.ran()
    if how == b"nothing":  # it never began: the next is a first, but one that waited for it ends with it
        assert ran == [last if before or gone else again]  # a cancel and a repeat come in one read
    else:
        assert ran == [first]
        word = b"OK" if how == b"success" else b"FAILED"
        assert words(first, again, last) == [b"" if gone else word, word, word]


@pytest.mark.parametrize("order", ["cancel repeat", "repeat cancel", "repeat cancel repeat"])
@pytest.mark.parametrize("place", ["held", "running", "joined"])
def test_a_duplicate_that_comes_in_one_read_with_a_cancel(order: str, place: str) -> None:
    server = StrictServer(with_window(SHORT, max_concurrency_per_core=1.0))
    if place == "held":
        server.call(b"lookup")
        server.call(b"lookup")
    attempts = [server.call(b"record", b"a")]
    if place == "joined":
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
    assert place == "held" or set(words(*answered)) <= {b"OK"}
    assert sum(attempt.request_class == b"record" for attempt in server.ran()) <= 1


def test_two_duplicates_in_the_round_of_the_originals_rejection() -> None:
    """It never ran. One that waited for it ends at once, not at its own time; the idempotency key is free."""
    server = StrictServer(with_window(SHORT, max_concurrency_per_core=1.0))
    lookups = [server.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    server.settle()
    first = server.call(b"record", b"a")
    server.settle()
    repeats = [server.call(b"record", b"a") for _ in range(2)]
    server.scheduler.clock.now += SERVER_SETTINGS.request_classes[
        1
    ].latency_objective_s  # held out, in the batch of the one repeat
    server.settle()
    assert words(first, *repeats) == [b"BUSY", b"FAILED", b"BUSY"]
    for attempt in lookups:
        server.end(attempt.name)
    server.settle()
    last = server.call(b"record", b"a")
    server.settle()
    assert server.ran() == [*lookups, last]


@pytest.mark.parametrize("room_for_itself", [True, False])
def test_a_duplicate_past_the_grace_or_the_memory_guard_gets_the_result(room_for_itself: bool) -> None:
    """Where not even its own memory is free it can't wait for that: it fails at once, and is not denied."""
    server = StrictServer(with_window(20.0))
    first, second = server.call(b"record", b"a"), server.call(b"record", b"b")
    server.settle()
    server.end(first.name)
    server.settle()
    server.drain(4.0)
    server.wait(SERVER_SETTINGS.drain_grace_s + 0.5)
    controller = server.dispatcher._controller
    assert controller is not None
    late_kb = 3 * 10.0  # of the three that come late; a run takes four times as much
    free_kb = SERVER_SETTINGS.memory_kb - controller.resources.memory_kb
    taken_kb = free_kb - late_kb if room_for_itself else SERVER_SETTINGS.memory_kb
    controller.resources.memory_kb += taken_kb  # no room for a run, or for anything
    late = [server.call(b"record", idempotency_key) for idempotency_key in (b"a", b"b", b"c")]
    server.settle()
    waiting = b"" if room_for_itself else b"FAILED"
    assert words(*late) == [waiting, waiting, b"BUSY"]
    controller.resources.memory_kb -= taken_kb
    server.end(second.name, b"failure")
    server.wait(0.1)
    assert words(*late) == [b"OK" if room_for_itself else b"FAILED", b"FAILED", b"BUSY"]
    assert server.ran() == [first, second]


def test_a_duplicate_in_the_round_of_its_originals_due_time() -> None:
    server = StrictServer(with_window(20.0))
    first = server.call(b"record", b"a")
    server.settle()
    again = server.call(b"record", b"a")
    server.scheduler.clock.now += SERVER_SETTINGS.request_classes[1].timeout_s + 0.01
    server.settle()
    assert words(first, again) == [b"FAILED", b"FAILED"]
    third = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    assert words(third) == [b"OK"] and server.ran() == [first]


def test_an_original_that_runs_past_its_window_still_answers_those_that_came_within() -> None:
    server = StrictServer(with_window(SHORT))
    first = server.call(b"record", b"a")
    server.settle()
    server.wait(SHORT)
    within = server.write(b"record", b"a")
    server.scheduler.clock.now += 0.5
    server.settle()
    server.read()
    server.settle()
    assert server.ran() == [first]
    past = server.call(b"record", b"a")
    server.settle()
    assert server.ran() == [first, past]  # as the rule allows
    server.end(first.name)
    server.end(past.name)
    server.settle()
    assert words(first, within, past) == [b"OK"] * 3


@pytest.mark.parametrize("window", [0.1, 5.0])
def test_a_window_that_changes_counts_for_what_is_taken_in_from_then_on(window: float) -> None:
    server = StrictServer(with_window(1.0))
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    server_settings = with_window(window)
    server.dispatcher.retune(server_settings, (0, 3, 1))
    server.listener._request_classes.update(
        zip((b"lookup", b"record"), server_settings.request_classes, strict=True)
    )
    server.wait(0.9)
    again = server.call(b"record", b"a")
    server.settle()
    assert words(again) == [b"OK"] and server.ran() == [first]
    other = server.call(b"record", b"b")
    server.settle()
    server.end(other.name)
    server.wait(0.9)
    server.server_settings = server_settings
    server.call(b"record", b"b")
    server.settle()
    assert len(server.ran()) == (3 if window < 0.9 else 2)


def test_a_longer_wait_in_new_settings_keeps_idempotency_keys_for_as_long() -> None:
    server = StrictServer(with_window(SHORT))
    request_classes = tuple(
        replace(attempt, timeout_s=10.0) for attempt in server.server_settings.request_classes
    )
    server_settings = replace(server.server_settings, request_classes=request_classes)
    server.dispatcher.retune(server_settings, (0, 3, 1))
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
    assert words(late) == [b"OK"] and server.ran() == [first]


@pytest.mark.parametrize("idempotency", [Idempotency.NON_IDEMPOTENT, Idempotency.KEYED])
def test_an_id_that_comes_again_after_its_attempt_is_over_is_not_run_again(idempotency: Idempotency) -> None:
    request_class = replace(
        SERVER_SETTINGS.request_classes[1], idempotency=idempotency, idempotency_window_s=SHORT
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
    if idempotency_key:  # and the idempotency key is free for a true try
        true = server.call(b"record", b"a")
        server.settle()
        assert server.ran() == [attempt, true]


VARIANTS = {
    "short": with_window(SHORT),
    "tight": with_window(SHORT, max_concurrency_per_core=1.0),
    "long": with_window(20.0),
    "two windows": two_windows(max_concurrency_per_core=1.0),
    "irreversible": replace(
        SERVER_SETTINGS,
        request_classes=tuple(
            replace(attempt, idempotency=Idempotency.NON_IDEMPOTENT, idempotency_window_s=SHORT)
            for attempt in SERVER_SETTINGS.request_classes
        ),
    ),
    "never stopped": with_window(0.0, cancellation=Cancellation.UNSUPPORTED, answer_slack_s=0.0),
}
OFTEN = ["read"] * 2 + ["write"] * 3 + ["lie"] * 3 + ["deliver"] * 3 + ["end"] * 3 + ["fail", "stop", "copy"]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["cancel", "wait", "pass", "long", "stall", "lose", "rush", "drain", *OFTEN]),
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
)  # answered late, queried at once
def test_rules_hold_while_attempts_lie_unread(name: str, steps: list[tuple[str, int]]) -> None:
    server = StrictServer(VARIANTS[name])

    def idempotency_key(request_class: bytes, which: int) -> bytes:
        return (
            b"%b%d" % (request_class, which)
            if server.request_class_of(request_class).idempotency is Idempotency.KEYED
            else b""
        )

    for step, which in steps:
        running = list(server.interpreter.running)
        attempts = [attempt for attempt in server.attempts if attempt in server.read_at]
        ran, deliver = server.ran(), True
        known = [
            attempt for attempt in attempts if attempt in ran or not (attempt.answers or attempt.cancelled)
        ]
        match step:
            case "read":
                server.call(b"lookup", idempotency_key(b"lookup", which))
            case "write":
                server.call(b"record", idempotency_key(b"record", which))
            case "lie":
                request_class = (b"lookup", b"record")[which % 2]
                server.write(request_class, idempotency_key(request_class, which))
                server.write(request_class, idempotency_key(request_class, which))
            case "deliver" if server.unread:
                server.read(server.unread[which % len(server.unread)][0])
                if which == 3:
                    server.read()
            case "rush":
                first = server.call(b"record", idempotency_key(b"record", which))
                server.call(b"record", idempotency_key(b"record", which))
                server.cancel(first)
                server.call(b"record", idempotency_key(b"record", which))
            case "cancel" if attempts:
                server.cancel(attempts[-1 - which % len(attempts)])
            case "end" | "fail" | "stop" if running:
                how = {"end": b"success", "fail": b"failure", "stop": b"interrupted"}[step]
                server.end(running[which % len(running)], how)
            case "wait":
                server.wait(0.1 * which)
            case "pass":
                server.wait(SHORT + 0.02 * which)
            case "long":
                server.wait(2.0 * which)
            case "stall" if server.notice == float("inf"):
                server.stall(0.2 * 3**which)
            case "copy" if known:  # a bad client: a name once more, of a try that is open or ran
                attempt = known[-1 - which % len(known)]
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
                server.call(b"record", idempotency_key(b"record", which))
                server.settle(deliver=False)
                server.cut(lost=True)
            case "drain":
                server.drain(1.0 + which)
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
