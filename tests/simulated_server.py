"""A simulated server; the four rules are checked independently of the code under test."""

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
from sablewheel.protocol.resp import Parser
from sablewheel.serving.dispatcher import Dispatcher
from sablewheel.serving.exchange import ServerStatus
from sablewheel.serving.idempotency_keys import IdempotencyTable
from sablewheel.serving.interpreter_client import InterpreterClient
from sablewheel.serving.listener import RequestListener
from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.transport.stream import Stream

HELD, RUNNING, STANDING, CALLING = "held", "running", "standing", "calling"
JOINED, PAUSED, OVER = "joined", "paused", "over"
NOT_AGAIN = (Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
PROVES_NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NEVER_STARTED)


def raise_errors(actions: list[interface.Action]) -> list[interface.Action]:
    """The actions of a batch; an internal error of the controller is raised."""
    for action in actions:
        if isinstance(action, interface.InternalError):
            raise action.error
    return actions


class Fact:
    """What the world knows of a request."""

    def __init__(self, request: Request, idempotency_key: int, due: float) -> None:
        self.request, self.idempotency_key, self.due = request, idempotency_key, due
        self.place = HELD
        self.answered = self.gone = self.ran = self.dropped = self.may_have_called = False
        self.abandon_at = 0.0


class World:
    """Plays events into one controller and checks every action and every moment."""

    def __init__(self, server_settings: ServerSettings, seed: int = 7) -> None:
        self.core_part = 1.0  # of a core, that a run takes
        self.server_settings, self.now, self.start = server_settings, 100.0, 100.0
        self.controller = Controller(server_settings, seed)
        self.routers = [Client() for _ in range(server_settings.clients)]
        self.facts: dict[Request, Fact] = {}
        self.table: dict[int, tuple[Request, float]] = {}
        self.run_idempotency_keys: dict[int, list[float]] = {}
        self.alarms: list[float] = []
        self.later: list[interface.Event] = []
        self.crowd: list[tuple[float, float, int]] = []
        self.in_hand: list[tuple[float, float, int]] = []
        self.lingers: list[float] = []
        self.notice = self.stop = float("inf")
        self.batch([])

    def at(self, *places: str) -> list[Fact]:
        return [one for one in self.facts.values() if one.place in places]

    def arrive(
        self,
        request_class: int,
        kb: float = 10.0,
        waited: float = 0.0,
        idempotency_key: int = 0,
        **rest: object,
    ) -> Fact:
        kind = self.server_settings.request_classes[request_class]
        arrived = self.now - waited
        tenants = self.server_settings.tenants
        tenant = tenants[request_class % len(tenants)] if tenants else None
        place = (
            request_class if len(self.routers) < 9 else len(self.facts)
        )  # few routers by request class, many in turn
        router = self.routers[place % len(self.routers)]
        request = Request(kind, router, tenant, arrived, kb, **rest)  # type: ignore[arg-type]
        left = request.remaining_s
        due = self.now + left if left is not None else arrived + kind.timeout_s
        fact = Fact(request, idempotency_key, max(self.now, due))
        if idempotency_key and kind.idempotency is Idempotency.KEYED:
            first, live = self.table.get(idempotency_key, (None, 0.0))
            if first is not None and arrived <= live:
                known = self.facts[first]
                if known.place in (HELD, JOINED) or self.run_idempotency_keys.get(idempotency_key):
                    request.duplicate_of = first
            for told in self.later:  # tries of one batch are linked even when none was kept
                if (
                    isinstance(told, interface.RequestArrived)
                    and self.facts[told.request].idempotency_key == idempotency_key
                ):
                    request.duplicate_of = told.request
        self.facts[request] = fact
        self.later.append(interface.RequestArrived(request))
        return fact

    def finish(self, fact: Fact, outcome: Outcome) -> None:
        self._done(fact, outcome)

    def need(self, fact: Fact) -> None:
        fact.place = STANDING
        self.later.append(interface.DependencyCallNeeded(fact.request))
        if fact.answered:
            self._done(fact, Outcome.CANCELLED)

    def call_back(self, fact: Fact, outcome: Outcome) -> None:
        if outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST) and self.server_settings.dependency:
            self.lingers.append(self.now + self.server_settings.dependency.linger_s)
        fact.may_have_called = outcome not in (*PROVES_NEVER_RAN, Outcome.SUCCEEDED)
        fact.place = RUNNING if outcome is Outcome.SUCCEEDED else STANDING
        self.later.append(interface.DependencyCallEnded(fact.request, 0.1, outcome))
        if fact.answered and fact.place == STANDING:
            self._done(fact, Outcome.CANCELLED)

    def give_up(self, fact: Fact) -> None:
        fact.gone = fact.answered = True
        self.later.append(interface.CallerGone(fact.request))
        if fact.place in (HELD, PAUSED, JOINED):
            fact.place = OVER
        elif fact.place == STANDING:
            self._done(fact, Outcome.CANCELLED)

    def drain(self, left: float) -> None:
        self.notice, self.stop = self.now, self.now + left
        self.later.append(interface.ShutdownNotice(left))

    def _done(self, fact: Fact, outcome: Outcome) -> None:
        self.later.append(interface.RunEnded(fact.request, 0.5, outcome))
        if outcome is not Outcome.CANCELLED or fact.answered:
            fact.place, fact.answered = OVER, True

    def wait(self, span: float, late: float = 0.0) -> None:
        """Let time pass; alarms ring and calls are given up on the way; alarms ring `late`."""
        if self.later:
            self.batch([])
        until = self.now + span
        while True:
            calls = [one.abandon_at for one in self.at(CALLING)]
            upcoming = min([self.alarms[0] + late if self.alarms else until, until, *calls])
            self._advance(max(upcoming, self.now))
            bells = 0
            while self.alarms and self.alarms[0] <= self.now:
                heapq.heappop(self.alarms)
                bells += 1
            for fact in self.at(CALLING):
                if fact.abandon_at <= self.now:
                    self.call_back(fact, Outcome.TIMED_OUT)
            self.batch([interface.TimerFired(self.busy(), 3.0)] * bells)
            if self.now >= until:
                return

    def busy(self) -> float:
        """How busy the cores are; runs that wait for something beside them take a part of one."""
        return min(len(self.at(RUNNING)) * self.core_part / self.server_settings.cores, 1.0)

    def _advance(self, to: float) -> None:
        running = len(self.at(RUNNING))
        self.crowd.append((self.now, to, running))
        self.in_hand.append((self.now, to, len(self.at(CALLING))))
        for end in self.lingers:
            if end > self.now:
                self.in_hand.append((self.now, min(end, to), 1))
        self.now = to

    def batch(self, more: list[interface.Event]) -> list[interface.Action]:
        events, self.later = self.later + more, []
        actions = raise_errors(self.controller.handle_events(self.now, events))
        for action in actions:
            self._apply(action)
        self._check()
        return actions

    def _apply(self, action: interface.Action) -> None:
        if isinstance(action, interface.SetTimer):
            heapq.heappush(
                self.alarms, self.now + max(action.after_s, self.server_settings.min_batch_interval_s)
            )
        request = getattr(action, "request", None)
        if request is None:
            return
        fact, idempotency = self.facts[request], request.request_class.idempotency
        # Told in this very batch: what was decided of it does no harm.
        if fact.gone and fact.place == OVER and not isinstance(action, interface.ReleaseKey):
            if isinstance(action, interface.Run):
                self.later.append(interface.RunEnded(request, 0.0, Outcome.NEVER_STARTED))
            return
        # Past the window of what ran a try of its key may run, so it may be denied as well.
        since = request.arrived_at - request.request_class.idempotency_window_s
        ran_here = fact.ran or any(
            ran_at >= since for ran_at in self.run_idempotency_keys.get(fact.idempotency_key, [])
        )
        match action:
            case interface.Run():
                assert fact.place in (HELD, PAUSED), f"run while {fact.place}"
                if idempotency in NOT_AGAIN:
                    assert not fact.dropped, "run again after a drop"
                    tries = (
                        self.run_idempotency_keys.setdefault(fact.idempotency_key, [])
                        if fact.idempotency_key
                        else []
                    )
                    assert fact.place == PAUSED or not any(one >= since for one in tries), "ran twice"
                    tries.append(request.arrived_at)
                assert request.arrived_at <= self.notice + self.server_settings.drain_grace_s, (
                    "run after the drain's grace"
                )
                fact.place, fact.ran = RUNNING, True
            case interface.Reject() | interface.Fail():
                assert not fact.answered, "answered twice"
                if isinstance(action, interface.Reject):
                    assert not (idempotency in NOT_AGAIN and ran_here), "denied what has run"
                    assert (
                        fact.place in (HELD, JOINED)
                        and 0 <= action.retry_after_s <= self.server_settings.max_retry_after_s
                    )
                    # Every rejection says when to come back wherever the settings let it say anything.
                    assert action.retry_after_s > 0 or not self.server_settings.max_retry_after_s, (
                        "denied without advice"
                    )
                fact.answered = True
                if fact.place in (HELD, JOINED, PAUSED):
                    fact.place = OVER
                elif fact.place == STANDING:
                    self._done(fact, Outcome.CANCELLED)
            case interface.Cancel():
                assert self.server_settings.cancellation is not Cancellation.UNSUPPORTED, "stopping is off"
                if fact.place == RUNNING:
                    self.later.append(interface.RunEnded(request, 0.1, Outcome.CANCELLED))
                    drops = self.server_settings.cancellation is Cancellation.DISCARDS_WORK
                    fact.dropped = fact.dropped or drops
                    fact.place = OVER if fact.answered else HELD if drops else PAUSED
            case interface.CallDependency(timeout_s=allow):
                assert fact.place == STANDING, "no call to make"
                assert idempotency not in NOT_AGAIN or not fact.may_have_called, "call repeated"
                fact.place, fact.abandon_at = CALLING, self.now + (allow or request.request_class.timeout_s)
            case interface.SkipDependencyCall():
                assert request.request_class.skip_value_ratio > 0 and fact.place == STANDING
                fact.place = RUNNING
            case interface.ReserveKey(valid_for_s=life):
                self.table[fact.idempotency_key or -id(request)] = (request, self.now + life)
            case interface.ReleaseKey():
                self.table.pop(fact.idempotency_key or -id(request), None)
            case interface.AttachToOriginal():
                assert (
                    fact.place == HELD and request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
                )
                fact.place = JOINED

    def _check(self) -> None:
        """The four rules, from the world's own books."""
        server_settings, slack = self.server_settings, self.server_settings.answer_slack_s + 1e-6
        for fact in self.facts.values():
            assert fact.answered or self.now <= fact.due + slack, "lost: not answered by its due time"
            assert fact.answered or self.now < self.stop, "drain: not answered before the stop"
        on = self.at(RUNNING, STANDING, CALLING, JOINED, PAUSED)
        kb = sum(fact.request.memory_kb for fact in self.at(HELD))
        kb += sum(fact.request.memory_kb for fact in on) * server_settings.running_memory_factor
        kb += server_settings.idempotency_key_kb * sum(live > self.now for _, live in self.table.values())
        assert kb <= server_settings.memory_kb + 1e-6, "fall-over: memory"
        share = 1.0
        if server_settings.starts_cold and server_settings.warm_up_s:
            warmed = min((self.now - self.start) / server_settings.warm_up_s, 1.0)
            share = server_settings.cold_speed_ratio + (1 - server_settings.cold_speed_ratio) * warmed
        most = server_settings.cores * (1 + (server_settings.max_concurrency_per_core - 1) * share)
        assert self._mean(self.crowd, server_settings.concurrency_span_s) <= most + 1e-6, (
            "fall-over: the crowd on the cores"
        )
        ledger = server_settings.dependency
        if ledger and ledger.capacity is not None:
            assert self._mean(self.in_hand, ledger.span_s) <= ledger.capacity + 1e-6, "fall-over: the ledger"

    def _mean(self, pieces: list[tuple[float, float, int]], span: float) -> float:
        since = self.now - span
        pieces[:] = [piece for piece in pieces if piece[1] > since]
        return sum((end - max(start, since)) * count for start, end, count in pieces) / span if span else 0.0


