"""The app server in its operators' words: several real processes on loopback, faults that cross between them.

Moments are events (a report, a link, a farewell), not times; every wait is bounded.
"""

from __future__ import annotations

import contextlib
import json
import select
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from simulated_server import frame
from test_program import PATIENCE, SETTINGS, Engine, Peer, Place, wait_until

scenarios("servers.feature")

DEADLINE, STOP = 3.0, 3.0
SLACK = 0.4  # in the settings: a drain's last answers come so long before the stop
LAG = 0.3  # what a busy machine may hold up an answer by, the slack that a late one has by the rules included
SERVES, LEAVES = b"yes", b"no"
HEALTH = 1_000_000  # the tag of a health check


class Names:
    """Two name services: what servers report to either, in order."""

    def __init__(self) -> None:
        self.socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for sock in self.socks:
            sock.bind(("127.0.0.1", 0))
        self.addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in self.socks]

    def told(self, within: float = PATIENCE) -> tuple[int, str, bytes] | None:
        """To which, from whom and the word; None if nothing comes in that time."""
        ready = select.select(self.socks, [], [], within)[0]
        if not ready:
            return None
        _, name, word = ready[0].recv(64).split()
        return self.socks.index(ready[0]), name.decode(), word

    def waiting(self) -> list[tuple[int, str, bytes]]:
        return list(iter(lambda: self.told(0.0), None))


class Caller(Peer):
    """A router's connection: knows what it asked, and stamps whatever comes."""

    def __init__(self, place: Place) -> None:
        super().__init__(place.router().sock)
        self.place = place
        self.owed: dict[int, float] = {}
        self.came: list[tuple[float, int, bytes]] = []
        self.over = False
        threading.Thread(target=self._stamp, daemon=True).start()

    def _stamp(self) -> None:
        with contextlib.suppress(OSError):
            while data := self.sock.recv(65536):
                now = time.time()
                self.came += [(now, int(words[0]), words[1]) for words in self.parser.feed(data)]
        self.over = True

    def owe(self, idempotency_key: bytes = b"") -> bytes:
        """The bytes of a request that counts from now on."""
        tag = len(self.owed) + 1
        self.owed[tag] = time.time()
        return self.call(tag, b"record" if idempotency_key else b"lookup", idempotency_key)

    def words(self, tag: int) -> list[bytes]:
        return [word for _, number, word in self.came if number == tag]

    @property
    def done(self) -> bool:
        return self.over or all(self.words(tag) for tag in self.owed)

    @property
    def leaving(self) -> bool:
        return bool(self.words(0))


