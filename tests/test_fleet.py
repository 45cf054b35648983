"""Membership between real processes on loopback, each connection through the fault relay."""

from __future__ import annotations

import json
import socket
import struct
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path

import pytest
from click.testing import CliRunner

from sablewheel.command.main import main
from sablewheel.experiments.fleet import PORT, Block, Fleet
from sablewheel.experiments.testbed import Testbed
from sablewheel.membership import codec
from sablewheel.membership.messages import Envelope, Message, Nack, StatusRequest
from sablewheel.program.feature_file import FaultyFeaturesError, read

AGREEMENT_TIMEOUT_S = 20.0
SHORT_PERIODS: dict[str, object] = {
    "period-s": 0.25,
    "probe-timeout-s": 0.1,
    "found-after-s": 1.0,
    "join-every-s": 0.3,
    "vote-timeout-s": 0.5,
    "sync-every-s": 1.0,
}


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    with Testbed(1) as testbed, closing(Block()) as block:
        started_fleet = Fleet(testbed, block.second, "ours", 0, 5, 1, keys=SHORT_PERIODS, shifted=True)
        for name in started_fleet.names:
            started_fleet.start(name)
        assert started_fleet.wait_agreed(started_fleet.names, AGREEMENT_TIMEOUT_S) is not None, (
            started_fleet.processes["m0"].tail()
        )
        yield started_fleet
        started_fleet.relay.close()


def epochs(fleet: Fleet) -> set[str]:
    return {line.pairs["epoch"] for line in fleet.view_log_lines() if line.event == "view"}


def test_a_killed_member_is_removed_and_rejoins_after_a_restart(fleet: Fleet) -> None:
    fleet.processes["m2"].kill()
    assert fleet.wait_agreed(["m0", "m1", "m3", "m4"], AGREEMENT_TIMEOUT_S) is not None
    fleet.start("m2")
    assert fleet.wait_agreed(fleet.names, AGREEMENT_TIMEOUT_S) is not None


def test_a_member_restarted_at_once_joins_with_a_new_incarnation(fleet: Fleet) -> None:
    incarnations_before = {state.name: state.incarnation for state in fleet.status("m0").states}  # type: ignore[union-attr]
    fleet.processes["m3"].kill()
    fleet.start("m3")
    deadline = time.monotonic() + AGREEMENT_TIMEOUT_S
    while time.monotonic() < deadline:
        status = fleet.status("m0")
        incarnations = (
            {state.name: state.incarnation for state in status.states} if status is not None else {}
        )
        if incarnations.get("m3", 0) > incarnations_before["m3"] and fleet.agreed(fleet.names):
            return
        time.sleep(0.1)
    pytest.fail(f"m3 is {incarnations.get('m3')}, was {incarnations_before['m3']}")


def test_a_member_paused_past_its_suspicion_is_removed_and_rejoins_by_itself(fleet: Fleet) -> None:
    fleet.stop("m4")
    try:
        assert fleet.wait_agreed(["m0", "m1", "m2", "m3"], AGREEMENT_TIMEOUT_S) is not None
    finally:
        fleet.go_on("m4")
    assert fleet.wait_agreed(fleet.names, AGREEMENT_TIMEOUT_S) is not None


def test_a_one_way_partition_changes_no_view(fleet: Fleet) -> None:
    epochs_before = epochs(fleet)
    fleet.relay.set(["m1"], ["m3"], cut=True)
    time.sleep(3.0)  # more than twice the duration of a suspicion
    fleet.relay.set(["m1"], ["m3"], cut=False)
    assert epochs(fleet) == epochs_before and fleet.agreed(fleet.names)


def test_a_partitioned_minority_changes_no_view(fleet: Fleet) -> None:
    minority, majority = ["m1", "m4"], ["m0", "m2", "m3"]
    view_before = fleet.status("m1").view  # type: ignore[union-attr]
    for senders, recipients in ((minority, majority), (majority, minority)):
        fleet.relay.set(senders, recipients, cut=True)
    assert fleet.wait_agreed(majority, AGREEMENT_TIMEOUT_S) is not None
    assert {fleet.status(name).view for name in minority} == {view_before}  # type: ignore[union-attr]
    for senders, recipients in ((minority, majority), (majority, minority)):
        fleet.relay.set(senders, recipients, cut=False)
    assert fleet.wait_agreed(fleet.names, AGREEMENT_TIMEOUT_S) is not None
    fingerprints_by_epoch: dict[str, set[str]] = {}
    for line in fleet.view_log_lines():
        if line.event == "view":
            fingerprints_by_epoch.setdefault(line.pairs["epoch"], set()).add(line.pairs["fingerprint"])
    assert all(len(fingerprints) == 1 for fingerprints in fingerprints_by_epoch.values())


