"""A cold server and its senders: what it gets in the span of the cores' guard stays near what they bear.

The senders obey what they were told and no more; the clock, the work and their draws are made.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from math import inf, sqrt
from random import Random

import pytest

from sablewheel import terms
from sablewheel.choice import Controller
from sablewheel.forwarding.messages import Answer, Final, Passed
from sablewheel.forwarding.passing import (
    Admit,
    Answered,
    Back,
    Effect,
    Got,
    Key,
    Over,
    Passing,
    Send,
    Tick,
    Wanted,
)
from sablewheel.terms import Machine, Nature, Outcome, Request, RequestClass, Router, Speech

COLD = Machine(
    request_classes=(RequestClass(Nature.REDOABLE, 1.5, 4.5),),
    cores=6,
    memory_kb=100_000.0,
    run_factor=4.0,
    speech=Speech.CREDIT,
    said_for=1.0,
    fresh_start=True,
    idle=30.0,
    tick=0.002,
    slack=0.06,
    crowd_multiple=5.0,
    crowd_span=1.5,
    cold_from=0.23,
    warm_up=10.0,
    advice_limit=1.0,
)
STEP = 0.01  # of the made clock
CHECKED = 0.5  # each sender asks for the server's health so often


@dataclass(eq=False)
class Sender:
    """Has at most as many requests out as it was told, a fraction by chance, and stays away when advised."""

    router: Router = field(default_factory=Router)
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

    def __init__(self, machine: Machine, callers: int, flow: float, work: float) -> None:
        self.machine, self.flow, self.work = replace(machine, routers=callers), flow, work
        self.draws = Random(callers)
        self.senders = [Sender() for _ in range(callers)]
        self.controller = Controller(self.machine, 7)
        self.start = self.now = 1000.0
        self.said = inf
        self.owners: dict[Request, Sender] = {}
        self.left: dict[Request, float] = {}  # core time that each run still wants
        self.got: deque[float] = deque()
        self.began: deque[float] = deque()
        self.crowds: deque[int] = deque(maxlen=round(machine.crowd_span / STEP))
        self.served = 0
        self.most_got = self.most_began = self.most_crowd = 0.0  # over what may be, the largest
        self.decide([])
        for sender in self.senders:
            self.tell(sender)

    @property
    def speed(self) -> float:
        machine = self.machine
        warmed = min((self.now - self.start) / machine.warm_up, 1.0)
        return machine.cold_from + (1 - machine.cold_from) * warmed

    @property
    def bears(self) -> float:
        return self.machine.cores * (1 + (self.machine.crowd_multiple - 1) * self.speed)

    def tell(self, sender: Sender) -> None:
        sender.told, sender.told_at = self.said, self.now

    def decide(self, happenings: list[terms.Happening]) -> None:
        deeds = self.controller.decide(self.now, happenings)
        for deed in deeds:
            match deed:
                case terms.Say(amount):
                    self.said = amount
                case terms.Run(request):
                    self.left[request] = self.work * self.draws.uniform(0.5, 1.5)
                    self.began.append(self.now)
        # What is said goes with every answer of the batch.
        for deed in deeds:
            if isinstance(deed, (terms.Deny, terms.Terminate)):
                sender = self.answer(deed.request)
                if isinstance(deed, terms.Deny):
                    sender.away_until = self.now + deed.come_back
        for happening in happenings:
            if isinstance(happening, terms.Ended) and happening.request in self.owners:
                self.served += 1
                self.answer(happening.request)

    def answer(self, request: Request) -> Sender:
        sender = self.owners.pop(request)
        sender.out -= 1
        self.tell(sender)
        return sender

    def send(self, sender: Sender) -> terms.Arrived:
        request = Request(self.machine.request_classes[0], sender.router, None, self.now, 10.0)
        self.owners[request] = sender
        sender.out += 1
        self.got.append(self.now)
        return terms.Arrived(request)

    def pass_time(self) -> None:
        self.now = round(self.now + STEP, 6)
        happenings: list[terms.Happening] = []
        each = STEP * self.speed * min(1.0, self.machine.cores / max(len(self.left), 1))
        for request in list(self.left):
            self.left[request] -= each
            if self.left[request] <= 0:
                del self.left[request]
                happenings.append(terms.Ended(request, self.now - request.since, Outcome.WORKED))
        self.decide(happenings + self.comers())
        self.look()

    def comers(self) -> list[terms.Happening]:
        for place, sender in enumerate(self.senders):
            if (self.now - self.start + CHECKED * place / len(self.senders)) % CHECKED < STEP:
                self.tell(sender)
        come: list[terms.Happening] = []
        for sender in self.draws.sample(self.senders, len(self.senders)):
            comes = self.draws.random() < self.flow * STEP / len(self.senders)
            if comes and sender.may(self.now, self.machine.said_for, self.draws):
                come.append(self.send(sender))
        return come

    def look(self) -> None:
        for times in (self.got, self.began):
            while times and times[0] <= self.now - self.machine.crowd_span:
                times.popleft()
        self.crowds.append(len(self.left))
        may = self.bears + 2 * sqrt(self.bears) + 2
        self.most_got = max(self.most_got, len(self.got) / may)
        self.most_began = max(self.most_began, len(self.began) / may)
        self.most_crowd = max(self.most_crowd, sum(self.crowds) * STEP / self.machine.crowd_span / self.bears)


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
        fleet.decide([terms.Bell()])
    assert said[0] < said[1] < said[2] <= 1.0
    fleet.now = fleet.start + COLD.warm_up
    fleet.decide([terms.Bell()])
    assert fleet.said == 2**31


@pytest.mark.parametrize("change", [{"fresh_start": False}, {"cold_from": 1.0}, {"warm_up": 0.0}])
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
    """Each answer, denials above all, gave its credit back at once: several times as many came in a span."""
    fleet = Fleet(COLD, callers, flow, work)
    while fleet.now < fleet.start + COLD.warm_up:
        fleet.pass_time()
    assert fleet.most_got <= 1.0
    assert fleet.most_began <= 1.0 and fleet.most_crowd <= 1.0
    # And it is not kept idle for that, unless by the many who come seldom: each takes its chance once.
    warm = (COLD.cold_from + 1) / 2  # on the mean
    could_run = COLD.cores * warm * COLD.warm_up / work
    could_get = COLD.cores * (1 + (COLD.crowd_multiple - 1) * warm) * COLD.warm_up / COLD.crowd_span
    assert callers > 30 or fleet.served > 0.6 * min(could_run, could_get)


class Members(Fleet):
    """The senders are members of the view that pass requests on to the cold one; none hears what it says."""

    def __init__(self, machine: Machine, members: int, flow: float, work: float) -> None:
        self.cores = {f"m{number}": Passing() for number in range(members)}
        self.cold = Passing()
        self.guests: dict[Request, Key] = {}
        self.routers = {name: Router() for name in self.cores}
        self.number = self.answered = 0
        self.open: set[int] = set()
        super().__init__(machine, members, flow, work)

    def decide(self, happenings: list[terms.Happening]) -> None:
        ended = [one.request for one in happenings if isinstance(one, terms.Ended)]
        for deed in self.controller.decide(self.now, happenings):
            match deed:
                case terms.Run(request):
                    self.left[request] = self.work * self.draws.uniform(0.5, 1.5)
                case terms.Deny(request, come_back):
                    self.over(request, Final.DENIED, come_back)
                case terms.Terminate(request):
                    self.over(request, Final.TERMINATED)
        for request in ended:
            self.over(request, Final.COMPLETED)

    def over(self, request: Request, final: Final, come_back: float = 0.0) -> None:
        key = self.guests.pop(request, None)
        if key is not None:
            self.served += final is Final.COMPLETED
            self.carry("cold", self.cold.step(self.now, Over(key, Answer(key[1], final, b"", come_back))))

    def carry(self, name: str, effects: list[Effect]) -> list[terms.Happening]:
        """What one core would have done, done; what came out of it for the cold one's controller."""
        arrived: list[terms.Happening] = []
        for effect in effects:
            match effect:
                case Send("cold", message):
                    arrived += self.carry("cold", self.cold.step(self.now, Got(name, message)))
                case Send(to, message):
                    self.carry(to, self.cores[to].step(self.now, Got(name, message)))
                case Admit(key, told, age):
                    request_class, router = self.machine.request_classes[0], self.routers[key[0]]
                    request = Request(request_class, router, None, self.now - age, told.kb)
                    self.guests[request] = key
                    self.got.append(self.now)
                    arrived.append(terms.Arrived(request))
                case Answered(number) | Back(number):
                    self.open.remove(number)  # once only
                    self.answered += 1
        return arrived

    def comers(self) -> list[terms.Happening]:
        come: list[terms.Happening] = []
        for name, core in self.cores.items():
            self.carry(name, core.step(self.now, Tick()))
            if self.draws.random() < self.flow * STEP / len(self.cores):
                self.number += 1
                self.open.add(self.number)
                told = Passed(b"%d" % self.number, b"lookup", b"", b"", None, 10.0, None)
                wanted = Wanted(self.number, "cold", Nature.REDOABLE, told, 0.0, 4.5)
                come += self.carry(name, core.step(self.now, wanted))
        return come


def test_what_many_members_pass_to_a_cold_peer_never_crowds_its_cores() -> None:
    """What comes is bounded for each link only; what runs there is bounded for all of them together."""
    fleet = Members(COLD, 30, 200.0, 0.3)
    while fleet.now < fleet.start + COLD.warm_up:
        fleet.pass_time()
    assert fleet.most_crowd <= 1.0 and fleet.served > 60
    assert fleet.answered + len(fleet.open) == fleet.number