@dataclass
class Story:
    folder: Path
    names: Names = field(default_factory=Names)
    places: list[Place] = field(default_factory=list)
    running: list[subprocess.Popen[str]] = field(default_factory=list)
    callers: list[Caller] = field(default_factory=list)  # kept: a request's name is made of its caller
    engines: list[Engine] = field(default_factory=list)
    told: dict[int, float] = field(default_factory=dict)  # by place, when it was told to leave
    took: dict[int, float] = field(default_factory=dict)  # and how long it took to leave
    quiet: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)
    ready: dict[int, float] = field(default_factory=dict)  # by place, how long its restart took

    def fleet(self, size: int, up: bool = True, **changes: Any) -> None:
        settings = json.loads(json.dumps(SETTINGS))
        for request_class in settings["classes"]:
            request_class["deadline-s"] = DEADLINE
        settings["safety"]["answer-slack-s"] = SLACK
        told = {"naming": self.names.addresses[0], "stop_ms": round(1000 * STOP), "settings": settings}
        made = []
        for _ in range(size):
            name = f"n{len(self.places)}"
            (folder := self.folder / name).mkdir()
            made.append(Place(folder, name=name, **told, **changes))
            made[-1].engine.core.up = up
            self.places.append(made[-1])
        self.running += [place.start() for place in made]
        for place in made if up else []:
            place.ready().sock.close()

    def ask(self, place: Place, *idempotency_keys: bytes) -> Caller:
        """Requests on a connection of their own, an empty idempotency key for a lookup."""
        caller = Caller(place)
        self.callers.append(caller)
        with contextlib.suppress(OSError):  # it may be closed at once where there is no room
            caller.send(b"".join(caller.owe(idempotency_key) for idempotency_key in idempotency_keys))
        return caller

    def open_runs(self, place: Place) -> None:
        """A lookup, a record and its repeat, all under way."""
        place.engine.at_once = False
        self.ask(place, b"", b"ab")
        wait_until(lambda: len(place.engine.core.running) == 2)
        self.ask(place, b"ab")

    def signal(self, number: int, which: int) -> None:
        process, since = self.running[number], time.monotonic()
        process.send_signal(which)

        def time_its_end() -> None:
            process.wait()
            self.took[number] = time.monotonic() - since

        if which == signal.SIGTERM:
            self.told[number] = since
            threading.Thread(target=time_its_end, daemon=True).start()

    def leave(self, *numbers: int) -> None:
        """Told to leave, and have all said so; what was said up to then is forgotten."""
        self.names.waiting()
        for number in numbers:
            self.signal(number, signal.SIGTERM)
        left, until = {f"n{number}" for number in numbers}, time.monotonic() + PATIENCE
        while left:
            told = self.names.told()
            assert told is not None and time.monotonic() < until, f"never said that they leave: {left}"
            left -= {told[1]} if told[2] == LEAVES else set()

    def reload(self, number: int, move: bool = True) -> None:
        """Another name service, and, if the interpreter moves, the same one behind another address."""
        place = self.places[number]
        place.told["naming"] = self.names.addresses[1]
        if move:
            old, place.engine = place.engine, Engine(place.engine.core)
            place.engine.at_once = old.at_once
            self.engines.append(old)
            place.told["vm"] = f"127.0.0.1:{place.engine.door.getsockname()[1]}"
        place.file.write_text(json.dumps(place.told))
        self.signal(number, signal.SIGHUP)
        if move:
            wait_until(lambda: place.engine.link is not None)

    def serves(self, place: Place) -> bool:
        """Whether a request on a connection of its own is completed."""
        place.engine.at_once = True
        caller = self.ask(place, b"")
        wait_until(lambda: caller.done)
        return caller.words(1) == [b"OK"]

    def end(self) -> None:
        self.quiet.set()
        for thread in self.threads:
            thread.join(PATIENCE)
        for place in self.places:
            place.end()
        for engine in self.engines:
            engine.door.close()
            engine.cut()
        for caller in self.callers:
            with contextlib.suppress(OSError):
                caller.sock.shutdown(socket.SHUT_RDWR)  # its thread is waiting there
            caller.sock.close()
        for sock in self.names.socks:
            sock.close()


@pytest.fixture
def story(tmp_path: Path) -> Iterator[Story]:
    story = Story(tmp_path)
    yield story
    story.end()


def greet(engine: Engine) -> None:
    """The interpreter is up now, for the link that waits for it."""
    wait_until(lambda: engine.link is not None)
    engine.core.up = True
    assert engine.link is not None
    engine.link.sendall(engine.core.feed(b"CONNECT 0\r\n"))


@given(parsers.re(r"a fleet of (?P<size>\d+) servers(?P<kind>.*)"))
def fleet(story: Story, size: str, kind: str) -> None:
    if kind == ", the first never greeted":
        story.fleet(1, up=False)
    story.fleet(int(size) - len(story.places), up=kind != " whose interpreters are not up")
    for place in story.places:
        if kind == " with runs under way":
            story.open_runs(place)
        if kind == " with routers that go on asking":
            # From its restart on each reports to a name service of its own.
            place.told["naming"] = f"127.0.0.1:{place.names.getsockname()[1]}"
            story.threads.append(threading.Thread(target=go_on_asking, args=(story, place)))
            story.threads[-1].start()


@then("every request has just one answer, by its deadline")
def one_answer(story: Story) -> None:
    wait_until(lambda: all(caller.done for caller in story.callers))
    for caller in story.callers:
        with contextlib.suppress(OSError):  # it may be closed already
            caller.sock.shutdown(socket.SHUT_WR)
    wait_until(lambda: all(caller.over for caller in story.callers))
    for caller in story.callers:
        for tag, since in caller.owed.items():
            came = [(at - since, word) for at, number, word in caller.came if number == tag]
            told = caller.place.told["name"], tag, came
            assert len(came) == 1 and came[0][1] in (b"OK", b"BUSY", b"FAILED"), told
            assert came[0][0] <= DEADLINE + LAG, told


@then("all that were told to leave did so with code 0 before their stop")
def left_in_order(story: Story, within: float = STOP) -> None:
    assert story.told
    for number in story.told:
        _, text = story.running[number].communicate(timeout=PATIENCE)
        assert story.running[number].returncode == 0 and "Traceback" not in text and "by a fault" not in text
        wait_until(lambda number=number: number in story.took)  # type: ignore[misc]
        assert story.took[number] <= within, story.took


