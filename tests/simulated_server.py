"""Simulated servers for tests; they check the four rules independently of the code under test."""

from __future__ import annotations

import heapq
import threading
import zlib
from collections import deque
from collections.abc import Callable

from greenlet import getcurrent, greenlet

from sablewheel.overload import interface
from sablewheel.overload.controller import Controller
from sablewheel.overload.interface import Cancellation, Client, Idempotency, Outcome, Request, ServerSettings
from sablewheel.protocol.resp import MAX_BODY_BYTES, Parser
from sablewheel.serving.connection import REQUEST_BYTES
from sablewheel.serving.dispatcher import Dispatcher
from sablewheel.serving.exchange import ServerStatus
from sablewheel.serving.idempotency_keys import IdempotencyTable
from sablewheel.serving.interpreter_client import InterpreterClient
from sablewheel.serving.listener import RequestListener
from sablewheel.transport.connection_memory import ConnectionMemory
from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.transport.stream import MAX_READ_BYTES, Stream

QUEUED, RUNNING, WAITING_TO_CALL, CALLING = "held", "running", "waiting_to_call", "calling"
COALESCED, SUSPENDED, FINISHED = "coalesced", "paused", "finished"
AT_MOST_ONCE = (Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
PROVES_NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NEVER_STARTED)


def raise_errors(actions: list[interface.Action]) -> list[interface.Action]:
    """Return the actions of a batch; raise an internal error of the controller."""
    for action in actions:
        if isinstance(action, interface.InternalError):
            raise action.error
    return actions


class RequestState:
    """The state of a request, tracked independently of the controller."""

    def __init__(self, request: Request, idempotency_key: int, due_at: float) -> None:
        self.request, self.idempotency_key, self.due_at = request, idempotency_key, due_at
        self.stage = QUEUED
        self.answered = self.abandoned = self.ran = self.discarded = self.may_have_called = False
        self.call_timeout_at = 0.0


