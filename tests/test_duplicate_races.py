"""Repeats that cross the ends, lapses and late readings of what they repeat, on the routing layer.

The judge here is stricter than the town's own and written apart from it: a try counts from when it was
written, even if it lay unread; the window counts from `since` of each try that ran.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from simulated_server import MadeStream, Town, Try, call
from test_serving import SERVER_SETTINGS

from sablewheel.overload.interface import Cancellation, Idempotency, RequestClass, ServerSettings, Tenant

SHORT = 0.3  # a window shorter than the deadline, the grace and many a wait
LIMIT = 0.05  # by which the protocol makes every time limit longer


def made(window: float, **rest: object) -> ServerSettings:
    """The usual machine with another window for its keyed request class."""
    request_class = replace(SERVER_SETTINGS.request_classes[1], idempotency_window_s=window)
    request_classes = (SERVER_SETTINGS.request_classes[0], request_class)
    return replace(SERVER_SETTINGS, request_classes=request_classes, **rest)  # type: ignore[arg-type]


class Judged(Town):
    """A town where tries may lie unread; every step is judged by the rules on sockets."""

    def __init__(self, server_settings: ServerSettings) -> None:
        self.unread: list[tuple[Try, bytes]] = []
        self.read_at: dict[Try, float] = {}
        self.ran_before: list[bytes] = []  # names, as of the last judgement
        self.judged: set[Try] = set()
        self.never_ran: set[bytes] = set()  # names of which the interpreter said so
        super().__init__(server_settings)

    def request_class_of(self, name: bytes) -> RequestClass:
        return self.server_settings.request_classes[name == b"record"]

    def request_class(self, one: Try) -> RequestClass:
        return self.request_class_of(one.request_class)

    def write(self, request_class: bytes, idempotency_key: bytes = b"", router: int = 4) -> Try:
        """A router writes a try, now; it lies unread until `read`."""
        tag = len(self.tries) + 1
        one = Try(tag, b"%016x" % tag, request_class, idempotency_key, self.now)
        self.tries.append(one)
        self.unread.append(
            (one, call(tag, one.name, request_class, one.since, one.body, idempotency_key, router))
        )
        return one

    def read(self, *tries: Try) -> None:
        """All that lies unread, or these of it, comes in one read."""
        going = [(one, data) for one, data in self.unread if not tries or one in tries]
        self.unread = [each for each in self.unread if each not in going]
        self.read_at.update({one: self.now for one, _ in going})
        if going:
            self.router.feed(b"".join(data for _, data in going))

    def call(self, request_class: bytes, idempotency_key: bytes = b"", ago: float = 0.0) -> Try:
        assert not ago
        one = self.write(request_class, idempotency_key)
        self.read(one)
        return one

    def stall(self, span: float) -> None:
        """The server stands still; what was due meanwhile is due once it goes on."""
        self.scheduler.clock.now += span
        self.read_at.update({one: self.now for one in self.read_at})
        self.wait(0.0)

    def end(self, name: bytes, how: bytes = b"success") -> None:
        if how == b"nothing":
            self.never_ran.add(name)
        super().end(name, how)

    def ran(self) -> list[Try]:
        by_name = {one.name: one for one in self.tries}
        names = [name for name, *_ in self.interpreter.applied if name not in self.never_ran]
        return [by_name[name] for name in names]

    def check(self) -> None:
        server_settings, slack = self.server_settings, self.server_settings.answer_slack_s + LIMIT + 1e-6
        ran = self.ran()
        assert len(set(ran)) == len(ran), "one try was run twice"
        for place, one in enumerate(ran):
            assert one.since <= self.notice + server_settings.drain_grace_s + LIMIT, (
                "run after the drain's grace"
            )
            for before in ran[:place]:
                if one.idempotency_key and one.idempotency_key == before.idempotency_key:
                    assert (
                        one.since > before.since + self.request_class(before).idempotency_window_s + LIMIT
                    ), "ran twice"
        for one in self.tries:
            assert len(one.answers) <= 1, "answered twice"
            if one in self.read_at and not one.answers and not one.cancelled:
                due = max(one.since + self.request_class(one).timeout_s, self.read_at[one])
                assert self.now <= min(due + slack, self.stop), "lost"
            if not one.answers or one in self.judged:
                continue
            self.judged.add(one)
            word = one.answers[0][1]
            if word == b"OK":
                assert one.answers[0][3] == b"made of " + one.body, "result changed"
                assert any(other.body == one.body for other in ran), "result of no run"
            if word == b"BUSY":
                assert one not in ran, "denied what has run"
                for other in ran:
                    if (
                        one.idempotency_key
                        and other.idempotency_key == one.idempotency_key
                        and other.name in self.ran_before
                    ):
                        until = other.since + self.request_class(other).idempotency_window_s
                        assert one.since > until, "a repeat of what has run was denied"
        self.ran_before = [one.name for one in ran]


def words(*tries: Try) -> list[bytes]:
    return [one.answers[0][1] if one.answers else b"" for one in tries]


def assert_run_once(town: Judged, first: Try, second: Try) -> None:
    """The first ran, the second did not, and both get its result."""
    assert town.ran() == [first]
    town.end(first.name)
    town.settle()
    assert words(first, second) == [b"OK", b"OK"]


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("window", [SHORT, 0.0])
def test_two_tries_that_are_read_after_their_window_run_once(together: bool, window: float) -> None:
    """What was read past its own window was not remembered: its twin, as late, ran beside it."""
    town = Judged(made(window))
    first, second = town.write(b"record", b"a"), town.write(b"record", b"a")
    town.scheduler.clock.now += 0.5
    town.read(*([first, second] if together else [first]))
    town.settle()
    town.read()
    town.settle()
    assert_run_once(town, first, second)


def test_two_tries_that_waited_for_the_interpreter_past_their_window_run_once() -> None:
    town = Judged(made(SHORT))
    town.dispatch._controller = None  # as before the first greeting
    first, second = town.call(b"record", b"a"), town.call(b"record", b"a")
    town.settle()
    assert town.dispatch.open_count == 2 and not town.ran()
    town.scheduler.clock.now += 1.0
    town.dispatch.interpreter_ready(cold=False, uptime_s=1.0)
    town.settle()
    assert_run_once(town, first, second)


def test_a_try_that_came_while_the_round_went_on_counts_from_then() -> None:
    """The round's clock stands while it lasts: a window counted from it ended too early."""
    town = Judged(made(SHORT))
    clock, start = town.scheduler.clock, town.now

    def read() -> float:
        clock.now = max(clock.now, start + 0.25)
        return clock.now

    first = Try(1, b"%016x" % 1, b"record", b"a", start + 0.25)
    town.tries.append(first)
    town.router.feed(call(1, first.name, b"record", first.since, first.body, b"a"))
    town.read_at[first] = first.since
    clock.read = read  # type: ignore[method-assign]
    town.settle()
    assert town.ran() == [first] and town.now == start + 0.25
    clock.now = first.since + SHORT - 0.01
    again = town.call(b"record", b"a")
    town.settle()
    assert town.ran() == [first] and not again.answers


