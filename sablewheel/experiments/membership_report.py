"""The report of membership's runs by size: one SVG that opens anywhere, from the figures of the trial's line.

python -m sablewheel.experiments.membership_report LINE.json REPORT.svg
"""

from __future__ import annotations

import json
import math
import sys
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt

NAMES = ("messages_a_member_a_second", "rumour_rounds", "out_s")


def by_size(figures: dict[str, float]) -> dict[int, dict[str, float]]:
    """The trial's figures by the number of members that their names begin with."""
    found: dict[int, dict[str, float]] = {}
    for key, value in figures.items():
        size, _, name = key.partition("_")
        if size.isdigit():
            found.setdefault(int(size), {})[name] = float(value)
    return dict(sorted(found.items()))


def draw(figures: dict[str, float], file: Path) -> None:
    found = by_size(figures)
    sizes = list(found)
    plt.rcParams["svg.hashsalt"] = "sablewheel"  # the same figures give the same bytes
    figure, places = plt.subplots(1, 3, figsize=(12, 3.6), layout="constrained")
    rumour, load, out = places
    rumour.plot(sizes, [one["rumour_rounds"] for one in found.values()], "o-", label="to 99% of the members")
    rumour.plot(sizes, [math.log2(n) for n in sizes], ":", label="log2 n")
    rumour.set(title="a rumour, rounds", xscale="log", xlabel="members", ylim=(0, None))
    rumour.legend()
    load.plot(sizes, [one["messages_a_member_a_second"] for one in found.values()], "o-")
    load.set(title="messages a member a second, calm", xscale="log", xlabel="members", ylim=(0, None))
    out.plot(sizes, [one["out_s"] for one in found.values()], "o-")
    out.set(title="a dead member out of 99% of the views, s", xscale="log", xlabel="members", ylim=(0, None))
    removed = ", ".join(f"{n}: {one['healthy_removed']:.0f}" for n, one in found.items())
    figure.suptitle(f"1% of messages lost, 1% of members paused for 1.5 s; healthy ones taken out: {removed}")
    figure.savefig(file, metadata={"Date": None})
    plt.close(figure)


if __name__ == "__main__":
    draw(json.loads(Path(sys.argv[1]).read_text())["figures"], Path(sys.argv[2]))