class ControllerSimulation:
    """Feeds events to one controller, and checks its actions and the four rules after each batch."""

    def __init__(self, server_settings: ServerSettings, seed: int = 7) -> None:
        self.cores_per_run = 1.0  # part of a core that a run uses
        self.server_settings, self.now, self.start = server_settings, 100.0, 100.0
        self.controller = Controller(server_settings, seed)
        self.clients = [Client() for _ in range(server_settings.clients)]
        self.states: dict[Request, RequestState] = {}
        self.reserved_keys: dict[int, tuple[Request, float]] = {}
        self.run_arrivals_by_key: dict[int, list[float]] = {}
        self.timers: list[float] = []
        self.pending_events: list[interface.Event] = []
        self.run_intervals: list[tuple[float, float, int]] = []
        self.call_intervals: list[tuple[float, float, int]] = []
        self.linger_ends: list[float] = []
        self.notified_at = self.stop_at = float("inf")
        self.handle_batch([])

    def in_stage(self, *stages: str) -> list[RequestState]:
        return [state for state in self.states.values() if state.stage in stages]

    def arrive(
        self,
        request_class: int,
        kb: float = 10.0,
        waited: float = 0.0,
        idempotency_key: int = 0,
        **request_fields: object,
    ) -> RequestState:
        request_class_settings = self.server_settings.request_classes[request_class]
        arrived = self.now - waited
        tenants = self.server_settings.tenants
        tenant = tenants[request_class % len(tenants)] if tenants else None
        client_index = (
            request_class if len(self.clients) < 9 else len(self.states)
        )  # few clients: one per request class; many clients: in turn
        client = self.clients[client_index % len(self.clients)]
        request = Request(request_class_settings, client, tenant, arrived, kb, **request_fields)  # type: ignore[arg-type]
        remaining_s = request.remaining_s
        due_at = (
            self.now + remaining_s if remaining_s is not None else arrived + request_class_settings.timeout_s
        )
        state = RequestState(request, idempotency_key, max(self.now, due_at))
        if idempotency_key and request_class_settings.idempotency is Idempotency.KEYED:
            original, valid_until = self.reserved_keys.get(idempotency_key, (None, 0.0))
            if original is not None and arrived <= valid_until:
                original_state = self.states[original]
                if original_state.stage in (QUEUED, COALESCED) or self.run_arrivals_by_key.get(
                    idempotency_key
                ):
                    request.duplicate_of = original
            for event in self.pending_events:  # attempts in one batch are linked even if no key was reserved
                if (
                    isinstance(event, interface.RequestArrived)
                    and self.states[event.request].idempotency_key == idempotency_key
                ):
                    request.duplicate_of = event.request
        self.states[request] = state
        self.pending_events.append(interface.RequestArrived(request))
        return state

    def finish(self, state: RequestState, outcome: Outcome) -> None:
        self._end_run(state, outcome)

    def need_call(self, state: RequestState) -> None:
        state.stage = WAITING_TO_CALL
        self.pending_events.append(interface.DependencyCallNeeded(state.request))
        if state.answered:
            self._end_run(state, Outcome.CANCELLED)

    def end_call(self, state: RequestState, outcome: Outcome) -> None:
        if outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST) and self.server_settings.dependency:
            self.linger_ends.append(self.now + self.server_settings.dependency.linger_s)
        state.may_have_called = outcome not in (*PROVES_NEVER_RAN, Outcome.SUCCEEDED)
        state.stage = RUNNING if outcome is Outcome.SUCCEEDED else WAITING_TO_CALL
        self.pending_events.append(interface.DependencyCallEnded(state.request, 0.1, outcome))
        if state.answered and state.stage == WAITING_TO_CALL:
            self._end_run(state, Outcome.CANCELLED)

    def abandon(self, state: RequestState) -> None:
        state.abandoned = state.answered = True
        self.pending_events.append(interface.RequestAbandoned(state.request))
        if state.stage in (QUEUED, SUSPENDED, COALESCED):
            state.stage = FINISHED
        elif state.stage == WAITING_TO_CALL:
            self._end_run(state, Outcome.CANCELLED)

    def drain(self, remaining_s: float) -> None:
        self.notified_at, self.stop_at = self.now, self.now + remaining_s
        self.pending_events.append(interface.ShutdownNotice(remaining_s))

    def _end_run(self, state: RequestState, outcome: Outcome) -> None:
        self.pending_events.append(interface.RunEnded(state.request, 0.5, outcome))
        if outcome is not Outcome.CANCELLED or state.answered:
            state.stage, state.answered = FINISHED, True

    def wait(self, span: float, late: float = 0.0) -> None:
        """Advance the clock by `span`; fire timers, `late` seconds late, and time out calls that are due."""
        if self.pending_events:
            self.handle_batch([])
        until = self.now + span
        while True:
            call_timeouts = [state.call_timeout_at for state in self.in_stage(CALLING)]
            upcoming = min([self.timers[0] + late if self.timers else until, until, *call_timeouts])
            self._advance(max(upcoming, self.now))
            timers_fired = 0
            while self.timers and self.timers[0] <= self.now:
                heapq.heappop(self.timers)
                timers_fired += 1
            for state in self.in_stage(CALLING):
                if state.call_timeout_at <= self.now:
                    self.end_call(state, Outcome.TIMED_OUT)
            self.handle_batch([interface.TimerFired(self.cpu_busy_ratio(), 3.0)] * timers_fired)
            if self.now >= until:
                return

    def cpu_busy_ratio(self) -> float:
        """Return the busy part of the cores; each run uses `cores_per_run` of a core."""
        return min(len(self.in_stage(RUNNING)) * self.cores_per_run / self.server_settings.cores, 1.0)

    def _advance(self, to: float) -> None:
        running = len(self.in_stage(RUNNING))
        self.run_intervals.append((self.now, to, running))
        self.call_intervals.append((self.now, to, len(self.in_stage(CALLING))))
        for end in self.linger_ends:
            if end > self.now:
                self.call_intervals.append((self.now, min(end, to), 1))
        self.now = to

    def handle_batch(self, new_events: list[interface.Event]) -> list[interface.Action]:
        events, self.pending_events = self.pending_events + new_events, []
        actions = raise_errors(self.controller.handle_events(self.now, events))
        for action in actions:
            self._apply(action)
        self._check()
        return actions

    def _apply(self, action: interface.Action) -> None:
        if isinstance(action, interface.SetTimer):
            heapq.heappush(
                self.timers, self.now + max(action.after_s, self.server_settings.min_batch_interval_s)
            )
        request = getattr(action, "request", None)
        if request is None:
            return
        state, idempotency = self.states[request], request.request_class.idempotency
        # The client left in this batch, so decisions on its request have no effect.
        if state.abandoned and state.stage == FINISHED and not isinstance(action, interface.ReleaseKey):
            if isinstance(action, interface.Run):
                self.pending_events.append(interface.RunEnded(request, 0.0, Outcome.NEVER_STARTED))
            return
        # After the window of a run, an attempt with the same key may run again, so it may also be rejected.
        since = request.arrived_at - request.request_class.idempotency_window_s
        ran_here = state.ran or any(
            ran_at >= since for ran_at in self.run_arrivals_by_key.get(state.idempotency_key, [])
        )
        match action:
            case interface.Run():
                assert state.stage in (QUEUED, SUSPENDED), f"run while {state.stage}"
                if idempotency in AT_MOST_ONCE:
                    assert not state.discarded, "run again after its work was discarded"
                    run_arrivals = (
                        self.run_arrivals_by_key.setdefault(state.idempotency_key, [])
                        if state.idempotency_key
                        else []
                    )
                    assert state.stage == SUSPENDED or not any(
                        arrived_at >= since for arrived_at in run_arrivals
                    ), "ran twice"
                    run_arrivals.append(request.arrived_at)
                assert request.arrived_at <= self.notified_at + self.server_settings.drain_grace_s, (
                    "run after the grace period of the drain"
                )
                state.stage, state.ran = RUNNING, True
            case interface.Reject() | interface.Fail():
                assert not state.answered, "answered twice"
                if isinstance(action, interface.Reject):
                    assert not (idempotency in AT_MOST_ONCE and ran_here), "rejected a request that has run"
                    assert (
                        state.stage in (QUEUED, COALESCED)
                        and 0 <= action.retry_after_s <= self.server_settings.max_retry_after_s
                    )
                    # Every rejection has a retry delay if the settings allow one.
                    assert action.retry_after_s > 0 or not self.server_settings.max_retry_after_s, (
                        "rejected without a retry delay"
                    )
                state.answered = True
                if state.stage in (QUEUED, COALESCED, SUSPENDED):
                    state.stage = FINISHED
                elif state.stage == WAITING_TO_CALL:
                    self._end_run(state, Outcome.CANCELLED)
            case interface.Cancel():
                assert self.server_settings.cancellation is not Cancellation.UNSUPPORTED, (
                    "cancelled although cancellation is unsupported"
                )
                if state.stage == RUNNING:
                    self.pending_events.append(interface.RunEnded(request, 0.1, Outcome.CANCELLED))
                    discards = self.server_settings.cancellation is Cancellation.DISCARDS_WORK
                    state.discarded = state.discarded or discards
                    state.stage = FINISHED if state.answered else QUEUED if discards else SUSPENDED
            case interface.CallDependency(timeout_s=timeout_s):
                assert state.stage == WAITING_TO_CALL, "call of a request that does not wait for one"
                assert idempotency not in AT_MOST_ONCE or not state.may_have_called, "call repeated"
                state.stage, state.call_timeout_at = (
                    CALLING,
                    self.now + (timeout_s or request.request_class.timeout_s),
                )
            case interface.SkipDependencyCall():
                assert request.request_class.skip_value_ratio > 0 and state.stage == WAITING_TO_CALL
                state.stage = RUNNING
            case interface.ReserveKey(valid_for_s=valid_for_s):
                self.reserved_keys[state.idempotency_key or -id(request)] = (request, self.now + valid_for_s)
            case interface.ReleaseKey():
                self.reserved_keys.pop(state.idempotency_key or -id(request), None)
            case interface.AttachToOriginal():
                assert (
                    state.stage == QUEUED
                    and request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
                )
                state.stage = COALESCED

    def _check(self) -> None:
        """Check the four rules on the independently tracked states."""
        server_settings, slack_s = self.server_settings, self.server_settings.answer_slack_s + 1e-6
        for state in self.states.values():
            assert state.answered or self.now <= state.due_at + slack_s, "lost: not answered by its deadline"
            assert state.answered or self.now < self.stop_at, "drain: not answered before the stop"
        admitted = self.in_stage(RUNNING, WAITING_TO_CALL, CALLING, COALESCED, SUSPENDED)
        kb = sum(state.request.memory_kb for state in self.in_stage(QUEUED))
        kb += sum(state.request.memory_kb for state in admitted) * server_settings.running_memory_factor
        kb += server_settings.idempotency_key_kb * sum(
            valid_until > self.now for _, valid_until in self.reserved_keys.values()
        )
        assert kb <= server_settings.memory_kb + 1e-6, "overload: memory limit exceeded"
        speed_ratio = 1.0
        if server_settings.starts_cold and server_settings.warm_up_s:
            warmed = min((self.now - self.start) / server_settings.warm_up_s, 1.0)
            speed_ratio = server_settings.cold_speed_ratio + (1 - server_settings.cold_speed_ratio) * warmed
        max_concurrency = server_settings.cores * (
            1 + (server_settings.max_concurrency_per_core - 1) * speed_ratio
        )
        assert self._mean(self.run_intervals, server_settings.concurrency_span_s) <= max_concurrency + 1e-6, (
            "overload: too many concurrent runs"
        )
        dependency = server_settings.dependency
        if dependency and dependency.capacity is not None:
            assert self._mean(self.call_intervals, dependency.span_s) <= dependency.capacity + 1e-6, (
                "overload: dependency capacity exceeded"
            )

    def _mean(self, intervals: list[tuple[float, float, int]], span: float) -> float:
        since = self.now - span
        intervals[:] = [interval for interval in intervals if interval[1] > since]
        return (
            sum((end - max(start, since)) * count for start, end, count in intervals) / span if span else 0.0
        )