# -- stand-ins for what the program talks to, after the published protocols


class SimulatedInterpreter:
    """Runs what it is sent, numbers its notices, and repeats those that a broken link missed."""

    def __init__(self) -> None:
        self.lock = threading.RLock()  # for those who use it from several threads
        self.up = True
        self.running: dict[bytes, tuple[bytes, bytes]] = {}
        self.over: set[bytes] = set()  # runs that ended
        # requests that are over: the server, which sees answers, notes them
        self.answered: set[bytes] = set()
        self.applied: list[tuple[bytes, bytes, bytes]] = []
        self.notices: list[bytes] = []
        self.bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes from the link and return what is answered at once."""
        self.bytes += data
        said = b""
        while (end := self.bytes.find(b"\r\n")) >= 0:
            words = self.bytes[:end].split(b" ")
            size = int(words[3]) + 2 if words[0] == b"APPLY" else 0
            if len(self.bytes) < end + 2 + size:
                break
            body, self.bytes = self.bytes[end + 2 : end + 2 + size], self.bytes[end + 2 + size :]
            said += self._obey(words, body[:-2])
        return said

    def _obey(self, words: list[bytes], body: bytes) -> bytes:
        match words:
            case [b"CONNECT", last]:
                return b"BANNER steady 5000\r\n" + b"".join(self.notices[int(last) :]) if self.up else b""
            case [verb, name, *_] if not self.up:
                return b"ERROR %b %b\r\n" % (verb, name)
            case [b"APPLY", name, *_] if name.startswith(b"bad0"):  # no request of that name came to it
                return b"ERROR APPLY %b\r\n" % name
            case [b"APPLY", name, request_class, _]:
                if name in self.answered:
                    return b"" if name in self.running else self._tell(name, b"nothing", b"")
                if name not in self.running:
                    self.running[name] = (request_class, body)
                    self.applied.append((name, request_class, body))
            case [b"BREAK", name]:
                return self.end(name, b"interrupted") if name in self.running else b""
            case [b"TOP", tag]:
                return b"TOPS %b 0.5 3 0.1 7\r\n" % tag
            case _:
                raise AssertionError(f"no command: {words}")
        return b""

    def end(self, name: bytes, how: bytes = b"success") -> bytes:
        """A run is over; the notice, for whoever is linked."""
        _, body = self.running.pop(name)
        self.over.add(name)
        return self._tell(name, how, b"made of " + body if how == b"success" else b"")

    def _tell(self, name: bytes, how: bytes, result: bytes) -> bytes:
        number = len(self.notices) + 1
        self.notices.append(b"VALUE %d %b %b 250 %d\r\n%b\r\n" % (number, name, how, len(result), result))
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
        some = bool(self._ready)
        self._run_ready()
        return some


class FakeStream(Stream):
    """A stream whose other end is the test."""

    def __init__(self, scheduler: FakeScheduler) -> None:
        self.made, self.open = scheduler, True
        self._unsent = bytearray()
        self.stuck_since = None
        self.fed: deque[bytes] = deque()
        self.written = bytearray()
        self.bytes_queued = self.bytes_sent = 0
        self.takes = True  # whether the system takes what is written
        self.closes_when_shut = True  # as a client does that sees the end of the stream
        self.reader: greenlet | None = None

    def read(self) -> bytes:
        while self.open and not self.fed:
            self.reader = getcurrent()
            self.made.park()
        return self.fed.popleft() if self.open else b""

    def write(self, data: bytes) -> None:
        if self.open:
            self.bytes_queued += len(data)
            if self.takes:
                self.bytes_sent += len(data)
                self.written += data

    def flush(self) -> None:
        pass

    @property
    def unread(self) -> bool:
        return self.open and bool(self.fed)

    def shut_down_writing(self) -> None:
        if self.open and self.closes_when_shut:
            self.feed(b"")

    def close(self) -> None:
        self.open = False
        self.wake()

    def feed(self, data: bytes) -> None:
        self.fed.append(data)
        self.wake()

    def wake(self) -> None:
        if self.reader is not None:
            self.made.resume(self.reader)
            self.reader = None

    def taken(self) -> bytes:
        data = bytes(self.written)
        self.written.clear()
        return data


class Attempt:
    """One attempt as its client knows it."""

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
        places = (0, 3, 1)  # cpu_busy, sockets, runnable
        self.dispatcher = Dispatcher(
            self.scheduler,
            server_settings,
            7,
            places,
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
        self.linked = True
        self.links: list[FakeStream] = []
        self.link: FakeStream | None = None  # the one the interpreter goes by
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
        if not self.linked:
            return None
        self.links = [link for link in self.links if link.open] + [FakeStream(self.scheduler)]
        if self.link is None or not self.link.open:
            self.link = self.links[-1]
        return self.links[-1]

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
        """Run one round with these bytes from the client; returns its answers."""
        self.client.feed(data)
        self.scheduler.run_ready()
        self.dispatcher.end_round()
        return self.answers.feed(self.client.taken())

    def cancel(self, attempt: Attempt) -> None:
        attempt.cancelled = attempt.cancelled or not attempt.answers
        self.interpreter.answered.add(attempt.name)
        self.client.feed(frame(b"RPC.CANCEL", b"%d" % attempt.tag))

    def end(self, name: bytes, how: bytes = b"success") -> None:
        notice = self.interpreter.end(name, how)
        if self.link is not None and self.link.open:
            self.link.feed(notice)

    def cut(self, lost: bool) -> None:
        """The link breaks; `lost`: what was just written never arrives."""
        if self.link is not None and self.link.open:
            data = self.link.taken()
            if not lost:
                self.interpreter.feed(data)
            self.link.feed(b"")

    def drain(self, left: float) -> None:
        if self.notice > self.now:
            self.notice, self.stop = self.now, self.now + left
            self.dispatcher.shutdown_notice(left)

    def settle(self, deliver: bool = True) -> None:
        """Rounds until nothing moves; without `deliver` what goes to the interpreter is still under way."""
        for _ in range(50):
            moved = self.scheduler.run_ready()
            self.dispatcher.end_round()
            for link in [link for link in self.links if deliver and link.open and link.written]:
                moved, data = True, link.taken()
                if data.startswith(b"CONNECT"):  # replaces the one before it
                    self.link = link
                if link is self.link and (answer := self.interpreter.feed(data)):
                    link.feed(answer)
            for words in self.answers.feed(self.client.taken()):
                if 0 < int(words[0]) <= len(self.attempts):
                    attempt = self.attempts[int(words[0]) - 1]
                    attempt.answers.append(words)
                    self.interpreter.answered.add(attempt.name)
            if not moved:
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
        assert len(set(keyed)) == len(keyed), "one attempt was run twice"
        repeated = len(self.interpreter.applied) - len(applied)
        assert repeated <= self.counts.count("runs_sent_again"), "one was run twice and not resent"
        made = {b"made of " + body for _, body in applied.values()}
        ran: dict[bytes, float] = {}
        for attempt in self.attempts:
            due = (
                attempt.since
                + self.server_settings.request_classes[attempt.request_class == b"record"].timeout_s
            )
            assert attempt.cancelled or attempt.answers or self.now <= min(due + slack, self.stop), "lost"
            assert len(attempt.answers) <= 1, "answered twice"
            word = attempt.answers[0][1] if attempt.answers else b""
            if word == b"OK":
                assert (
                    attempt.answers[0][3] == b"made of " + attempt.body and attempt.answers[0][3] in made
                ), "result changed"
            if attempt.name not in applied:
                continue
            assert applied[attempt.name] == (attempt.request_class, attempt.body), "changed on the way"
            assert attempt.since <= self.notice + grace, "run after the drain's grace"
            if attempt.idempotency_key:
                assert word != b"BUSY", "rejected what has run"
                window = self.server_settings.request_classes[1].idempotency_window_s
                assert attempt.since - ran.get(attempt.idempotency_key, -window) >= window, (
                    "one idempotency key ran twice"
                )
                ran[attempt.idempotency_key] = attempt.since