@pytest.mark.parametrize("slack", [0.0, 0.08])
@pytest.mark.parametrize("after", [SHORT, SHORT + LIMIT, 1.0])
def test_the_window_ends_as_late_as_the_protocol_allows(slack: float, after: float) -> None:
    town = Judged(made(SHORT, answer_slack_s=slack))
    first = town.call(b"record", b"a")
    town.settle()
    town.end(first.name)
    town.wait(after)
    again = town.call(b"record", b"a")
    town.settle()
    assert (again in town.ran()) == (after == 1.0)


def test_a_repeat_read_late_still_meets_the_first_when_a_later_try_was_rejected() -> None:
    """The later try took the idempotency key over and let go of it: the one that ran was forgotten with
    it.
    """
    town = Judged(made(SHORT, max_concurrency_per_core=1.0))
    first = town.call(b"record", b"a")
    town.settle()
    town.end(first.name)
    town.settle()
    lookups = [town.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    town.wait(SHORT)
    late = town.write(b"record", b"a")  # within the window
    town.scheduler.clock.now += 0.2
    rejected = town.call(b"record", b"a")  # past it
    town.settle()
    town.wait(SERVER_SETTINGS.request_classes[1].latency_objective_s)
    assert words(rejected) == [b"BUSY"]
    for one in lookups:
        town.end(one.name)
    town.settle()
    town.read(late)
    town.settle()
    assert town.ran() == [first, *lookups] and words(late) == [b"OK"]


def test_a_repeat_read_late_still_meets_the_first_when_a_later_try_was_cancelled() -> None:
    town = Judged(made(SHORT, max_concurrency_per_core=1.0))
    first = town.call(b"record", b"a")
    town.settle()
    town.end(first.name)
    town.settle()
    lookups = [town.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    town.wait(SHORT)
    late = town.write(b"record", b"a")
    town.scheduler.clock.now += 0.2
    gone = town.call(b"record", b"a")
    town.settle()
    assert not gone.answers
    town.cancel(gone)
    town.settle()
    for one in lookups:
        town.end(one.name)
    town.settle()
    town.read(late)
    town.settle()
    assert town.ran() == [first, *lookups] and words(late) == [b"OK"]


def test_a_repeat_read_after_a_long_stall_is_neither_run_nor_rejected() -> None:
    """By then the table has let go of the first, and runs that take longer than anybody waits look usual."""
    town = Judged(made(SHORT))
    controller = town.dispatch._controller
    assert controller is not None
    first = town.call(b"record", b"a")
    town.settle()
    town.end(first.name)
    town.settle()
    for row in controller.table.values():
        row.service.add(100.0)
    late = town.write(b"record", b"a")
    town.scheduler.clock.now += SERVER_SETTINGS.request_classes[1].timeout_s + 1.0
    town.settle()  # a round that brings other things, or the accepting of its connection
    town.read()
    town.settle()
    assert town.ran() == [first] and words(late) == [b"FAILED"]


def test_an_older_try_does_not_run_after_a_newer_one() -> None:
    """Held past a short window, the idempotency key was taken over; one within its share then overtook
    the older.
    """
    town = Judged(made(SHORT, max_concurrency_per_core=1.0, over_quota_weight=0.5, tenants=(Tenant(0.5),)))
    for _ in range(4):
        one = town.call(b"lookup")
        town.settle()
        town.end(one.name)
        town.settle()
    town.wait(2.0)
    lookups = [town.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    town.wait(1.8)
    older = town.call(b"record", b"a")  # beyond its tenant's share
    town.wait(SHORT + LIMIT + 0.2)
    assert not older.answers
    newer = town.call(b"record", b"a")  # within it
    town.settle()
    for one in lookups:
        town.end(one.name)
        town.settle()
    assert town.ran()[-1] is older
    town.end(older.name)
    town.settle()
    assert words(older, newer) == [b"OK", b"OK"]


def two_windows(**rest: object) -> ServerSettings:
    request_classes = (
        replace(SERVER_SETTINGS.request_classes[1], idempotency_window_s=0.2),
        replace(SERVER_SETTINGS.request_classes[1], idempotency_window_s=60.0),
    )
    return replace(SERVER_SETTINGS, request_classes=request_classes, **rest)  # type: ignore[arg-type]


def test_idempotency_keys_of_short_windows_are_let_go_behind_one_of_a_long_window() -> None:
    """Lapses were taken to come in order: whatever came behind a long window was kept and counted with it."""
    town = Judged(two_windows())
    controller = town.dispatch._controller
    assert controller is not None
    long = town.call(b"record", b"long")
    town.settle()
    town.end(long.name)
    town.settle()
    for place in range(20):
        one = town.call(b"lookup", b"short%d" % place)
        town.settle()
        town.end(one.name)
        town.settle()
    kept = town.idempotency_keys._cached_bytes
    town.wait(5.0)
    assert len(town.idempotency_keys._entries) == 1 and town.idempotency_keys._cached_bytes < kept / 10
    assert controller.kb == pytest.approx(SERVER_SETTINGS.idempotency_key_kb)
    again = town.call(b"record", b"long")
    town.settle()
    assert words(again) == [b"OK"]


def test_a_long_windows_result_is_not_dropped_for_those_that_nobody_can_mean() -> None:
    town = Judged(two_windows())
    long = town.call(b"record", b"long")
    town.settle()
    town.end(long.name)
    town.settle()
    town.idempotency_keys._max_result_bytes = 100
    for place in range(20):
        one = town.call(b"lookup", b"short%d" % place)
        town.settle()
        town.end(one.name)
        town.wait(5.0 if place % 4 == 3 else 0.0)
    assert town.idempotency_keys._cached_bytes <= 100
    again = town.call(b"record", b"long")
    town.settle()
    assert words(again) == [b"OK"]


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("how", [b"success", b"failure", b"interrupted", b"nothing"])
@pytest.mark.parametrize("gone", [True, False])
def test_a_repeat_that_comes_in_the_round_of_the_firsts_end(before: bool, how: bytes, gone: bool) -> None:
    town = Judged(made(SHORT))
    first = town.call(b"record", b"a")
    town.settle()
    if gone:
        town.cancel(first)
    if before:
        again = town.call(b"record", b"a")
        town.end(first.name, how)
    else:
        town.end(first.name, how)
        again = town.call(b"record", b"a")
    town.settle()
    last = town.call(b"record", b"a")
    town.settle()
    ran = town.ran()
    if how == b"nothing":  # it never began: the next is a first, but one that waited for it ends with it
        assert ran == [last if before or gone else again]  # a cancel and a repeat come in one read
    else:
        assert ran == [first]
        word = b"OK" if how == b"success" else b"FAILED"
        assert words(first, again, last) == [b"" if gone else word, word, word]


@pytest.mark.parametrize("order", ["cancel repeat", "repeat cancel", "repeat cancel repeat"])
@pytest.mark.parametrize("place", ["held", "running", "joined"])
def test_a_repeat_that_comes_in_one_read_with_a_cancel(order: str, place: str) -> None:
    town = Judged(made(SHORT, max_concurrency_per_core=1.0))
    if place == "held":
        town.call(b"lookup")
        town.call(b"lookup")
    tries = [town.call(b"record", b"a")]
    if place == "joined":
        tries.append(town.call(b"record", b"a"))
    town.settle()
    for step in order.split():
        if step == "cancel":
            town.cancel(tries[0])
        else:
            tries.append(town.call(b"record", b"a"))
    town.settle()
    while town.interpreter.running:
        town.end(next(iter(town.interpreter.running)))
        town.settle()
    assert town.dispatch.open_count == 0
    answered = [one for one in tries if not one.cancelled]
    assert all(one.answers for one in answered)
    assert place == "held" or set(words(*answered)) <= {b"OK"}
    assert sum(one.request_class == b"record" for one in town.ran()) <= 1


def test_two_repeats_in_the_round_of_the_firsts_rejection() -> None:
    """It never ran. One that waited for it ends at once, not at its own time; the idempotency key is free."""
    town = Judged(made(SHORT, max_concurrency_per_core=1.0))
    lookups = [town.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    town.settle()
    first = town.call(b"record", b"a")
    town.settle()
    repeats = [town.call(b"record", b"a") for _ in range(2)]
    town.scheduler.clock.now += SERVER_SETTINGS.request_classes[
        1
    ].latency_objective_s  # held out, in the batch of the one repeat
    town.settle()
    assert words(first, *repeats) == [b"BUSY", b"FAILED", b"BUSY"]
    for one in lookups:
        town.end(one.name)
    town.settle()
    last = town.call(b"record", b"a")
    town.settle()
    assert town.ran() == [*lookups, last]


def test_a_repeat_past_the_grace_or_the_memory_guard_gets_the_result() -> None:
    town = Judged(made(20.0))
    first, second = town.call(b"record", b"a"), town.call(b"record", b"b")
    town.settle()
    town.end(first.name)
    town.settle()
    town.drain(4.0)
    town.wait(SERVER_SETTINGS.drain_grace_s + 0.5)
    controller = town.dispatch._controller
    assert controller is not None
    controller.kb += SERVER_SETTINGS.memory_kb  # no room for anything
    late = [town.call(b"record", idempotency_key) for idempotency_key in (b"a", b"b", b"c")]
    town.settle()
    assert words(*late) == [b"", b"", b"BUSY"]
    controller.kb -= SERVER_SETTINGS.memory_kb
    town.end(second.name, b"failure")
    town.wait(0.1)
    assert words(*late) == [b"OK", b"FAILED", b"BUSY"]


def test_a_repeat_in_the_round_of_its_firsts_due_time() -> None:
    town = Judged(made(20.0))
    first = town.call(b"record", b"a")
    town.settle()
    again = town.call(b"record", b"a")
    town.scheduler.clock.now += SERVER_SETTINGS.request_classes[1].timeout_s + 0.01
    town.settle()
    assert words(first, again) == [b"FAILED", b"FAILED"]
    third = town.call(b"record", b"a")
    town.settle()
    town.end(first.name)
    town.settle()
    assert words(third) == [b"OK"] and town.ran() == [first]


def test_a_first_that_runs_past_its_window_still_answers_those_that_came_within() -> None:
    town = Judged(made(SHORT))
    first = town.call(b"record", b"a")
    town.settle()
    town.wait(SHORT)
    within = town.write(b"record", b"a")
    town.scheduler.clock.now += 0.5
    town.settle()
    town.read()
    town.settle()
    assert town.ran() == [first]
    past = town.call(b"record", b"a")
    town.settle()
    assert town.ran() == [first, past]  # as the rule allows
    town.end(first.name)
    town.end(past.name)
    town.settle()
    assert words(first, within, past) == [b"OK"] * 3


@pytest.mark.parametrize("window", [0.1, 5.0])
def test_a_window_that_changes_counts_for_what_is_taken_in_from_then_on(window: float) -> None:
    town = Judged(made(1.0))
    first = town.call(b"record", b"a")
    town.settle()
    town.end(first.name)
    town.settle()
    server_settings = made(window)
    town.dispatch.retune(server_settings, (0, 3, 1))
    town.server._request_classes.update(
        zip((b"lookup", b"record"), server_settings.request_classes, strict=True)
    )
    town.wait(0.9)
    again = town.call(b"record", b"a")
    town.settle()
    assert words(again) == [b"OK"] and town.ran() == [first]
    other = town.call(b"record", b"b")
    town.settle()
    town.end(other.name)
    town.wait(0.9)
    town.server_settings = server_settings
    town.call(b"record", b"b")
    town.settle()
    assert len(town.ran()) == (3 if window < 0.9 else 2)


def test_a_longer_wait_in_new_settings_keeps_idempotency_keys_for_as_long() -> None:
    town = Judged(made(SHORT))
    request_classes = tuple(replace(one, timeout_s=10.0) for one in town.server_settings.request_classes)
    server_settings = replace(town.server_settings, request_classes=request_classes)
    town.dispatch.retune(server_settings, (0, 3, 1))
    town.server._request_classes.update(zip((b"lookup", b"record"), request_classes, strict=True))
    town.server_settings = server_settings
    first = town.call(b"record", b"a")
    town.settle()
    town.end(first.name)
    town.settle()
    late = town.write(b"record", b"a")
    town.scheduler.clock.now += 6.0
    town.settle()
    town.read()
    town.settle()
    assert words(late) == [b"OK"] and town.ran() == [first]


@pytest.mark.parametrize("idempotency", [Idempotency.NON_IDEMPOTENT, Idempotency.KEYED])
def test_a_name_that_comes_again_after_its_try_is_over_is_not_run_again(idempotency: Idempotency) -> None:
    request_class = replace(
        SERVER_SETTINGS.request_classes[1], idempotency=idempotency, idempotency_window_s=SHORT
    )
    town = Judged(
        replace(SERVER_SETTINGS, request_classes=(SERVER_SETTINGS.request_classes[0], request_class))
    )
    idempotency_key = b"a" if idempotency is Idempotency.KEYED else b""
    one = town.call(b"record", idempotency_key)
    town.settle()
    town.end(one.name)
    town.wait(1.0)
    copy = call(900, one.name, b"record", town.now, one.body, idempotency_key)
    town.router.feed(copy)
    town.settle(deliver=False)
    town.settle()
    assert town.dispatch.open_count == 0 and town.ran() == [one] and town.counts.count("runs_sent") == 1
    if idempotency_key:  # and the idempotency key is free for a true try
        true = town.call(b"record", b"a")
        town.settle()
        assert town.ran() == [one, true]


VARIANTS = {
    "short": made(SHORT),
    "tight": made(SHORT, max_concurrency_per_core=1.0),
    "long": made(20.0),
    "two windows": two_windows(max_concurrency_per_core=1.0),
    "irreversible": replace(
        SERVER_SETTINGS,
        request_classes=tuple(
            replace(one, idempotency=Idempotency.NON_IDEMPOTENT, idempotency_window_s=SHORT)
            for one in SERVER_SETTINGS.request_classes
        ),
    ),
    "never stopped": made(0.0, cancellation=Cancellation.UNSUPPORTED, answer_slack_s=0.0),
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
    phases=[Phase.generate, Phase.shrink],
    suppress_health_check=[HealthCheck.too_slow],
)
@given(STEPS)
def test_rules_hold_while_tries_lie_unread(name: str, steps: list[tuple[str, int]]) -> None:
    town = Judged(VARIANTS[name])

    def idempotency_key(request_class: bytes, which: int) -> bytes:
        return (
            b"%b%d" % (request_class, which)
            if town.request_class_of(request_class).idempotency is Idempotency.KEYED
            else b""
        )

    for step, which in steps:
        running = list(town.interpreter.running)
        tries = [one for one in town.tries if one in town.read_at]
        ran, deliver = town.ran(), True
        known = [one for one in tries if one in ran or not (one.answers or one.cancelled)]
        match step:
            case "read":
                town.call(b"lookup", idempotency_key(b"lookup", which))
            case "write":
                town.call(b"record", idempotency_key(b"record", which))
            case "lie":
                request_class = (b"lookup", b"record")[which % 2]
                town.write(request_class, idempotency_key(request_class, which))
                town.write(request_class, idempotency_key(request_class, which))
            case "deliver" if town.unread:
                town.read(town.unread[which % len(town.unread)][0])
                if which == 3:
                    town.read()
            case "rush":
                first = town.call(b"record", idempotency_key(b"record", which))
                town.call(b"record", idempotency_key(b"record", which))
                town.cancel(first)
                town.call(b"record", idempotency_key(b"record", which))
            case "cancel" if tries:
                town.cancel(tries[-1 - which % len(tries)])
            case "end" | "fail" | "stop" if running:
                how = {"end": b"success", "fail": b"failure", "stop": b"interrupted"}[step]
                town.end(running[which % len(running)], how)
            case "wait":
                town.wait(0.1 * which)
            case "pass":
                town.wait(SHORT + 0.02 * which)
            case "long":
                town.wait(2.0 * which)
            case "stall" if town.notice == float("inf"):
                town.stall(0.2 * 3**which)
            case "copy" if known:  # a bad client: a name once more, of a try that is open or ran
                one = known[-1 - which % len(known)]
                stream = MadeStream(town.scheduler)
                town.server.accepted(stream)
                stream.feed(call(1, one.name, one.request_class, town.now, one.body, one.idempotency_key))
            case "lose":
                town.call(b"record", idempotency_key(b"record", which))
                town.settle(deliver=False)
                town.cut(lost=True)
            case "drain":
                town.drain(1.0 + which)
            case _:
                deliver = False
        town.settle(deliver)
    town.read()
    if town.notice == float("inf"):
        town.drain(2.0)
    town.settle()
    town.wait(town.stop - town.now - 0.002 if town.stop > town.now else 0.0)
    town.check()
    assert all(one.answers or one.cancelled for one in town.tries if town.read_at[one] < town.stop)