# -- simulated interpreter and client, which speak the published protocols


class SimulatedInterpreter:
    """Runs commands, numbers its notices, and resends the notices that a broken link has missed."""

    def __init__(self) -> None:
        self.lock = threading.RLock()  # for tests that use it from several threads
        self.is_up = True
        self.running: dict[bytes, tuple[bytes, bytes]] = {}
        self.ended_runs: set[bytes] = set()
        # requests that are answered or cancelled, recorded by the simulated server
        self.answered: set[bytes] = set()
        self.applied: list[tuple[bytes, bytes, bytes]] = []
        self.notices: list[bytes] = []
        self.bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Process bytes from the link and return the immediate reply."""
        self.bytes += data
        reply = b""
        while (end := self.bytes.find(b"\r\n")) >= 0:
            words = self.bytes[:end].split(b" ")
            size = int(words[3]) + 2 if words[0] == b"APPLY" else 0
            if len(self.bytes) < end + 2 + size:
                break
            body, self.bytes = self.bytes[end + 2 : end + 2 + size], self.bytes[end + 2 + size :]
            reply += self._handle_command(words, body[:-2])
        return reply

    def _handle_command(self, words: list[bytes], body: bytes) -> bytes:
        match words:
            case [b"CONNECT", last]:
                return b"BANNER steady 5000\r\n" + b"".join(self.notices[int(last) :]) if self.is_up else b""
            case [verb, name, *_] if not self.is_up:
                return b"ERROR %b %b\r\n" % (verb, name)
            case [b"APPLY", name, *_] if name.startswith(
                b"bad0"
            ):  # simulates a request that it never received
                return b"ERROR APPLY %b\r\n" % name
            case [b"APPLY", name, request_class, _]:
                if name in self.answered:
                    return b"" if name in self.running else self._notify(name, b"nothing", b"")
                if name not in self.running:
                    self.running[name] = (request_class, body)
                    self.applied.append((name, request_class, body))
            case [b"BREAK", name]:
                return self.end(name, b"interrupted") if name in self.running else b""
            case [b"TOP", tag]:
                return b"TOPS %b 0.5 3 0.1 7\r\n" % tag
            case _:
                raise AssertionError(f"unknown command: {words}")
        return b""

    def end(self, name: bytes, outcome: bytes = b"success") -> bytes:
        """End a run; return the notice to send over the link."""
        _, body = self.running.pop(name)
        self.ended_runs.add(name)
        return self._notify(name, outcome, b"made of " + body if outcome == b"success" else b"")

    def _notify(self, name: bytes, outcome: bytes, result: bytes) -> bytes:
        number = len(self.notices) + 1
        self.notices.append(b"VALUE %d %b %b 250 %d\r\n%b\r\n" % (number, name, outcome, len(result), result))
        return self.notices[-1]


def frame(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def call(
    tag: int,
    name: bytes,
    request_class: bytes,
    since: float,
    body: bytes,
    idempotency_key: bytes = b"",
    router: int = 4,
) -> bytes:
    fields = b"ref=%b,since=%d,sender=%d,project=acme,room=10.0,class_rank=0.5" % (name, since * 1000, router)
    if idempotency_key:
        fields += b",replay=%032x" % zlib.crc32(idempotency_key)
    return frame(b"RPC.CALL", b"%d" % tag, request_class, fields, body)


class FakeScheduler(Scheduler):
    """The scheduler with a fake clock and no descriptors; an error in a greenlet reaches the test."""

    def __init__(self) -> None:
        super().__init__(Clock())
        self.clock.now = 1_764_576_000.0
        self.clock.read = lambda: self.clock.now  # type: ignore[method-assign]

    def spawn(self, function: Callable[..., None], *values: object) -> None:
        self.resume(greenlet(lambda _: function(*values), parent=self._hub))

    def run_ready(self) -> bool:
        self._resume_for_this_round()
        had_ready = bool(self._ready)
        self._run_ready()
        return had_ready


class FakeStream(Stream):
    """A stream whose peer is the test."""

    def __init__(self, scheduler: FakeScheduler) -> None:
        self.scheduler, self.open = scheduler, True
        self.account = ConnectionMemory().open_account()
        self._unsent = bytearray()
        self.stuck_since = None
        self.unread_chunks: deque[bytes] = deque()
        self.written = bytearray()
        self.bytes_queued = self.bytes_sent = 0
        self.accepts_writes = True  # whether the operating system accepts written bytes
        self.closes_after_shutdown = True  # like a client that reads the end of the stream
        self.reader: greenlet | None = None

    def read(self, max_bytes: int = MAX_READ_BYTES) -> bytes:
        while self.open and not self.unread_chunks:
            self.reader = getcurrent()
            self.scheduler.park()
        if not self.open:
            return b""
        chunk = self.unread_chunks.popleft()
        if len(chunk) > max_bytes:
            self.unread_chunks.appendleft(chunk[max_bytes:])
        return chunk[:max_bytes]

    def write(self, data: bytes) -> None:
        if self.open:
            self.bytes_queued += len(data)
            if self.accepts_writes:
                self.bytes_sent += len(data)
                self.written += data

    def flush(self) -> None:
        pass

    @property
    def has_unread_data(self) -> bool:
        return self.open and bool(self.unread_chunks)

    def shut_down_writing(self) -> None:
        if self.open and self.closes_after_shutdown:
            self.feed(b"")

    def close(self) -> None:
        self.open = False
        self.account.set_unsent(0)
        self.wake()

    def feed(self, data: bytes) -> None:
        self.unread_chunks.append(data)
        self.wake()

    def wake(self) -> None:
        if self.reader is not None:
            self.scheduler.resume(self.reader)
            self.reader = None

    def take_written(self) -> bytes:
        data = bytes(self.written)
        self.written.clear()
        return data


class Attempt:
    """One attempt from the view of its client."""

    def __init__(
        self, tag: int, name: bytes, request_class: bytes, idempotency_key: bytes, since: float
    ) -> None:
        self.tag, self.name, self.request_class, self.idempotency_key, self.since = (
            tag,
            name,
            request_class,
            idempotency_key,
            since,
        )
        self.body = (idempotency_key or name) + b"\r\n$3"
        self.answers: list[list[bytes]] = []
        self.cancelled = False


class SimulatedServer:
    """The serving layer between a fake client and a simulated interpreter, on a fake clock.

    The four rules are checked after every step.
    """

    def __init__(self, server_settings: ServerSettings) -> None:
        self.scheduler = FakeScheduler()
        self.server_settings = server_settings
        self.counts: list[str] = []
        self.server_status = ServerStatus()
        self.idempotency_keys = IdempotencyTable(4.0, server_settings.answer_slack_s, 1 << 16)
        gauge_indexes = (0, 3, 1)  # cpu_busy, sockets, runnable
        self.dispatcher = Dispatcher(
            self.scheduler,
            server_settings,
            7,
            gauge_indexes,
            self.server_status,
            self.idempotency_keys,
            lambda: None,
        )
        names = (b"lookup", b"record")
        self.listener = RequestListener(
            self.scheduler,
            dict(zip(names, server_settings.request_classes, strict=True)),
            {b"acme": server_settings.tenants[0]},
            self.server_status,
            self.dispatcher,
            self.counts.append,
            max_connections=40,
        )
        self.accepts_links = True
        self.links: list[FakeStream] = []
        self.link: FakeStream | None = None  # the link that the interpreter uses
        self.interpreter = SimulatedInterpreter()
        self.interpreter_client = InterpreterClient(
            self.scheduler, self._connect, self.dispatcher, self.counts.append
        )
        self.dispatcher.attach(self.listener, self.interpreter_client)
        self.client, self.answers = FakeStream(self.scheduler), Parser()
        self.listener.accepted(self.client)
        self.client.feed(frame(b"RPC.HEALTH", b"%d" % 10**9, b""))
        self.attempts: list[Attempt] = []
        self.notice = self.stop = float("inf")
        self.settle()

    def _connect(self) -> Stream | None:
        if not self.accepts_links:
            return None
        self.links = [link for link in self.links if link.open] + [FakeStream(self.scheduler)]
        if self.link is None or not self.link.open:
            self.link = self.links[-1]
        return self.links[-1]

    def limit_memory(self, shared_bytes: int) -> None:
        """Limit what connections hold, for those that exist as well."""
        memory = ConnectionMemory(shared_bytes, REQUEST_BYTES + MAX_BODY_BYTES)
        self.listener.memory, self.listener.memory_full = memory, self.dispatcher.reject_for_memory
        for connection in self.listener.connections:
            connection.account = connection.stream.account = memory.open_account()

    @property
    def now(self) -> float:
        return self.scheduler.clock.now

    def call(self, request_class: bytes, idempotency_key: bytes = b"", ago: float = 0.0) -> Attempt:
        tag = len(self.attempts) + 1
        attempt = Attempt(tag, b"%016x" % tag, request_class, idempotency_key, self.now - ago)
        self.attempts.append(attempt)
        self.client.feed(call(tag, attempt.name, request_class, attempt.since, attempt.body, idempotency_key))
        return attempt

    def ask(self, data: bytes) -> list[list[bytes]]:
        """Run one round with these bytes from the client; return the answers."""
        self.client.feed(data)
        self.scheduler.run_ready()
        self.dispatcher.end_round()
        return self.answers.feed(self.client.take_written())

    def cancel(self, attempt: Attempt) -> None:
        attempt.cancelled = attempt.cancelled or not attempt.answers
        self.interpreter.answered.add(attempt.name)
        self.client.feed(frame(b"RPC.CANCEL", b"%d" % attempt.tag))

    def end(self, name: bytes, outcome: bytes = b"success") -> None:
        notice = self.interpreter.end(name, outcome)
        if self.link is not None and self.link.open:
            self.link.feed(notice)

    def break_link(self, lost: bool) -> None:
        """Break the link; if `lost`, the bytes just written never arrive."""
        if self.link is not None and self.link.open:
            data = self.link.take_written()
            if not lost:
                self.interpreter.feed(data)
            self.link.feed(b"")

    def drain(self, left: float) -> None:
        if self.notice > self.now:
            self.notice, self.stop = self.now, self.now + left
            self.dispatcher.shutdown_notice(left)

    def settle(self, deliver: bool = True) -> None:
        """Run rounds until there is no progress; without `deliver`, the interpreter gets no bytes yet."""
        for _ in range(50):
            progress = self.scheduler.run_ready()
            self.dispatcher.end_round()
            for link in [link for link in self.links if deliver and link.open and link.written]:
                progress, data = True, link.take_written()
                if data.startswith(b"CONNECT"):  # replaces the previous link
                    self.link = link
                if link is self.link and (answer := self.interpreter.feed(data)):
                    link.feed(answer)
            for words in self.answers.feed(self.client.take_written()):
                if 0 < int(words[0]) <= len(self.attempts):
                    attempt = self.attempts[int(words[0]) - 1]
                    attempt.answers.append(words)
                    self.interpreter.answered.add(attempt.name)
            if not progress:
                break
        self.check()

    def wait(self, span: float) -> None:
        until, timers = self.now + span, self.scheduler._timers
        while timers and timers[0][0] <= until:
            when, _, timer = heapq.heappop(timers)
            self.scheduler.clock.now = max(when, self.now)
            if timer.action is not None:
                timer.action()
            self.settle()
        self.scheduler.clock.now = until
        self.settle()

    def check(self) -> None:
        slack, grace = (
            self.server_settings.answer_slack_s + 0.05 + 1e-6,
            self.server_settings.drain_grace_s + 0.05,
        )
        applied = {name: (request_class, body) for name, request_class, body in self.interpreter.applied}
        keyed = [name for name, request_class, _ in self.interpreter.applied if request_class == b"record"]
        assert len(set(keyed)) == len(keyed), "a keyed attempt was applied twice"
        repeated = len(self.interpreter.applied) - len(applied)
        assert repeated <= self.counts.count("runs_sent_again"), "an attempt was applied twice, not resent"
        valid_results = {b"made of " + body for _, body in applied.values()}
        ran: dict[bytes, float] = {}
        for attempt in self.attempts:
            due = (
                attempt.since
                + self.server_settings.request_classes[attempt.request_class == b"record"].timeout_s
            )
            assert attempt.cancelled or attempt.answers or self.now <= min(due + slack, self.stop), "lost"
            assert len(attempt.answers) <= 1, "answered twice"
            status = attempt.answers[0][1] if attempt.answers else b""
            if status == b"OK":
                assert (
                    attempt.answers[0][3] == b"made of " + attempt.body
                    and attempt.answers[0][3] in valid_results
                ), "result changed"
            if attempt.name not in applied:
                continue
            assert applied[attempt.name] == (attempt.request_class, attempt.body), (
                "changed on the way to the interpreter"
            )
            assert attempt.since <= self.notice + grace, "run after the grace period of the drain"
            if attempt.idempotency_key:
                assert status != b"BUSY", "rejected an attempt that has run"
                window = self.server_settings.request_classes[1].idempotency_window_s
                assert attempt.since - ran.get(attempt.idempotency_key, -window) >= window, (
                    "an idempotency key ran twice within its window"
                )
                ran[attempt.idempotency_key] = attempt.since
