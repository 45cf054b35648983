"""A cold server and its senders: what it gets in the span of the cores' guard stays near what they bear.

The senders obey what they were told and no more; the clock, the work and their draws are made.
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
STEP = 0.01  # of the made clock
CHECKED = 0.5  # each sender asks for the server's health so often


@dataclass(eq=False)
class Sender:
    """Has at most as many requests out as it was told, a fraction by chance, and stays away when advised."""

    router: Client = field(default_factory=Client)
    out: int = 0
    told: float = inf
    told_at: float = -inf
    away_until: float = -inf

    def may(self, now: float, lasts: float, draws: Random) -> bool:
        if now < self.away_until:
            return False
        if now > self.told_at + lasts:
            return True
        return self.out < int(self.told) + (draws.random() < self.told % 1)


class Fleet:
    """Senders with always more to send than a cold server does, and that server with its cores."""

    def __init__(self, server_settings: ServerSettings, callers: int, flow: float, work: float) -> None:
        self.server_settings, self.flow, self.work = replace(server_settings, clients=callers), flow, work
        self.draws = Random(callers)
        self.senders = [Sender() for _ in range(callers)]
        self.controller = Controller(self.server_settings, 7)
        self.start = self.now = 1000.0
        self.said = inf
        self.owners: dict[Request, Sender] = {}
        self.left: dict[Request, float] = {}  # core time that each run still wants
        self.got: deque[float] = deque()
        self.began: deque[float] = deque()
        self.crowds: deque[int] = deque(maxlen=round(server_settings.concurrency_span_s / STEP))
        self.served = 0
        self.most_got = self.most_began = self.most_crowd = 0.0  # over what may be, the largest
        self.decide([])
        for sender in self.senders:
            self.tell(sender)

    @property
    def speed(self) -> float:
        server_settings = self.server_settings
        warmed = min((self.now - self.start) / server_settings.warm_up_s, 1.0)
        return server_settings.cold_speed_ratio + (1 - server_settings.cold_speed_ratio) * warmed

    @property
    def bears(self) -> float:
        return self.server_settings.cores * (
            1 + (self.server_settings.max_concurrency_per_core - 1) * self.speed
        )

    def tell(self, sender: Sender) -> None:
        sender.told, sender.told_at = self.said, self.now

    def decide(self, events: list[interface.Event]) -> None:
        actions = raise_errors(self.controller.handle_events(self.now, events))
        for action in actions:
            match action:
                case interface.AdvertiseCapacity(amount):
                    self.said = amount
                case interface.Run(request):
                    self.left[request] = self.work * self.draws.uniform(0.5, 1.5)
                    self.began.append(self.now)
        # What is said goes with every answer of the batch.
        for action in actions:
            if isinstance(action, (interface.Reject, interface.Fail)):
                sender = self.answer(action.request)
                if isinstance(action, interface.Reject):
                    sender.away_until = self.now + action.retry_after_s
        for event in events:
            if isinstance(event, interface.RunEnded) and event.request in self.owners:
                self.served += 1
                self.answer(event.request)

    def answer(self, request: Request) -> Sender:
        sender = self.owners.pop(request)
        sender.out -= 1
        self.tell(sender)
        return sender

    def send(self, sender: Sender) -> interface.RequestArrived:
        request = Request(self.server_settings.request_classes[0], sender.router, None, self.now, 10.0)
        self.owners[request] = sender
        sender.out += 1
        self.got.append(self.now)
        return interface.RequestArrived(request)

    def pass_time(self) -> None:
        self.now = round(self.now + STEP, 6)
        events: list[interface.Event] = []
        each = STEP * self.speed * min(1.0, self.server_settings.cores / max(len(self.left), 1))
        for request in list(self.left):
            self.left[request] -= each
            if self.left[request] <= 0:
                del self.left[request]
                events.append(interface.RunEnded(request, self.now - request.stage_since, Outcome.SUCCEEDED))
        self.decide(events + self.comers())
        self.look()

    def comers(self) -> list[interface.Event]:
        for place, sender in enumerate(self.senders):
            if (self.now - self.start + CHECKED * place / len(self.senders)) % CHECKED < STEP:
                self.tell(sender)
        come: list[interface.Event] = []
        for sender in self.draws.sample(self.senders, len(self.senders)):
            comes = self.draws.random() < self.flow * STEP / len(self.senders)
            if comes and sender.may(self.now, self.server_settings.advertisement_ttl_s, self.draws):
                come.append(self.send(sender))
        return come

    def look(self) -> None:
        for times in (self.got, self.began):
            while times and times[0] <= self.now - self.server_settings.concurrency_span_s:
                times.popleft()
        self.crowds.append(len(self.left))
        may = self.bears + 2 * sqrt(self.bears) + 2
        self.most_got = max(self.most_got, len(self.got) / may)
        self.most_began = max(self.most_began, len(self.began) / may)
        self.most_crowd = max(
            self.most_crowd, sum(self.crowds) * STEP / self.server_settings.concurrency_span_s / self.bears
        )


@pytest.mark.parametrize("callers", [4, 20, 30, 400])
def test_what_a_cold_server_says_is_for_all_callers_together(callers: int) -> None:
    """With nothing held each caller heard of an endless credit, and all could take it in the same moment."""
    fleet = Fleet(COLD, callers, 0.0, 0.3)
    assert fleet.said * callers == pytest.approx(fleet.bears, abs=0.005 * callers)
    crowd = sum(int(one.told) + (fleet.draws.random() < one.told % 1) for one in fleet.senders)
    assert crowd <= fleet.bears + 2 * sqrt(fleet.bears) + 2


def test_callers_share_more_as_a_server_warms_and_as_before_once_it_is_warm() -> None:
    fleet = Fleet(COLD, 30, 0.0, 0.3)
    said = []
    for _ in range(3):
        said.append(fleet.said)
        fleet.now += 4.9
        fleet.decide([interface.TimerFired()])
    assert said[0] < said[1] < said[2] <= 1.0
    fleet.now = fleet.start + COLD.warm_up_s
    fleet.decide([interface.TimerFired()])
    assert fleet.said == 2**31


@pytest.mark.parametrize("change", [{"starts_cold": False}, {"cold_speed_ratio": 1.0}, {"warm_up_s": 0.0}])
def test_a_server_that_starts_warm_says_what_it_always_said(change: dict[str, object]) -> None:
    fleet = Fleet(replace(COLD, **change), 30, 0.0, 0.3)  # type: ignore[arg-type]
    assert fleet.said == 2**31
    fleet.decide([fleet.send(sender) for sender in fleet.senders])
    assert fleet.said == 1.0  # pressed: at least one each


@pytest.mark.parametrize("callers", [4, 10, 20, 30, 400])
@pytest.mark.parametrize(("flow", "work"), [(60.0, 0.3), (200.0, 0.3), (60.0, 0.05), (200.0, 1.0)])
def test_what_a_cold_server_gets_in_a_span_is_what_it_bears_and_chance(
    callers: int, flow: float, work: float
) -> None:
    """Each answer, rejections above all, gave its credit back at once: several times as many came in a
    span.
    """
    fleet = Fleet(COLD, callers, flow, work)
    while fleet.now < fleet.start + COLD.warm_up_s:
        fleet.pass_time()
    assert fleet.most_got <= 1.0
    assert fleet.most_began <= 1.0 and fleet.most_crowd <= 1.0
    # And it is not kept idle for that, unless by the many who come seldom: each takes its chance once.
    warm = (COLD.cold_speed_ratio + 1) / 2  # on the mean
    could_run = COLD.cores * warm * COLD.warm_up_s / work
    could_get = (
        COLD.cores
        * (1 + (COLD.max_concurrency_per_core - 1) * warm)
        * COLD.warm_up_s
        / COLD.concurrency_span_s
    )
    assert callers > 30 or fleet.served > 0.6 * min(could_run, could_get)


class Members(Fleet):
    """The senders are members of the view that pass requests on to the cold one; none hears what it says."""

    def __init__(self, server_settings: ServerSettings, members: int, flow: float, work: float) -> None:
        self.cores = {f"m{number}": ForwardingState() for number in range(members)}
        self.cold = ForwardingState()
        self.guests: dict[Request, Key] = {}
        self.routers = {name: Client() for name in self.cores}
        self.number = self.answered = 0
        self.open: set[int] = set()
        super().__init__(server_settings, members, flow, work)

    def decide(self, events: list[interface.Event]) -> None:
        ended = [one.request for one in events if isinstance(one, interface.RunEnded)]
        for action in raise_errors(self.controller.handle_events(self.now, events)):
            match action:
                case interface.Run(request):
                    self.left[request] = self.work * self.draws.uniform(0.5, 1.5)
                case interface.Reject(request, retry_after_s):
                    self.over(request, FinalStatus.REJECTED, retry_after_s)
                case interface.Fail(request):
                    self.over(request, FinalStatus.FAILED)
        for request in ended:
            self.over(request, FinalStatus.COMPLETED)

    def over(self, request: Request, final: FinalStatus, retry_after_s: float = 0.0) -> None:
        key = self.guests.pop(request, None)
        if key is not None:
            self.served += final is FinalStatus.COMPLETED
            self.carry(
                "cold",
                self.cold.step(self.now, RequestFinished(key, Answer(key[1], final, b"", retry_after_s))),
            )

    def carry(self, name: str, effects: list[Effect]) -> list[interface.Event]:
        """What one core would have done, done; what came out of it for the cold one's controller."""
        arrived: list[interface.Event] = []
        for effect in effects:
            match effect:
                case Send("cold", message):
                    arrived += self.carry("cold", self.cold.step(self.now, MessageReceived(name, message)))
                case Send(to, message):
                    self.carry(to, self.cores[to].step(self.now, MessageReceived(name, message)))
                case AdmitRequest(key, told, age):
                    request_class, router = self.server_settings.request_classes[0], self.routers[key[0]]
                    request = Request(request_class, router, None, self.now - age, told.memory_kb)
                    self.guests[request] = key
                    self.got.append(self.now)
                    arrived.append(interface.RequestArrived(request))
                case DeliverAnswer(number) | ReturnRequest(number):
                    self.open.remove(number)  # once only
                    self.answered += 1
        return arrived

    def comers(self) -> list[interface.Event]:
        come: list[interface.Event] = []
        for name, core in self.cores.items():
            self.carry(name, core.step(self.now, TimerFired()))
            if self.draws.random() < self.flow * STEP / len(self.cores):
                self.number += 1
                self.open.add(self.number)
                told = RequestData(b"%d" % self.number, b"lookup", b"", b"", None, 10.0, None)
                wanted = ForwardRequested(self.number, "cold", Idempotency.IDEMPOTENT, told, 0.0, 4.5)
                come += self.carry(name, core.step(self.now, wanted))
        return come


def test_what_many_members_pass_to_a_cold_peer_never_crowds_its_cores() -> None:
    """What comes is bounded for each link only; what runs there is bounded for all of them together."""
    fleet = Members(COLD, 30, 200.0, 0.3)
    while fleet.now < fleet.start + COLD.warm_up_s:
        fleet.pass_time()
    assert fleet.most_crowd <= 1.0 and fleet.served > 60
    assert fleet.answered + len(fleet.open) == fleet.number
