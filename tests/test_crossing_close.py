"""What comes in the very moment in which a connection is shut or closed: each crossing is forced, none hoped for."""

from __future__ import annotations

from dataclasses import replace

import pytest
from test_routing import MACHINE
from world import MadeStream, Town, call, frame


def test_a_run_that_ends_in_the_round_of_the_sweep_is_answered_before_the_close() -> None:
    """Brink, seed 4101, roll+term: the answer was queued, not yet written, and its connection seemed idle."""
    town = Town(MACHINE)
    one = town.call(b"lookup")
    town.settle()
    town.server.farewell()
    town.settle()
    town.scheduler.clock.now += 2.0  # the router had its time to close after the farewell
    town.end(one.name)
    town.scheduler.run_ready()  # the answer is queued; the sweep's timer rings in this very round
    town.server._sweep()
    town.settle()
    assert [words[1] for words in one.answers] == [b"OK"]


def test_a_last_word_that_comes_with_the_end_of_a_run_does_not_take_its_answer_away() -> None:
    town = Town(MACHINE)
    one = town.call(b"lookup")
    town.settle()
    town.end(one.name)
    town.router.feed(b"")  # half a close, read in the round in which the answer is queued
    town.scheduler.run_ready()
    town.settle()
    assert [words[1] for words in one.answers] == [b"OK"]
