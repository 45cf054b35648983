"""Draws the results of the membership-size trial by fleet size as an SVG file.

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
    """Group the figures of the trial by the number of members with which their names begin."""
    by_member_count: dict[int, dict[str, float]] = {}
    for key, value in figures.items():
        size, _, name = key.partition("_")
        if size.isdigit():
            by_member_count.setdefault(int(size), {})[name] = float(value)
    return dict(sorted(by_member_count.items()))


def draw(figures: dict[str, float], file: Path) -> None:
    by_member_count = by_size(figures)
    sizes = list(by_member_count)
    plt.rcParams["svg.hashsalt"] = "sablewheel"  # makes the file identical for equal figures
    figure, axes = plt.subplots(1, 3, figsize=(12, 3.6), layout="constrained")
    spread_axes, load_axes, removal_axes = axes
    spread_axes.plot(
        sizes,
        [values["rumour_rounds"] for values in by_member_count.values()],
        "o-",
        label="to 99% of the members",
    )
    spread_axes.plot(sizes, [math.log2(n) for n in sizes], ":", label="log2 n")
    spread_axes.set(title="spread of an update, rounds", xscale="log", xlabel="members", ylim=(0, None))
    spread_axes.legend()
    load_axes.plot(sizes, [values["messages_a_member_a_second"] for values in by_member_count.values()], "o-")
    load_axes.set(
        title="messages per member and second, no faults", xscale="log", xlabel="members", ylim=(0, None)
    )
    removal_axes.plot(sizes, [values["out_s"] for values in by_member_count.values()], "o-")
    removal_axes.set(
        title="dead member removed from 99% of the views, s", xscale="log", xlabel="members", ylim=(0, None)
    )
    removed = ", ".join(f"{n}: {values['healthy_removed']:.0f}" for n, values in by_member_count.items())
    figure.suptitle(
        f"1% of messages lost, 1% of members paused for 1.5 s; healthy members removed: {removed}"
    )
    figure.savefig(file, metadata={"Date": None})
    plt.close(figure)


if __name__ == "__main__":
    draw(json.loads(Path(sys.argv[1]).read_text())["figures"], Path(sys.argv[2]))
