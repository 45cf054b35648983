"""A server that passes most of its requests to peers drawn at random, as the trial wants; or with its forward
path broken on purpose.

python -m sablewheel.experiments.forwarder spread | twice | no-shrink | no-return FILE

FILE has a line for each request that came from a peer: its name, and when it reached the first machine as
this one takes it.
"""

from __future__ import annotations

import random
import runpy
import sys
from typing import Any

from ..forwarding import frames
from ..forwarding import service as forward
from ..forwarding.events import ConnectionLost, Effect, Event, TimerFired
from ..forwarding.forwarding_state import ForwardingState
from ..membership.view import View
from ..serving.exchange import Exchange
from .replaced_parts import announce, replace_part

SHARE = 0.7  # of requests that go to a peer


class Spread(forward.ForwardingService):
    """Its own placer: any member of the view, as it is agreed right now."""

    def __init__(self, *values: Any, **more: Any) -> None:
        super().__init__(*values, **more)
        self.placer = self
        self._others: list[str] = []
        self._chance = random.Random(self._last_number)
        announce(sys.argv[1])
        self._admitted_file = open(sys.argv[2], "a", buffering=1)  # noqa: SIM115  kept until the end

    def handle_view(self, view: View) -> None:
        super().handle_view(view)
        self._others = [one for one in view.names if one != self._connections.node_name]

    def _serve_here(self, exchange: Exchange) -> None:
        """The trial holds what the controller is told of a guest against what its router knows."""
        if isinstance(exchange.caller, forward.ForwardedCaller):
            self._admitted_file.write(f"{exchange.name.decode()} {exchange.request.arrived_at:.6f}\n")
        super()._serve_here(exchange)

    def place(self, exchange: Exchange) -> str | None:
        if not self._others or self._chance.random() > SHARE:
            return None
        return self._chance.choice(self._others)


def twice() -> None:
    """An non-idempotent request goes again after a break."""

    def again(self: ForwardingState, number: int) -> list[Effect]:
        return [self._return(0.0, number, self.forwarded.pop(number))]

    ForwardingState._fail_uncertain = again  # type: ignore[method-assign]


def no_shrink() -> None:
    """Requests are taken for as young as they were when they left."""

    def transit_s(self: frames.TransitTimeEstimator, now: float, sent_at: float) -> float:
        return 0.0

    frames.TransitTimeEstimator.transit_s = transit_s  # type: ignore[method-assign]


def no_return() -> None:
    """What a broken link or a peer that stands still has is waited for to the end."""
    step = ForwardingState.step

    def waiting(self: ForwardingState, now: float, event: Event) -> list[Effect]:
        if isinstance(event, ConnectionLost):
            return []
        if isinstance(event, TimerFired):
            for one in self.forwarded.values():
                one.ack_deadline = float("inf")
        return step(self, now, event)

    ForwardingState.step = waiting  # type: ignore[method-assign]


VARIANTS = {"spread": lambda: None, "twice": twice, "no-shrink": no_shrink, "no-return": no_return}

if __name__ == "__main__":
    VARIANTS[sys.argv[1]]()
    replace_part(forward, "ForwardingService", Spread)  # the program imports it from there
    runpy.run_module("sablewheel", run_name="__main__")
