"""No bound below 1,024 on any list of servers or clients, each tried at its border."""

from __future__ import annotations

import tracemalloc

from test_routing import MACHINE
from world import Town

from sablewheel.protocol import resp
from sablewheel.routing.server import ROUTERS_TIMES
from sablewheel.terms import Router

LEAST = 1024  # the operators' own bound
ENTRY_BYTES = 256  # a router remembered: its object, its number and its place in the table


def heard(town: Town, number: int) -> Router:
    asked = resp.Asked(
        tag=1, name=b"a", track=b"lookup", router=b"%d" % number, customer=b"acme", since=town.now, kb=10.0,
        label=None, subject=None, body=b"", until=None, again=False, estimate=None,
    )  # fmt: skip
    return town.server.ticket(asked).router


def test_1024_routers_are_remembered_whatever_the_settings_tell_and_an_entry_is_small() -> None:
    town = Town(MACHINE)
    empty = len(town.server._routers)
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        first = [heard(town, 10**18 + place) for place in range(LEAST - empty)]
        took = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert took < LEAST * ENTRY_BYTES, took
    assert heard(town, 10**18) is first[0]  # the table is full to the border and nobody had to go
    assert heard(town, 7) is not first[0] and heard(town, 10**18) is first[0]
    assert heard(town, 10**18 + 1) is not first[1]  # one past the border: who was heard longest ago went
    assert len(town.server._routers) == LEAST


def test_more_routers_are_remembered_where_the_settings_or_the_descriptors_allow_more() -> None:
    town = Town(MACHINE)
    town.server.expect(3000)
    first = heard(town, 1)
    for number in range(2, ROUTERS_TIMES * 3000 + 1):
        heard(town, number)
    assert heard(town, 1) is first and len(town.server._routers) == ROUTERS_TIMES * 3000
    town.server.expect(1)  # a new configuration tells of one
    heard(town, 1)
    assert len(town.server._routers) == LEAST
    town.server._connections_most = 1500
    town.server.expect(1)
    for number in range(2, 2000):
        heard(town, number)
    assert len(town.server._routers) == 1500