@then("all leave with code 0 when told to")
def all_leave(story: Story) -> None:
    """Keyed runs without an end are waited for up to 30 ms before the stop: too near it to time here."""
    for number in range(len(story.places)):
        story.signal(number, signal.SIGTERM)
    left_in_order(story, STOP + LAG)


# -- a reload and a drain


@when(parsers.re("there is (?P<crossing>a reload|a drain)(?P<when>.*) on each"))
def crossing(story: Story, crossing: str, when: str) -> None:
    if crossing == "a reload":
        story.leave(0, 1, 2)
    if when == " past the grace of a drain":
        wait_until(lambda: all(caller.leaving for caller in story.callers))
    for number, place in enumerate(story.places):
        place.engine.core.up = crossing == "a reload"  # else it greets nobody from here on
        story.reload(number)
        first = story.callers[2 * number]
        first.send(first.owe())
    if crossing == "a drain":
        story.leave(0, 1, 2)
        for place in story.places:
            greet(place.engine)


@when(parsers.parse("the {which} runs end"))
def runs_end(story: Story, which: str = "open") -> None:
    """A lookup that never ends is stopped by the drain; a keyed run would be waited for up to the stop."""
    for place in story.places:
        assert place.engine.core.running
        place.engine.at_once = which == "open"
        for name, (request_class, _) in list(place.engine.core.running.items()):
            if which == "open" or request_class == b"record":
                with contextlib.suppress(KeyError):  # it was ended behind what was just read
                    place.engine.end(name)


@then(parsers.parse("the lookups that ran are {answered}, the records completed"))
def ran(story: Story, answered: str) -> None:
    firsts, repeats = story.callers[::2], story.callers[1::2]
    assert {one.words(1)[0] for one in firsts} == {{"completed": b"OK", "failed": b"FAILED"}[answered]}
    assert {one.words(2)[0] for one in firsts} == {one.words(1)[0] for one in repeats} == {b"OK"}


@then("none of them said to any name service that it serves")
def none_serves(story: Story) -> None:
    assert not [one for one in story.names.waiting() if one[2] == SERVES]  # after `leave` had its word


# -- restarts


def go_on_asking(story: Story, place: Place) -> None:
    """A router: one request at a time, on a connection till it is told farewell or broken off."""
    while not story.quiet.is_set():
        caller = story.ask(place)
        with contextlib.suppress(OSError):
            while not (story.quiet.is_set() or caller.leaving or caller.over):
                caller.send(caller.owe())
                wait_until(lambda: caller.done)  # noqa: B023  called before the next
                story.quiet.wait(0.03)
            caller.sock.shutdown(socket.SHUT_WR)


def kill_in_its_start(place: Place, moment: int) -> None:
    link, place.engine.at_once = place.engine.link, moment != 4
    starting = place.start()
    match moment:  # 0: not even the program is loaded
        case 1:
            place.router().sock.close()
        case 2:
            wait_until(lambda: place.engine.link is not link)
        case 3:
            place.names.recv(64)
        case 4:
            wait_until(lambda: place.engine.core.running)
    starting.kill()
    starting.wait(PATIENCE)
    place.engine.at_once = True