def test_bad_packets_are_counted_and_dropped(fleet: Fleet) -> None:
    address = (fleet.host("m1"), PORT)
    valid_packet = codec.encode(Message(Envelope("stranger", 1), Nack(1)))
    bad_packets = [
        b"",
        b"\xff" * 40,
        valid_packet[:-1],
        valid_packet.replace(b"\x08\x01", b"\x08\x07", 1),
        codec.encode(Message(Envelope("stranger", 1), StatusRequest())),
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for packet in bad_packets:
            sender.sendto(packet, address)
    for frame in (struct.pack(">I", 1 << 31), struct.pack(">I", 5) + b"\xff" * 5, b"\0\0"):
        with socket.create_connection(address, 2.0) as connection:
            connection.sendall(frame)
    deadline, counters = time.monotonic() + AGREEMENT_TIMEOUT_S, Counter[str]()
    while time.monotonic() < deadline and (
        counters["packets_bad"] < len(bad_packets) + 2 or not counters["frames_cut"]
    ):
        status = fleet.status("m1")
        counters = Counter(dict(status.counters) if status is not None else {})
        time.sleep(0.05)
    assert counters["packets_bad"] == len(bad_packets) + 2 and counters["frames_cut"] >= 1
    assert "faults" not in counters and fleet.agreed(fleet.names)


def test_the_members_command_shows_the_view_of_a_running_server(fleet: Fleet) -> None:
    address = f"{fleet.host('m0')}:{PORT}"
    result = CliRunner().invoke(main, ["members", address])
    assert result.exit_code == 0 and all(f"\n{name} " in result.output for name in fleet.names)
    deadline, states = time.monotonic() + AGREEMENT_TIMEOUT_S, set[str]()
    while time.monotonic() < deadline and states != {
        "alive"
    }:  # a suspicion may be pending until it is refuted
        status = json.loads(CliRunner().invoke(main, ["members", address, "--json"]).output)
        states = {member["state"] for member in status["members"]}
    assert [member["name"] for member in status["members"]] == fleet.names
    assert states == {"alive"} and status["counts"]["views"] >= 1
    unreachable = CliRunner().invoke(main, ["members", f"{fleet.host('m0')}:9", "--within", "0.5"])
    assert unreachable.exit_code == 1 and "refused" in unreachable.output
    assert CliRunner().invoke(main, ["members", "nowhere"]).exit_code == 2


def test_a_leave_is_announced_and_not_detected(fleet: Fleet) -> None:
    started_at = time.time()
    assert fleet.processes["m4"].leave() == 0
    assert fleet.wait_agreed(["m0", "m1", "m2", "m3"], AGREEMENT_TIMEOUT_S) is not None
    removed_at = min(
        line.when
        for line in fleet.view_log_lines(started_at)
        if "remove:m4@" in line.pairs.get("changes", "")
    )
    assert removed_at - started_at < 1.0  # detection by a suspicion takes longer
    fleet.start("m4")
    assert fleet.wait_agreed(fleet.names, AGREEMENT_TIMEOUT_S) is not None


def test_a_restarted_fleet_founds_a_view_above_that_of_a_surviving_member(fleet: Fleet) -> None:
    survivor, rest = "m4", ["m0", "m1", "m2", "m3"]
    for name in rest:
        fleet.processes[name].kill()
    for name in rest:
        fleet.start(name)
    assert fleet.wait_agreed(fleet.names, AGREEMENT_TIMEOUT_S) is not None, fleet.processes[survivor].tail()


@pytest.mark.parametrize("hours", [1.0, -1.0, 0.0])
def test_setting_the_wall_clock_moves_no_timeout(fleet: Fleet, hours: float) -> None:
    epochs_before = epochs(fleet)
    fleet.testbed.shift(3600.0 * hours)
    time.sleep(2.0)  # longer than a suspicion lasts
    assert epochs(fleet) == epochs_before and fleet.agreed(fleet.names)


@pytest.mark.parametrize(
    ("section", "message"),
    [
        ("listen: 127.0.0.1:7700\n  seeds: []", "at least 1 item"),
        ("listen: 127.0.0.1:7700\n  seeds: [127.0.0.1:x]", "an IPv4 address and a port"),
        ("listen: 0.0.0.0:7700\n  seeds: [127.0.0.1:7700]", "advertise is needed"),
        ("listen: 127.0.0.1:7700\n  seeds: [127.0.0.1:7700]\n  high: 7", "high 7 is more than observers 5"),
        ("listen: 127.0.0.1:7700\n  seeds: [127.0.0.1:7700]\n  probe-timeout-s: 0.4", "at most half"),
        ("listen: 127.0.0.1:7700\n  seeds: [127.0.0.1:7700]\n  perod-s: 1", "period-s may be meant"),
    ],
)
def test_faults_of_the_section_are_reported_by_key(tmp_path: Path, section: str, message: str) -> None:
    file = tmp_path / "features.yaml"
    file.write_text(f"version: 1\nmembership:\n  {section}\n")
    with pytest.raises(FaultyFeaturesError, match=message):
        read(file)
