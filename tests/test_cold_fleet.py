"""A cold server and its clients: the requests per concurrency span stay near what the cores sustain.

The simulated clients follow the advertised credit exactly; clock, work and random draws are simulated.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from math import inf, sqrt
from random import Random

import pytest
from simulated_server import raise_errors

from sablewheel.forwarding.events import (
    AdmitRequest,
    DeliverAnswer,
    Effect,
    ForwardRequested,
    Key,
    MessageReceived,
    RequestFinished,
    ReturnRequest,
    Send,
    TimerFired,
)
from sablewheel.forwarding.forwarding_state import ForwardingState
from sablewheel.forwarding.messages import Answer, FinalStatus, RequestData
from sablewheel.overload import interface
from sablewheel.overload.controller import Controller
from sablewheel.overload.interface import (
    AdvertisementKind,
    Client,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    ServerSettings,
)

COLD = ServerSettings(
    request_classes=(RequestClass(Idempotency.IDEMPOTENT, 1.5, 4.5),),
    cores=6,
    memory_kb=100_000.0,
    running_memory_factor=4.0,
    advertisement=AdvertisementKind.CREDIT,
    advertisement_ttl_s=1.0,
    starts_cold=True,
    idle_timeout_s=30.0,
    min_batch_interval_s=0.002,
    answer_slack_s=0.06,
    max_concurrency_per_core=5.0,
    concurrency_span_s=1.5,
    cold_speed_ratio=0.23,
    warm_up_s=10.0,
    max_retry_after_s=1.0,
)
STEP_S = 0.01  # step of the simulated clock
HEALTH_CHECK_INTERVAL_S = 0.5  # of each client


@dataclass(eq=False)
class SimulatedClient:
    """A client with at most as many open requests as advertised, a fractional one at random.

    It sends nothing during a retry delay.
    """

    client: Client = field(default_factory=Client)
    open_requests: int = 0
    credit: float = inf
    credit_at: float = -inf
    away_until: float = -inf

    def may_send(self, now: float, credit_ttl_s: float, draws: Random) -> bool:
        if now < self.away_until:
            return False
        if now > self.credit_at + credit_ttl_s:
            return True
        return self.open_requests < int(self.credit) + (draws.random() < self.credit % 1)


class Fleet:
    """Clients that always have more requests than a cold server can serve, and that server with its cores."""

    def __init__(
        self, server_settings: ServerSettings, client_count: int, rate: float, work_s: float
    ) -> None:
        self.server_settings, self.rate, self.work_s = (
            replace(server_settings, clients=client_count),
            rate,
            work_s,
        )
        self.draws = Random(client_count)
        self.senders = [SimulatedClient() for _ in range(client_count)]
        self.controller = Controller(self.server_settings, 7)
        self.start = self.now = 1000.0
        self.advertised = inf
        self.owners: dict[Request, SimulatedClient] = {}
        self.remaining_work_s: dict[Request, float] = {}  # remaining core time of each run
        self.arrival_times: deque[float] = deque()
        self.start_times: deque[float] = deque()
        self.running_counts: deque[int] = deque(maxlen=round(server_settings.concurrency_span_s / STEP_S))
        self.served = 0
        # Largest ratios of the numbers within a span to their limits.
        self.max_received_ratio = self.max_started_ratio = self.max_running_ratio = 0.0
        self.handle_events([])
        for sender in self.senders:
            self.advertise_to(sender)

    @property
    def speed(self) -> float:
        server_settings = self.server_settings
        warmed = min((self.now - self.start) / server_settings.warm_up_s, 1.0)
        return server_settings.cold_speed_ratio + (1 - server_settings.cold_speed_ratio) * warmed

    @property
    def max_concurrency(self) -> float:
        return self.server_settings.cores * (
            1 + (self.server_settings.max_concurrency_per_core - 1) * self.speed
        )

    def advertise_to(self, sender: SimulatedClient) -> None:
        sender.credit, sender.credit_at = self.advertised, self.now

    def handle_events(self, events: list[interface.Event]) -> None:
        actions = raise_errors(self.controller.handle_events(self.now, events))
        for action in actions:
            match action:
                case interface.AdvertiseCapacity(value):
                    self.advertised = value
                case interface.Run(request):
                    self.remaining_work_s[request] = self.work_s * self.draws.uniform(0.5, 1.5)
                    self.start_times.append(self.now)
        # The advertised value is sent with every answer of the batch.
        for action in actions:
            if isinstance(action, (interface.Reject, interface.Fail)):
                sender = self.answer(action.request)
                if isinstance(action, interface.Reject):
                    sender.away_until = self.now + action.retry_after_s
        for event in events:
            if isinstance(event, interface.RunEnded) and event.request in self.owners:
                self.served += 1
                self.answer(event.request)

    def answer(self, request: Request) -> SimulatedClient:
        sender = self.owners.pop(request)
        sender.open_requests -= 1
        self.advertise_to(sender)
        return sender

    def send(self, sender: SimulatedClient) -> interface.RequestArrived:
        request = Request(self.server_settings.request_classes[0], sender.client, None, self.now, 10.0)
        self.owners[request] = sender
        sender.open_requests += 1
        self.arrival_times.append(self.now)
        return interface.RequestArrived(request)

    def advance(self) -> None:
        self.now = round(self.now + STEP_S, 6)
        events: list[interface.Event] = []
        progress_s = (
            STEP_S * self.speed * min(1.0, self.server_settings.cores / max(len(self.remaining_work_s), 1))
        )
        for request in list(self.remaining_work_s):
            self.remaining_work_s[request] -= progress_s
            if self.remaining_work_s[request] <= 0:
                del self.remaining_work_s[request]
                events.append(interface.RunEnded(request, self.now - request.stage_since, Outcome.SUCCEEDED))
        self.handle_events(events + self.arrivals())
        self.update_maxima()

    def arrivals(self) -> list[interface.Event]:
        for index, sender in enumerate(self.senders):
            if (
                self.now - self.start + HEALTH_CHECK_INTERVAL_S * index / len(self.senders)
            ) % HEALTH_CHECK_INTERVAL_S < STEP_S:
                self.advertise_to(sender)
        events: list[interface.Event] = []
        for sender in self.draws.sample(self.senders, len(self.senders)):
            has_request = self.draws.random() < self.rate * STEP_S / len(self.senders)
            if has_request and sender.may_send(
                self.now, self.server_settings.advertisement_ttl_s, self.draws
            ):
                events.append(self.send(sender))
        return events

    def update_maxima(self) -> None:
        for times in (self.arrival_times, self.start_times):
            while times and times[0] <= self.now - self.server_settings.concurrency_span_s:
                times.popleft()
        self.running_counts.append(len(self.remaining_work_s))
        limit = self.max_concurrency + 2 * sqrt(self.max_concurrency) + 2
        self.max_received_ratio = max(self.max_received_ratio, len(self.arrival_times) / limit)
        self.max_started_ratio = max(self.max_started_ratio, len(self.start_times) / limit)
        self.max_running_ratio = max(
            self.max_running_ratio,
            sum(self.running_counts)
            * STEP_S
            / self.server_settings.concurrency_span_s
            / self.max_concurrency,
        )


@pytest.mark.parametrize("client_count", [4, 20, 30, 400])
def test_the_credit_of_a_cold_server_is_shared_by_all_clients(client_count: int) -> None:
    """Without queued requests each client got an unlimited credit, and all could use it at once."""
    fleet = Fleet(COLD, client_count, 0.0, 0.3)
    assert fleet.advertised * client_count == pytest.approx(fleet.max_concurrency, abs=0.005 * client_count)
    requests = sum(
        int(sender.credit) + (fleet.draws.random() < sender.credit % 1) for sender in fleet.senders
    )
    assert requests <= fleet.max_concurrency + 2 * sqrt(fleet.max_concurrency) + 2


def test_the_shared_credit_grows_during_warm_up_and_is_unlimited_afterwards() -> None:
    fleet = Fleet(COLD, 30, 0.0, 0.3)
    advertised = []
    for _ in range(3):
        advertised.append(fleet.advertised)
        fleet.now += 4.9
        fleet.handle_events([interface.TimerFired()])
    assert advertised[0] < advertised[1] < advertised[2] <= 1.0
    fleet.now = fleet.start + COLD.warm_up_s
    fleet.handle_events([interface.TimerFired()])
    assert fleet.advertised == 2**31


@pytest.mark.parametrize("change", [{"starts_cold": False}, {"cold_speed_ratio": 1.0}, {"warm_up_s": 0.0}])
def test_a_server_that_starts_warm_advertises_without_the_warm_up_limit(change: dict[str, object]) -> None:
    fleet = Fleet(replace(COLD, **change), 30, 0.0, 0.3)  # type: ignore[arg-type]
    assert fleet.advertised == 2**31
    fleet.handle_events([fleet.send(sender) for sender in fleet.senders])
    assert fleet.advertised == 1.0  # overloaded: at least 1 for each client


@pytest.mark.parametrize("client_count", [4, 10, 20, 30, 400])
@pytest.mark.parametrize(("rate", "work_s"), [(60.0, 0.3), (200.0, 0.3), (60.0, 0.05), (200.0, 1.0)])
def test_requests_to_a_cold_server_per_span_stay_within_its_limit_plus_random_variation(
    client_count: int, rate: float, work_s: float
) -> None:
    """Each answer, above all a rejection, freed its credit at once.

    Several times as many requests as sustainable then came within a span.
    """
    fleet = Fleet(COLD, client_count, rate, work_s)
    while fleet.now < fleet.start + COLD.warm_up_s:
        fleet.advance()
    assert fleet.max_received_ratio <= 1.0
    assert fleet.max_started_ratio <= 1.0 and fleet.max_running_ratio <= 1.0
    # The server is not kept idle by that, except with many clients that seldom send.
    mean_speed = (COLD.cold_speed_ratio + 1) / 2
    could_run = COLD.cores * mean_speed * COLD.warm_up_s / work_s
    could_receive = (
        COLD.cores
        * (1 + (COLD.max_concurrency_per_core - 1) * mean_speed)
        * COLD.warm_up_s
        / COLD.concurrency_span_s
    )
    assert client_count > 30 or fleet.served > 0.6 * min(could_run, could_receive)


class ForwardingFleet(Fleet):
    """The senders are members of the view that forward requests to the cold server.

    They do not receive its advertised credit.
    """

    def __init__(self, server_settings: ServerSettings, members: int, rate: float, work_s: float) -> None:
        self.forwarding_states = {f"m{index}": ForwardingState() for index in range(members)}
        self.cold = ForwardingState()
        self.keys: dict[Request, Key] = {}
        self.clients = {name: Client() for name in self.forwarding_states}
        self.request_id = self.answered = 0
        self.open: set[int] = set()
        super().__init__(server_settings, members, rate, work_s)

    def handle_events(self, events: list[interface.Event]) -> None:
        ended = [event.request for event in events if isinstance(event, interface.RunEnded)]
        for action in raise_errors(self.controller.handle_events(self.now, events)):
            match action:
                case interface.Run(request):
                    self.remaining_work_s[request] = self.work_s * self.draws.uniform(0.5, 1.5)
                case interface.Reject(request, retry_after_s):
                    self.send_answer(request, FinalStatus.REJECTED, retry_after_s)
                case interface.Fail(request):
                    self.send_answer(request, FinalStatus.FAILED)
        for request in ended:
            self.send_answer(request, FinalStatus.COMPLETED)

    def send_answer(self, request: Request, status: FinalStatus, retry_after_s: float = 0.0) -> None:
        key = self.keys.pop(request, None)
        if key is not None:
            self.served += status is FinalStatus.COMPLETED
            self.execute(
                "cold",
                self.cold.step(self.now, RequestFinished(key, Answer(key[1], status, b"", retry_after_s))),
            )

    def execute(self, name: str, effects: list[Effect]) -> list[interface.Event]:
        """Execute the effects of a forwarding state; return the resulting events of the cold server."""
        arrived: list[interface.Event] = []
        for effect in effects:
            match effect:
                case Send("cold", message):
                    arrived += self.execute("cold", self.cold.step(self.now, MessageReceived(name, message)))
                case Send(to, message):
                    self.execute(
                        to, self.forwarding_states[to].step(self.now, MessageReceived(name, message))
                    )
                case AdmitRequest(key, data, age):
                    request_class, client = self.server_settings.request_classes[0], self.clients[key[0]]
                    request = Request(request_class, client, None, self.now - age, data.memory_kb)
                    self.keys[request] = key
                    self.arrival_times.append(self.now)
                    arrived.append(interface.RequestArrived(request))
                case DeliverAnswer(request_id) | ReturnRequest(request_id):
                    self.open.remove(request_id)  # once only
                    self.answered += 1
        return arrived

    def arrivals(self) -> list[interface.Event]:
        events: list[interface.Event] = []
        for name, forwarding_state in self.forwarding_states.items():
            self.execute(name, forwarding_state.step(self.now, TimerFired()))
            if self.draws.random() < self.rate * STEP_S / len(self.forwarding_states):
                self.request_id += 1
                self.open.add(self.request_id)
                data = RequestData(b"%d" % self.request_id, b"lookup", b"", b"", None, 10.0, None)
                forward_requested = ForwardRequested(
                    self.request_id, "cold", Idempotency.IDEMPOTENT, data, 0.0, 4.5
                )
                events += self.execute(name, forwarding_state.step(self.now, forward_requested))
        return events


def test_requests_that_many_members_forward_to_a_cold_peer_never_overload_its_cores() -> None:
    """Forwarded requests are limited for each link only; runs are limited for all links together."""
    fleet = ForwardingFleet(COLD, 30, 200.0, 0.3)
    while fleet.now < fleet.start + COLD.warm_up_s:
        fleet.advance()
    assert fleet.max_running_ratio <= 1.0 and fleet.served > 60
    assert fleet.answered + len(fleet.open) == fleet.request_id