def restart(story: Story, number: int) -> None:
    place, old, killed = story.places[number], story.running[number], number % 2 == 1
    old.send_signal(signal.SIGTERM)
    if killed:
        old.wait(PATIENCE)
    begun = time.time()
    if killed:
        kill_in_its_start(place, number // 2 % 5)
    story.running[number] = place.start()  # the other half finds its door still held by the one that leaves
    assert old.wait(PATIENCE) == 0
    since = time.time()

    def served() -> list[float]:
        mine = [one for one in story.callers if one.place is place]
        return [at for one in mine for at, tag, word in one.came if word == b"OK" and one.owed[tag] > since]

    wait_until(served)
    story.ready[number] = min(served()) - begun


@when("all start anew, each second one killed as it starts and started once more")
def restart_all(story: Story) -> None:
    restarts = [threading.Thread(target=restart, args=(story, number)) for number in range(len(story.places))]
    for thread in restarts:
        thread.start()
    for thread in restarts:
        thread.join(2 * PATIENCE)
    story.quiet.set()
    for thread in story.threads:
        thread.join(PATIENCE)


@then(parsers.parse("{some:d} of {all_:d} serve within {span:d} seconds, and all in the end"))
def most_serve(story: Story, some: int, all_: int, span: int) -> None:
    assert len(story.ready) == len(story.places), f"only {sorted(story.ready)} ever served"
    in_time = sum(took <= span for took in story.ready.values())
    assert in_time * all_ >= some * len(story.places), story.ready


@then("every request to those that left in order has just one answer, none has two")
def none_missed(story: Story) -> None:
    killed = [one for one in story.callers if story.places.index(one.place) % 2 == 1]
    assert all(len(one.words(tag)) <= 1 for one in killed for tag in one.owed)
    story.callers = [one for one in story.callers if one not in killed]
    one_answer(story)


# -- who says that it serves


@when("requests come and the interpreters greet later")
def greet_late(story: Story) -> None:
    for place in story.places:
        story.ask(place, b"", b"ab")
        assert place.router().ask(HEALTH, frame(b"RPC.HEALTH", b"%d" % HEALTH, b""))[1] == b"DOWN"
    said = [story.names.told() for _ in range(9)] + story.names.waiting()
    assert {one[1:] for one in said if one} == {(f"n{number}", LEAVES) for number in range(3)}
    for place in story.places:
        greet(place.engine)


@when("all links to the interpreters are lost, are not greeted for a while and come back")
def links_lost(story: Story) -> None:
    for number, place in enumerate(story.places):
        core, old, first = place.engine.core, place.engine.link, story.callers[2 * number]
        core.up = False
        place.engine.cut()
        wait_until(lambda place=place, old=old: place.engine.link is not old)  # type: ignore[misc]
        first.send(first.owe())
        core.end(next(iter(core.running)))  # nobody is told yet
    time.sleep(0.6)  # some reports and questions for gauges long
    for place in story.places:
        greet(place.engine)
    runs_end(story)


@when("one is told of another name service as a second begins to leave and a third is told of it and leaves")
def names_move(story: Story) -> None:
    story.names.waiting()
    story.signal(1, signal.SIGTERM)
    story.reload(0, move=False)
    story.reload(2, move=False)
    story.signal(2, signal.SIGTERM)
    runs_end(story)


@then("the first says there within 3 seconds that it serves, and the others nowhere once they left")
def first_says(story: Story) -> None:
    said: list[tuple[int, str, bytes]] = []
    while (1, "n0", SERVES) not in said:
        told = story.names.told()
        assert told is not None and time.monotonic() - story.told[1] <= 3.0, said
        said.append(told)
    for number in (1, 2):
        wait_until(lambda number=number: number in story.took)  # type: ignore[misc]
    said += story.names.waiting()
    for there, name in ((0, "n1"), (1, "n2")):
        words = [word for where, who, word in said if (where, who) == (there, name)]
        assert LEAVES in words and SERVES not in words[words.index(LEAVES) :]
    assert not [one for one in said if one[1:] == ("n0", LEAVES) or one[:2] == (1, "n1")]


@then("each that says that it serves does")
def each_serves(story: Story) -> None:
    """Three times, from reports that come after what happened."""
    story.names.waiting()
    left = {f"n{number}": 3 for number in range(len(story.places)) if number not in story.told}
    until = time.monotonic() + PATIENCE
    while any(left.values()):
        told = story.names.told()
        assert told is not None and time.monotonic() < until, left
        if told[2] == SERVES:
            assert story.serves(story.places[int(told[1][1:])]), told
            left[told[1]] = max(left[told[1]] - 1, 0)


@when("the interpreter of the first is gone and a request was there for its whole deadline")
def interpreter_gone(story: Story) -> None:
    gone = story.places[0]
    gone.engine.door.close()
    gone.engine.cut()
    caller = story.ask(gone, b"")
    wait_until(lambda: caller.done)


@then("who says from then on that it serves does")
def who_says_serves(story: Story) -> None:
    """Whoever says no, or nothing, is off the list and asked by nobody."""
    story.names.waiting()
    said: list[tuple[int, str, bytes]] = []
    while said.count((0, "n1", SERVES)) < 4:
        told = story.names.told()
        assert told is not None and len(said) < 100, said
        said.append(told)
    for place in story.places:
        if (0, place.told["name"], SERVES) in said:
            assert story.serves(place), (place.told["name"], story.callers[-1].came)


# -- requests in parts


def begun(story: Story, place: Place, sizes: range) -> list[tuple[Caller, bytes]]:
    """Connections that were taken, so many bytes of a request written on each, and what is to follow."""
    callers = [story.ask(place) for _ in sizes]
    for caller in callers:
        caller.send(frame(b"RPC.HEALTH", b"%d" % HEALTH, b""))
    wait_until(lambda: all(caller.words(HEALTH) for caller in callers))
    parts = []
    for caller, size in zip(callers, sizes, strict=True):
        whole = caller.owe(b"%d" % size if size % 2 else b"")
        caller.send(whole[:size])
        parts.append((caller, whole[size:]))
    return parts


@when("requests come cut at each byte on both, the one leaving and the other reloading between the parts")
def cut_at_each_byte(story: Story) -> None:
    size = len(Peer(socket.socket()).call(1))
    leaving, staying = (begun(story, place, range(1, size)) for place in story.places)
    story.reload(1)
    for caller, rest in staying:
        caller.send(rest)
    story.leave(0)
    for caller, rest in leaving[::2]:
        caller.send(rest)
    wait_until(lambda: all(caller.leaving for caller, _ in leaving))
    for caller, rest in leaving[1::2]:  # past the grace, after the farewell
        caller.send(rest)


@when("requests come byte by byte on both, the one leaving and the other reloading between the parts")
def byte_by_byte(story: Story) -> None:
    parts = [part for place in story.places for part in begun(story, place, range(1, 181, 9))]
    pace = time.monotonic() + 1.2  # a frame that takes 2 s is ended: on a slow machine the rest goes quicker
    for at in range(max(len(rest) for _, rest in parts)):
        if at == 20:
            story.signal(0, signal.SIGTERM)
            story.reload(1)
        for caller, rest in parts:
            caller.send(rest[at : at + 1])
        time.sleep(0.004 if time.monotonic() < pace else 0.0)
    wait_until(lambda: all(caller.done for caller in story.callers))
    assert {one.words(1)[0] for one in story.callers if one.place is story.places[1]} == {b"OK"}


# -- idle clients


@given("servers with 28 and 64 descriptors")
def narrow(story: Story) -> None:
    for sockets in (28, 64):
        story.fleet(1, limits={"sockets": sockets, "memory_mb": 32})


@when("the name service is down and more idle clients than there is room for come back whenever closed")
def idle_clients(story: Story) -> None:
    story.names.socks.pop(0).close()
    # Newcomers stand in line behind them: at 28 descriptors two places are made free each 0.1 s.
    places = [story.places[0]] * 40 + [story.places[1]] * 80
    idle = [place.router().sock for place in places]

    def crowd() -> None:
        while not story.quiet.wait(0.01):
            for number, sock in enumerate(idle):
                with contextlib.suppress(ConnectionError):
                    try:
                        if sock.recv(4096, socket.MSG_DONTWAIT):
                            continue
                    except BlockingIOError:
                        continue
                sock.close()
                idle[number] = places[number].router().sock
                if number % 2:
                    with contextlib.suppress(OSError):
                        idle[number].sendall(frame(b"RPC.HEALTH", b"1", b""))
        for sock in idle:
            sock.close()

    story.threads.append(threading.Thread(target=crowd))
    story.threads[-1].start()


@then(parsers.parse("each of {many:d} requests on each server is completed by its deadline"))
def each_completed(story: Story, many: int) -> None:
    for place in story.places:
        for _ in range(many):
            since, completed = time.time(), False
            while not completed:  # a router asks again where its connection ends without an answer
                caller = story.ask(place, b"")
                wait_until(lambda: caller.done)  # noqa: B023  called before the next
                completed = caller.words(1) == [b"OK"]
                assert (completed or not caller.words(1)) and time.time() - since <= DEADLINE, caller.came
            caller.sock.shutdown(socket.SHUT_WR)


@then("once the name service is back, each that says that it serves does")
def names_back(story: Story) -> None:
    host, port = story.names.addresses[0].split(":")
    story.names.socks.insert(0, socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    story.names.socks[0].bind((host, int(port)))
    each_serves(story)


# -- deadlines


@when("the runs of one never end, one loses its link for good and one moves to a mute address")
def interpreters_fail(story: Story) -> None:
    for place in story.places[1:]:
        story.open_runs(place)
    for place in story.places[2:]:
        place.engine.core.up = False
    story.places[2].engine.cut()
    story.reload(3)
    for place in story.places:
        story.ask(place, b"", b"cd")
