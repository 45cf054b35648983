"""Every decision of a server about its requests.

Called as `Controller(machine, seed).decide(now, events) -> actions`, once per server and batch; the first
call may bring no events and opens the server. The interface, all plain types, is in `terms.py`; the
mechanism and where it was extended are told in `docs/design.md`.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from itertools import takewhile
from math import inf, sqrt

from . import interface
from .interface import (
    Action,
    AdvertisementKind,
    Client,
    Event,
    Idempotency,
    Outcome,
    RejectionReason,
    Request,
    ServerSettings,
    Stage,
)
from .unconfirmed_starts import UnconfirmedStarts

SLOPE_LEAST = 0.1  # t_e: the least extra output per extra intake that still counts as a gain
DROPS_MOST = 1.0  # t_d: drops per request taken in
CUT = 0.02  # d
STEP = 0.01  # a, for each core: the pool grows only where gains outnumber losses well
TRIPS = 4  # round trips in an iteration
SAMPLES = 100  # raw samples kept of each measure: enough for a 99th percentile
LEFT_TO_EACH = 0.5  # of a request class's even part of the starts, whatever its work earns
RECENT = 10  # samples that tell how things are now
BUSY_MOST = 0.75  # of the cores, up to which the pool's floor fills them; past it runs slow each other
WALKS_MOST = 0.2  # further tries among the requests read, past which rejected requests are asked to stay
FEW_KNOWN, MANY_KNOWN = 0.4, 0.5  # shares of the requests that are from routers heard not long before
SLOW_CALLS = 3.0  # median of the recent over lower quartile of all: about 2 for times that scatter evenly
DONT_RUN_AGAIN = (Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
ROUTERS_KNOWN = 1024  # whose patience is kept, or four times those there are: numbers may never come again
NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NEVER_STARTED)


class Samples:
    """The last few raw samples of one measure."""

    def __init__(self, kept: int = SAMPLES) -> None:
        self.raw: deque[float] = deque(maxlen=kept)
        self.ranked: list[float] | None = None

    def add(self, value: float) -> None:
        self.raw.append(value)
        self.ranked = None

    def at(self, share: float, unknown: float = 0.0) -> float:
        """The sample below which `share` of them lie; `unknown` while there are none."""
        if not self.raw:
            return unknown
        if self.ranked is None:
            self.ranked = sorted(self.raw)
        return self.ranked[min(int(share * len(self.ranked)), len(self.ranked) - 1)]


class Row:
    """What differs by request class: one row a request class."""

    def __init__(self, place: int) -> None:
        self.place = place  # among the request classes, in the settings' order
        self.read = self.begun = 0.0  # of its requests, lately
        self.service = Samples()
        self.stretch = Samples()  # how much longer than foretold from their hints runs took
        self.hinted: deque[tuple[float, float]] = deque(maxlen=SAMPLES)  # hints, and what the runs took
        self.first_wait = 0.0  # how long callers wait for a first try
        self.calls = self.runs = 1  # calls made and runs that worked: a run may call more than once

    def learn(self, estimate: float | None, took: float) -> None:
        """A run worked, and took so long."""
        self.service.add(took)
        self.runs += 1
        if estimate:
            if len(self.hinted) >= RECENT:
                self.stretch.add(took / max(self._line(estimate), 1e-6))
            self.hinted.append((estimate, took))

    def takes(self, estimate: float | None, share: float) -> float:
        """How long a run takes, or less, with this likelihood: by its hint, or else by all runs."""
        if not estimate or len(self.stretch.raw) < RECENT:
            return self.service.at(share)
        return self._line(estimate) * self.stretch.at(share)

    def _line(self, estimate: float) -> float:
        """The straight line through past runs, from hints to what they took; never falling."""
        many = len(self.hinted)
        mean_hint = sum(hint for hint, _ in self.hinted) / many
        mean_took = sum(took for _, took in self.hinted) / many
        spread = sum((hint - mean_hint) ** 2 for hint, _ in self.hinted)
        both = sum((hint - mean_hint) * (took - mean_took) for hint, took in self.hinted)
        slope = min(max(both / spread if spread else 0.0, 0.0), mean_took / mean_hint)
        return mean_took + slope * (estimate - mean_hint)


class Controller:
    """One server's decisions, from its own events alone."""

    def __init__(self, server_settings: ServerSettings, seed: int) -> None:
        del seed  # nothing draws lots yet
        self.server_settings = server_settings
        self.now = 0.0
        self.opened = -1.0
        self.actions: list[Action] = []
        self.table = {
            request_class: Row(place) for place, request_class in enumerate(server_settings.request_classes)
        }
        self.rank = list(self.table.values())  # whose work earns most comes first
        self.longest = max(request_class.timeout_s for request_class in server_settings.request_classes)
        self.tenants: dict[interface.Tenant, deque[float]] = {one: deque() for one in server_settings.tenants}
        # A line a request class, by its place, for what is within its tenant's share; then one for what is
        # beyond.
        self.hold: tuple[deque[Request], ...] = tuple(deque() for _ in 2 * server_settings.request_classes)
        self.came = [0.0] * len(self.hold)  # how long all that ever came into each line should run
        self.running: dict[Request, None] = {}  # in order of their starts: a set's order is chance
        self.unconfirmed = UnconfirmedStarts()  # among the running
        self.at_call: deque[Request] = deque()
        self.joining: list[tuple[Request, Request]] = []  # repeats, and what they repeat, that wait for room
        self.dues: list[tuple[float, int, Request]] = []
        self.patience: dict[Client, Samples] = {}  # how long its requests were waited for, by router
        self.senders = 0  # routers with requests out here
        self.read = 0
        self.marks: deque[bool] = deque(maxlen=SAMPLES // 2)  # whether the last requests were further tries
        # When requests were read, how long after their routers' last ones, and how many had begun by then.
        self.reads: deque[tuple[float, float, int]] = deque(maxlen=SAMPLES)
        self.tend_at = inf
        self.begun = self.on_cores = 0
        self.unread = 0.0  # how long the last request read had waited for that
        self.kb = 0.0
        self.idempotency_keys: list[
            tuple[float, int, Request]
        ] = []  # a heap: windows differ by request class
        self.calls: dict[Request, float] = {}
        self.past_calls: deque[tuple[float, float]] = deque()
        self.call_times = Samples()
        self.trips = Samples()
        self.credit, self.turn_at = float(server_settings.cores), 0.0
        self.taken = self.taken_last = self.put = self.put_last = self.drops = 0
        self.leave_at = self.notice_at = inf
        self.said: float | None = None
        self.connections = inf  # open ones, when last told
        self.had_connections = -inf  # open ones at the last iteration
        self.idle = server_settings.idle_timeout_s  # how long an unused connection is kept
        self.armed = inf
        self._rank(1.0)
        self.demand = Samples()  # of the running requests, the part that demands a core, as gauged
        self.core_share = Samples(RECENT)  # of a core, the part that a running request takes, as gauged

    def retune(self, server_settings: ServerSettings) -> None:
        """New settings in a running server: requests taken in keep their request class; new ones share its
        row.

        The rows and tenants of earlier settings stay, since a request taken in before may still end under
        them; switches are an operator's steps, not traffic.
        """
        for old, new in zip(
            self.server_settings.request_classes, server_settings.request_classes, strict=True
        ):
            self.table.setdefault(new, self.table[old])
        for was, now in zip(self.server_settings.tenants, server_settings.tenants, strict=True):
            self.tenants.setdefault(now, self.tenants[was])
        self.longest = max(
            self.longest, *(request_class.timeout_s for request_class in server_settings.request_classes)
        )
        self.server_settings = server_settings

    # -- the one entry point

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """What is to be done now that these things have happened."""
        self.now, self.actions = now, []
        if self.opened < 0:
            self.opened = now
            self.turn_at = self.tend_at = now + self.server_settings.advertisement_ttl_s
            self.actions.append(interface.SetHealth(True, True))
        # Entries expire by themselves: a release would cut off a repeat that came before and is read after.
        while self.idempotency_keys and self.idempotency_keys[0][0] <= now:
            self._forget(heappop(self.idempotency_keys)[2])
        for event in events:
            match event:
                case interface.RequestArrived(request):
                    self._take(request)
                case interface.RunEnded(request, took, outcome):
                    self._ended(request, took, outcome)
                case interface.DependencyCallNeeded(request):
                    self._stand(request)
                case interface.DependencyCallEnded(request, took, outcome):
                    self._returned(request, took, outcome)
                case interface.StartUnconfirmed(request):
                    if request.stage is Stage.RUNNING:
                        self.unconfirmed.add(request, now, self.longest)
                case interface.CallerGone(request):
                    self._gone(request)
                case interface.KeyRecovered(request, life):
                    self._keep_idempotency_key(request, life)
                case interface.ShutdownNotice(left):
                    self._notice(left)
                case interface.TimerFired(busy, connections, runnable):
                    self.armed = inf
                    self.connections = connections
                    self._learn_core_share(busy, runnable)
        self._make_calls()
        while self.dues and (self.dues[0][0] <= now or self.dues[0][2].answered):
            self._give_up(heappop(self.dues)[2])
        self.actions.extend(interface.PresumeLost(request) for request in self.unconfirmed.take_overdue(now))
        joining, self.joining = self.joining, []
        for request, first in joining:
            if request.stage is Stage.QUEUED:
                self._join(request, first)
        self._start_held()
        if now >= self.turn_at:
            self._turn()
        if now >= self.tend_at:
            self._tend_connections()
        self._speak()
        self._set_clock()
        return self.actions

    # -- the ordinary path

    def _take(self, request: Request) -> None:
        """The ordinary path of a request: repeat, guards, budget, then run, hold or reject."""
        server_settings, now, request_class = self.server_settings, self.now, request.request_class
        left = (
            request.remaining_s
            if request.remaining_s is not None
            else request.arrived_at + request_class.timeout_s - now
        )
        request.deadline = min(max(now, now + left - server_settings.min_batch_interval_s), self.leave_at)
        self.kb += request.memory_kb
        self.senders += not request.client.in_flight
        request.client.in_flight += 1
        self.marks.append(request.is_retry)
        self.reads.append((now, now - request.client.last_received_at, self.begun))
        request.client.last_received_at = request.read_at = now
        known = self.patience.pop(request.client) if request.client in self.patience else Samples()
        self.patience[request.client] = known  # whom it heard last comes last
        if len(self.patience) > max(ROUTERS_KNOWN, 4 * server_settings.clients):
            oldest_heard = next(iter(self.patience))
            if not oldest_heard.in_flight:
                del self.patience[oldest_heard]
        self.read += 1
        self.table[request_class].read += 1
        self.unread = now - request.arrived_at
        heappush(self.dues, (request.deadline, self.read, request))
        # A repeat of what ran, or may still run here, gets that one's result.
        first, request.duplicate_of = request.duplicate_of, None
        if first is not None and (first.started or not first.answered):
            return self._join(request, first)
        # Guards: what came too late for a server that leaves, and what memory has no room for.
        if request.arrived_at > self.notice_at + server_settings.drain_grace_s:
            return self._reject(request, RejectionReason.DRAINING)
        keyed = request_class.idempotency is Idempotency.KEYED
        if request.key_capacity_in_s:
            return self._reject(request, RejectionReason.IDEMPOTENCY_TABLE_FULL)
        if not self._memory_fits(server_settings.idempotency_key_kb if keyed else 0.0):
            return self._reject(request, RejectionReason.MEMORY)
        if keyed:  # also one read past its window: a twin of it may lie unread for as long
            self._remember(
                request,
                max(
                    request.arrived_at + request_class.idempotency_window_s - now,
                    server_settings.min_batch_interval_s,
                ),
            )
        elif self._may_share(request):
            self._remember(request, left)
        # The budget for waiting. Departure, acts where the p99 takes nearly all of the page's budget, as in a
        # bad spell of few samples: half of the wait that the goal allows is always budget, and in the hold
        # all of it, since what starts at the last moment is late as often as not. Guards against any standing
        # queue; it may reject what a short burst's end would have saved.
        request.wait_budget_s, patience = self._budgets(request, left)
        request.wait_budget_s = max(request.wait_budget_s, patience / 2)
        # Departure, acts when reading is behind by more than a run takes: what waited unread beyond its goal
        # is rejected even by idle cores, so that the reading catches up. Guards against any backlog before
        # the door (stalls, slow cores, deaf routers); it may reject what would have earned its late share.
        stale = patience < 0 and now - request.arrived_at > self.table[request_class].service.at(0.5)
        waits = [self._oldest(line, Stage.QUEUED) for line in self.hold]
        if not any(self.hold) and not stale and self._may_start(request):
            return self._run(request)
        # Its own line and those that start before it: an in-share request before any beyond their share.
        request.over_quota = self._over_share(request)
        before = self._before(self.table[request_class], request.over_quota)
        oldest = max(self._wait_to_start(before), *(waits[one] for one in before))
        if request_class.calls_dependency:  # the queue before the ledger is ahead of it as well
            oldest = max(
                oldest, self._oldest(self.at_call, Stage.WAITING_TO_CALL), self._wait_to_call(request_class)
            )
        if oldest > patience / 2:
            return self._reject(request, RejectionReason.WAIT_BUDGET)
        line, request.stage_since = before[-1], now
        request.queued_work_ahead_s = self.came[line]
        self.came[line] += self.table[request_class].takes(request.cost_hint, 0.5)
        self.hold[line].append(request)
        heappush(self.dues, (now + patience, -self.read, request))

    def _budgets(self, request: Request, left: float) -> tuple[float, float]:
        """The page's budget, half the remaining wait less the learned p99, and the wait that the goal allows.

        Departure, acts in the hold: what can only be late, or only after its caller has left, earns little or
        nothing, so it is rejected once its goal or its caller's end of waiting is out of reach. Guards
        against any queue that is short for the callers' patience and long for the goal, and against callers
        that wait less than the goal; it may reject what a sudden calm would still have saved.
        """
        row, request_class = self.table[request.request_class], request.request_class
        waited = self.now - request.arrived_at + request.extra_wait_s
        age = waited
        if request.remaining_s is None:
            # Departure, acts where the wait is not told: what callers were seen to wait stands in for it.
            # Guards against hasty callers and any jam of timed-out tries; may reject some that would wait.
            wait = min(
                request_class.timeout_s, self.patience[request.client].at(0.25, request_class.timeout_s)
            )
            budget = wait / 2 - waited
        else:
            wait, budget = request_class.timeout_s, left / 2
            if not request.is_retry:
                row.first_wait = left + waited
            elif left + waited > row.first_wait:
                age = max(
                    age, request_class.timeout_s - left
                )  # a last try is given all that the client has left
            else:
                age = max(age, row.first_wait - left)  # under way for at least what its wait is short
        goal = min(
            request_class.latency_objective_s
            + request_class.objective_s_per_hint * (request.cost_hint or 0.0),
            wait,
        )
        in_time = min(goal - age, left) - row.takes(request.cost_hint, 0.75)
        return budget - row.takes(request.cost_hint, 0.99), in_time

    def _before(self, row: Row, beyond: bool) -> list[int]:
        """The lines that start before a request class's own, which comes last; that alone while the request
        class lags.
        """
        own = [one.place for one in self.rank[: self.rank.index(row) + 1]]
        if beyond:
            own = [*range(len(self.rank)), *(len(self.rank) + place for place in own)]
        return own[-1:] if self._lags(row) else own

    def _lags(self, row: Row) -> bool:
        """Whether less began of a request class, lately, than what is left to each of its even part."""
        read, begun = sum(one.read for one in self.rank), sum(one.begun for one in self.rank)
        return row.begun * read < LEFT_TO_EACH * row.read * begun

    def _rank(self, fade: float) -> None:
        """Whose work earns most, by the settings and how long runs take here; old counts fade."""
        worth = {
            self.table[request_class].place: max(request_class.priority_weight, 1e-9)
            for request_class in self.server_settings.request_classes
        }
        if self.server_settings.weight_by_work:
            self.rank.sort(key=lambda row: -worth[row.place])
        elif all(row.service.raw for row in self.rank):
            self.rank.sort(key=lambda row: row.service.at(0.5) / worth[row.place])
        for row in self.rank:
            row.read, row.begun = row.read * fade, row.begun * fade

    def _wait_to_start(self, before: list[int]) -> float:
        """How long those ahead will keep the places of those that run, by their hints or their request
        classes.

        Departure, acts while requests are held: the oldest one's age tells the wait of those that came
        before, not of the next. Guards against bursts, which would fill the hold before any of them had grown
        old.
        """
        ahead = sum(
            self.came[one] - self.hold[one][0].queued_work_ahead_s for one in before if self.hold[one]
        )
        return ahead / max(len(self.running), self.server_settings.cores)

    def _over_share(self, request: Request) -> bool:
        """Whether this server ran more for its tenant lately than an even part of its quota.

        Departure, acts while requests are held: those within a share start first, since work beyond one earns
        next to nothing. Guards against one tenant's flood and any lasting excess; it may pass over work
        within a share that the routers spread unevenly. It is not rejected for that alone: routers that send
        less when much is turned away would then cut everybody.
        """
        tenant, server_settings = request.tenant, self.server_settings
        if tenant is None or server_settings.over_quota_weight >= 1:
            return False
        seen = self.tenants[tenant]
        while seen and seen[0] < self.now - self.longest:
            seen.popleft()
        span = min(self.longest, max(self.now - self.opened, server_settings.advertisement_ttl_s))
        part = tenant.quota_per_s * span / server_settings.servers
        return len(seen) > part + sqrt(part)

    def _start_held(self) -> None:
        """Held requests start those within their tenant's share first, whose work earns most, then oldest.

        Departure, acts while several request classes are held: one line would give each an even part,
        whatever it earns. Guards against any lasting excess; it denies what earns little, down to half of its
        even part.
        """
        first = sorted(self.rank, key=self._lags, reverse=True)  # who lags behind, then by rank
        for line in [self.hold[row.place + beyond] for beyond in (0, len(first)) for row in first]:
            while line and (line[0].stage is not Stage.QUEUED or self._may_start(line[0])):
                request = line.popleft()
                if request.stage is Stage.QUEUED:
                    request.wait_budget_s -= self.now - request.stage_since
                    self._run(request)

    def _may_start(self, request: Request) -> bool:
        """While pressed the credit pool bounds what runs or is at calls; the guards bound it always.

        Departure, acts while a core is free, after drops or with requests at calls: the pool's floor of one a
        core counts those on the cores, by the part of one that each takes. Guards against a slow ledger or
        any long wait that idles the cores; it may run more requests up to calls than the ledger takes.

        Departure, acts after a break of the interpreter's link: runs whose start is unconfirmed take no place
        in the pool or its floor. Guards against a server that starts nothing for the sake of commands that
        were lost with the link; those that do run crowd the cores for a while, within the guards.
        """
        if not self._survives_run(request):
            return False
        unconfirmed = len(self.unconfirmed)
        on_cores, cores = self.on_cores - unconfirmed, self.server_settings.cores
        each = min(self.demand.at(0.5, 1.0), self.core_share.at(0.5, 1.0) / BUSY_MOST)
        floor = on_cores < cores or on_cores * each < cores
        return floor or len(self.running) - unconfirmed + 1 <= self.credit

    def _learn_core_share(self, busy: float, runnable: float) -> None:
        """What part of a core a running request takes, by how much demands one and by how busy they are.

        Departure, acts where runs wait beside the cores (disk, services below) without an event: one run a
        core would idle the cores while requests are rejected, and the rejections would keep the pool at its
        floor. Medians: a gauge rung between an end and the next start reads low. What demands a core counts
        what is just read as well; how busy the cores are tells it within a burst, but of a while ago: a
        sample lets the runs double at the most. May crowd the cores for a moment; the guards still count
        every run.
        """
        cores = self.server_settings.cores
        if self.on_cores < cores:
            return
        if runnable < inf:
            self.demand.add(min(max(runnable, 1.0) / self.on_cores, 1.0))
        if busy < inf:  # of a while: it tells nothing where all that run demand a core by now
            taken = max(busy, BUSY_MOST / 2) * cores if not self.on_cores <= runnable < inf else self.on_cores
            self.core_share.add(min(taken / self.on_cores, 1.0))

    def _run(self, request: Request) -> None:
        request.stage, request.started, request.stage_since = Stage.RUNNING, True, self.now
        self.running[request] = None
        self.table[request.request_class].begun += 1
        self.on_cores += 1
        self.kb += self._more_kb(request)
        self.taken += 1
        self.begun += 1
        if request.tenant is not None and self.server_settings.over_quota_weight < 1:  # else nobody looks
            request.over_quota = self._over_share(request)
            self.tenants[request.tenant].append(self.now)
        self.actions.append(interface.Run(request))

    def _join(self, request: Request, first: Request) -> None:
        """A repeat waits for the result of the first; if there can be none, it ends in an error.

        One that the cores or memory don't bear now waits till they do: an error for a result that lies here
        would be a loss.
        """
        if first.outcome not in (None, Outcome.SUCCEEDED) or (first.answered and not first.started):
            return self._terminate(request)
        if not self._survives_run(request):
            request.started = True
            return self.joining.append((request, first))
        request.stage = Stage.COALESCED
        self.on_cores += 1
        self.kb += self._more_kb(request)
        self.actions.append(interface.AttachToOriginal(request))

    # -- what happens to a request on its way

    def _ended(self, request: Request, took: float, outcome: Outcome) -> None:
        if request.stage is Stage.FINISHED:
            return
        joined = request.stage is Stage.COALESCED
        request.outcome = outcome
        if outcome is Outcome.SUCCEEDED and not joined:
            self.table[request.request_class].learn(request.cost_hint, took)
        if outcome in (Outcome.SUCCEEDED, Outcome.ERROR):
            if not request.answered:
                self.trips.add(self.now - request.read_at)
                self.patience[request.client].add(request.request_class.timeout_s)
            if not joined:
                self.put += 1
            self._answer(request)
        elif outcome is Outcome.NEVER_STARTED and not joined:
            self._undo(request)
        if not request.answered:
            self._terminate(request)  # stopped: a rerun is never needed here, the answer is
        self._leave(request)

    def _undo(self, request: Request) -> None:
        """It never began: it leaves no trace in the pool, in its tenant's share or in the table.

        Departure, acts when the machine does not know what it was to run. Guards against clients that make up
        requests, whose idempotency keys would end true ones in errors; a run that was lost counts as never
        taken.
        """
        self.taken = max(self.taken - 1, 0)
        self._release(request)
        if request.tenant is not None and request.stage_since in self.tenants[request.tenant]:
            self.tenants[request.tenant].remove(request.stage_since)

    def _stand(self, request: Request) -> None:
        if request.stage is not Stage.RUNNING:
            return
        request.stage, request.stage_since = Stage.WAITING_TO_CALL, self.now
        self.unconfirmed.discard(request)
        self.on_cores -= 1
        if request.answered:
            return  # answered work ends by itself where it stands
        # The budget again, against the oldest request that waits to call; no call can be made of no ledger.
        if self.server_settings.dependency is None or self._oldest(self.at_call, Stage.WAITING_TO_CALL) > max(
            request.wait_budget_s, 0.0
        ):
            return self._go_without(request)
        self.at_call.append(request)
        self.read += 1
        heappush(self.dues, (self.now + max(request.wait_budget_s, 0.0), self.read, request))

    def _oldest(self, line: deque[Request], stage: Stage) -> float:
        """The age of the first in a line that still stands in it."""
        while line and line[0].stage is not stage:
            line.popleft()
        return self.now - line[0].stage_since if line else 0.0

    def _wait_to_call(self, request_class: interface.RequestClass) -> float:
        """How long the calls of those that run ahead will keep this server's share of the ledger.

        Departure, acts where an answer without its call earns nothing: no request is run up to a call that
        cannot be made in time. Guards against any slow or crowded ledger; some calls come back sooner.
        """
        ledger = self.server_settings.dependency
        if request_class.skip_value_ratio or ledger is None or not ledger.capacity:
            return 0.0
        rows = self.table
        ahead = sum(
            rows[one.request_class].calls / rows[one.request_class].runs
            for one in self.running
            if one.request_class.calls_dependency
        )
        return ahead * self._call_lately() / min(self._calls_most(ledger.capacity), ledger.capacity)

    def _call_lately(self) -> float:
        recent = sorted(list(self.call_times.raw)[-RECENT:])
        return recent[len(recent) // 2] if recent else 0.0

    def _make_calls(self) -> None:
        """Calls go out oldest first while this server's share of the ledger has room."""
        while self.at_call:
            request = self.at_call[0]
            if request.stage is Stage.WAITING_TO_CALL and not request.answered:
                left = max(request.deadline - self.now, self.server_settings.min_batch_interval_s)
                allow = min(left, 2 * self.call_times.at(0.99, left), self._call_longest())
                if not self._call_fits(allow):
                    return
                request.wait_budget_s -= self.now - request.stage_since
                request.stage, request.called_at = Stage.CALLING, self.now
                self.calls[request] = allow
                self.actions.append(interface.CallDependency(request, allow))
                self.table[request.request_class].calls += 1
            self.at_call.popleft()

    def _returned(self, request: Request, took: float, outcome: Outcome) -> None:
        if request not in self.calls:
            return
        self._close_call(request, outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST))
        self.call_times.add(took)
        if outcome is Outcome.SUCCEEDED:
            request.stage = Stage.RUNNING
            self.on_cores += 1
            return
        request.stage, request.stage_since = Stage.WAITING_TO_CALL, self.now
        if request.answered:
            return
        if request.request_class.skip_value_ratio or (
            request.request_class.idempotency in DONT_RUN_AGAIN and outcome not in NEVER_RAN
        ):
            self._go_without(request)
        else:
            self.at_call.append(request)

    def _go_without(self, request: Request) -> None:
        """The call is not made: the answer earns its part without, or there is none."""
        if not request.request_class.skip_value_ratio:
            return self._drop_begun(request)
        self.actions.append(interface.SkipDependencyCall(request))
        request.stage = Stage.RUNNING
        self.on_cores += 1

    def _close_call(self, request: Request, abandoned: bool) -> None:
        """A call left the books; one given up may stay in the ledger's hands for a while."""
        self.calls.pop(request)
        linger = (
            self.server_settings.dependency.linger_s if abandoned and self.server_settings.dependency else 0.0
        )
        self.past_calls.append((self.now + linger, self.now - request.called_at + linger))

    def _gone(self, request: Request) -> None:
        """Nobody waits: held work is over, running work is stopped where it would only be wasted."""
        if request.stage is Stage.FINISHED:
            return
        if not request.answered:
            self.patience[request.client].add(self.now - request.arrived_at)
        self._answer(request)
        if request.stage in (Stage.QUEUED, Stage.COALESCED):
            if request.stage is Stage.QUEUED and not request.started:
                self._release(request)
            self._leave(request)
        else:
            self._stop(request)

    def _give_up(self, request: Request) -> None:
        """A request whose time is up is answered at once, whatever it is doing."""
        if request.answered or request.stage is Stage.FINISHED:
            return
        if request.stage is Stage.QUEUED and not request.started:
            return self._reject(request, RejectionReason.QUEUE_TIMEOUT)
        if self.now >= request.deadline:
            self._drop_begun(request)
        elif (
            request.stage is Stage.WAITING_TO_CALL and self.now >= request.stage_since + request.wait_budget_s
        ):
            self._go_without(request)

    def _drop_begun(self, request: Request) -> None:
        """An error for a request that has begun; work that no repeat can use is stopped."""
        self.drops += 1
        self._terminate(request)
        self._stop(request)

    def _stop(self, request: Request) -> None:
        """Stop a run that no repeat can use, where the machine can."""
        can = (
            self.server_settings.cancellation is not interface.Cancellation.UNSUPPORTED
            and request.stage is Stage.RUNNING
        )
        if can and request.request_class.idempotency is Idempotency.IDEMPOTENT:
            self.actions.append(interface.Cancel(request))

    def _reject(self, request: Request, why: RejectionReason) -> None:
        """Final answer to a request that never ran, with when to come back.

        Departure, acts while over a fifth of what is read are further tries, as unmarked ones may be:
        rejected requests are asked to stay, as a further try always is. Guards against any fleet that is full
        all over; it may keep a request from a sibling that had room.
        """
        # The goal stands in just after a start: guards against a rejection with no advice, which a caller
        # takes as leave to come back at once.
        oldest = max(self._oldest(line, Stage.QUEUED) for line in self.hold)
        oldest = oldest or self.trips.at(0.5) or request.request_class.latency_objective_s
        full = not self.server_settings.marks_retries or sum(self.marks) > WALKS_MOST * len(self.marks)
        self.drops += 1
        self._release(request)
        rest = min(max(oldest, request.key_capacity_in_s), self.server_settings.max_retry_after_s)
        self.actions.append(interface.Reject(request, rest, request.is_retry or full, why))
        self._answer(request)
        self._leave(request)

    def _terminate(self, request: Request) -> None:
        self.actions.append(interface.Fail(request))
        self._answer(request)
        if request.stage in (Stage.QUEUED, Stage.COALESCED):
            self._leave(request)

    def _answer(self, request: Request) -> None:
        if not request.answered:
            request.answered = True
            request.client.in_flight -= 1
            self.senders -= not request.client.in_flight

    def _leave(self, request: Request) -> None:
        """The request is over and its memory free."""
        if request.stage is Stage.FINISHED:
            return
        if request in self.calls:
            self._close_call(request, True)
        if request.stage in (Stage.RUNNING, Stage.COALESCED):
            self.on_cores -= 1
        self.kb -= request.memory_kb * (
            1 if request.stage is Stage.QUEUED else self.server_settings.running_memory_factor
        )
        self.running.pop(request, None)
        self.unconfirmed.discard(request)
        request.stage = Stage.FINISHED

    def _remember(self, request: Request, life: float) -> None:
        self._keep_idempotency_key(request, life)
        self.actions.append(interface.ReserveKey(request, life))

    def _keep_idempotency_key(self, request: Request, life: float) -> None:
        request.holds_key = True
        self.kb += self.server_settings.idempotency_key_kb
        heappush(self.idempotency_keys, (self.now + life, id(request), request))

    def _may_share(self, request: Request) -> bool:
        reads = (
            request.request_class.idempotency is Idempotency.IDEMPOTENT
            and not request.writes
            and request.subject is not None
        )
        return (
            bool(self.server_settings.coalesce_reads_for_s)
            and reads
            and self._memory_fits(self.server_settings.idempotency_key_kb)
        )

    def _release(self, request: Request) -> None:
        if self._forget(request):
            self.actions.append(interface.ReleaseKey(request))

    def _forget(self, request: Request) -> bool:
        kept, request.holds_key = request.holds_key, False
        self.kb -= self.server_settings.idempotency_key_kb * kept
        return kept

    def _notice(self, left: float) -> None:
        """A drain: nothing that comes past the grace runs, and all is answered before the stop."""
        self.notice_at = self.now
        self.leave_at = (
            self.now
            + left
            - self.server_settings.answer_slack_s
            - 2 * self.server_settings.min_batch_interval_s
        )
        self.actions.append(interface.SetHealth(False, True))
        for request in {entry[2]: None for entry in self.dues}:
            if request.deadline > self.leave_at:
                request.deadline = self.leave_at
                self.read += 1
                heappush(self.dues, (request.deadline, self.read, request))

    # -- guards

    def _survives_run(self, request: Request) -> bool:
        """Whether memory and cores bear one request more; calls count, since they come back by themselves."""
        crowd = self.on_cores + len(self.calls)
        return crowd < int(self._crowd_most()) and self._memory_fits(self._more_kb(request))

    def _more_kb(self, request: Request) -> float:
        """What a held request takes beyond its memory once it runs."""
        return request.memory_kb * (self.server_settings.running_memory_factor - 1)

    def _memory_fits(self, more: float) -> bool:
        return self.kb + more <= self.server_settings.memory_kb

    def _crowd_most(self) -> float:
        """Running requests the cores survive; a cold server is taken at the slowest it may be."""
        server_settings, share = self.server_settings, 1.0
        if self._warms():
            share = (
                server_settings.cold_speed_ratio
                + (1 - server_settings.cold_speed_ratio)
                * (self.now - self.opened)
                / server_settings.warm_up_s
            )
        return server_settings.cores * (1 + (server_settings.max_concurrency_per_core - 1) * share)

    def _warms(self) -> bool:
        server_settings = self.server_settings
        return (
            server_settings.starts_cold
            and server_settings.cold_speed_ratio < 1
            and self.now < self.opened + server_settings.warm_up_s
        )

    def _call_fits(self, allow: float) -> bool:
        """Whether the calls of any one span, at their longest, stay within this server's share."""
        ledger = self.server_settings.dependency
        if ledger is None or ledger.capacity is None:
            return True
        if len(self.calls) >= self._calls_most(ledger.capacity):
            return False
        while self.past_calls and self.past_calls[0][0] <= self.now - ledger.span_s:
            self.past_calls.popleft()
        booked = sum(min(took, ledger.span_s) for _, took in self.past_calls) + sum(
            min(one + ledger.linger_s, ledger.span_s) for one in self.calls.values()
        )
        return booked + min(allow + ledger.linger_s, ledger.span_s) <= ledger.capacity * ledger.span_s

    def _calls_most(self, share: float) -> float:
        """Calls in hand while they take long: fewer than the share, at least one.

        Departure, acts when the last few calls took several times what they used to: a crowded ledger gets
        slower with each call more, so the queue is kept here, where the budgets see it. Guards against any
        slow or crowded ledger, whoever crowds it; one that is slow but not crowded is used less.
        """
        usual, lately = self.call_times.at(0.25), self._call_lately()
        return max(1.0, share * min(1.0, SLOW_CALLS * usual / lately) if lately else share)

    def _call_longest(self) -> float:
        """One core's part of the call time that a span's share holds: no call alone may book more."""
        ledger = self.server_settings.dependency
        return (
            inf
            if not ledger or not ledger.capacity
            else ledger.capacity * ledger.span_s / self.server_settings.cores
        )

    # -- the credit pool

    def _turn(self) -> None:
        """The design page's iteration, line for line."""
        taken, put = self.taken - self.taken_last, self.put - self.put_last
        if self.drops > DROPS_MOST * self.taken:
            self.credit *= 1 - CUT
        elif taken * put > 0 and abs(put) > SLOPE_LEAST * abs(taken):
            self.credit += STEP * self.server_settings.cores
        else:
            self.credit *= 1 - CUT
        self.credit = min(max(self.credit, self.server_settings.cores), self._credit_most())
        self.taken_last, self.put_last = self.taken, self.put
        self.taken = self.put = self.drops = 0
        rest = max(
            TRIPS * self.trips.at(0.5, self.server_settings.advertisement_ttl_s),
            self.server_settings.min_batch_interval_s,
        )
        self.turn_at = self.now + rest
        self._rank(0.5 ** (rest / self.longest))

    def _tend_connections(self) -> None:
        """How long unused connections stay open.

        Departure, acts where routers come back, on average, later than they keep a connection. Then most may
        be used once, and a table of used-up ones taxes the cores and keeps out requests: once no more come
        (the table is full, or few send) and few of the requests read are from routers that were heard within
        that time, each goes as soon as an answer's slack has passed. Where many come again, or soon again in
        numbers near those that run (retries), a full table is the cheapest rejection. Guards against any
        crowd of routers that see each server seldom; the few that come often pay a handshake for each
        request.
        """
        server_settings, before, reads = self.server_settings, self.idle, self.reads
        no_more, self.had_connections = self.connections <= self.had_connections, self.connections
        self.tend_at = self.now + max(
            server_settings.advertisement_ttl_s, server_settings.min_batch_interval_s
        )
        if len(reads) >= SAMPLES // 2:
            since, _, begun = reads[0]
            rare = server_settings.clients * (self.now - since) > server_settings.idle_timeout_s * len(reads)
            # Soon after the start nobody can have been heard long ago: what was seen is drawn out, half way.
            seen = sum(min(when - self.opened, server_settings.idle_timeout_s) for when, _, _ in reads) / len(
                reads
            )
            strange = sum(gap > server_settings.idle_timeout_s for _, gap, _ in reads) / len(reads)
            known = 1 - strange ** sqrt(
                server_settings.idle_timeout_s / max(seen, server_settings.min_batch_interval_s)
            )
            back = sum(gap < self.longest for _, gap, _ in reads) / max(self.begun - begun, 1)
            if not rare or known > MANY_KNOWN or back > 1:
                self.idle = server_settings.idle_timeout_s
            elif no_more and known < FEW_KNOWN and back < FEW_KNOWN:
                self.idle = min(
                    max(server_settings.answer_slack_s, server_settings.min_batch_interval_s),
                    server_settings.idle_timeout_s,
                )
        if self.idle != before:
            self.actions.append(interface.CloseIdle(self.idle))

    def _credit_most(self) -> float:
        return min(self._crowd_most(), self._memory_most())

    def _memory_most(self) -> float:
        kb = [request.memory_kb for request in self.running] or [
            request.memory_kb for line in self.hold for request in line
        ]
        mean = sum(kb) / len(kb) if kb else 0.0
        return (
            self.server_settings.memory_kb / (mean * self.server_settings.running_memory_factor)
            if mean
            else inf
        )

    def _speak(self) -> None:
        """Tell callers their share while the pool binds, and the memory cap's share otherwise."""
        server_settings = self.server_settings
        if server_settings.advertisement is AdvertisementKind.NONE:
            return
        behind = self.unread > self.trips.at(0.5)
        binds = behind or any(self.hold)
        pool = max(self.credit, server_settings.cores)
        if server_settings.advertisement is AdvertisementKind.CREDIT:
            # Whose requests are out here: while reading is behind also those that may lie unread.
            since = self.now - self.unread
            late = takewhile(
                lambda router: router.last_received_at > since, reversed(self.patience if behind else {})
            )
            callers = self.senders + sum(not router.in_flight for router in late)
            most = pool if binds else min(self._memory_most(), 2**31)
            amount = self._cold_share(most, callers) if self._warms() else max(most / max(callers, 1), 1.0)
        else:
            share = pool / max(len(self.running) + sum(map(len, self.hold)), 1) if binds else 1.0
            amount = (
                min(share, 1.0)
                if server_settings.advertisement is AdvertisementKind.ACCEPT_PROBABILITY
                else max(1 - share, 0.0)
            )
        amount = round(amount, 2)
        if amount != self.said:
            self.said = amount
            self.actions.append(interface.AdvertiseCapacity(amount))

    def _cold_share(self, most: float, callers: int) -> float:
        """Each caller's share while this server warms up.

        Departure, acts during a warm-up: what the cores survive then is shared by all callers there are, also
        those with nothing out here; one under one is taken as a chance. What came in the guard's span counts
        still, though it has its answer: else quick ones, rejections above all, would make room at once.
        Guards against callers that each take an endless credit, or one, in the same moment; it may keep away
        some that had found room, with more callers than the cores survive requests, or runs much under the
        span.
        """
        callers = max(callers, self.server_settings.clients)
        out = len(self.running) + sum(map(len, self.hold))
        room = max(self._crowd_most() - self._came_lately(), 0.0)
        share = min(room / max(callers - self.senders, 1), (room + out) / callers)  # none out, or some each
        return min(share, min(most, self._credit_most()) / callers)

    def _came_lately(self) -> float:
        """Requests read in the guard's span; more than the reads that are kept are drawn out."""
        span, reads = self.server_settings.concurrency_span_s, self.reads
        came = sum(1 for _ in takewhile(lambda read: read[0] > self.now - span, reversed(reads)))
        return came if came < SAMPLES else came * span / max(self.now - reads[0][0], 1e-6)

    # -- the clock

    def _set_clock(self) -> None:
        """One alarm for the earliest need; an older, later one may still ring."""
        need = min(self.turn_at, self.tend_at, self.unconfirmed.next_due)
        if self.dues:
            need = min(need, self.dues[0][0])
        if self.at_call and self.past_calls:
            span = self.server_settings.dependency.span_s if self.server_settings.dependency else 0.0
            need = min(need, self.past_calls[0][0] + span)
        if need < self.armed:
            self.armed = need
            self.actions.append(interface.SetTimer(max(need - self.now, 0.0)))
