"""The result of a trial: its checks and figures, and their printed form."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


@dataclass
class ExperimentResult:
    """Checks and figures of one trial, which holds if it has at least one check and every check holds.

    A run in which a fault was not injected is void: it does not hold, and proves nothing.
    """

    trial: str
    checks: list[tuple[str, bool, str]] = field(default_factory=list)
    figures: dict[str, float | int | str] = field(default_factory=dict)
    not_injected: list[str] = field(default_factory=list)

    def check(self, promise: str, holds: bool, measured: object = "") -> None:
        self.checks.append((promise, bool(holds), str(measured)))

    def require(self, fault: str, took_effect: bool) -> None:
        """Record whether an injected fault, or a deliberately faulty part, took effect."""
        if not took_effect:
            self.not_injected.append(fault)

    @property
    def void(self) -> bool:
        return bool(self.not_injected)

    @property
    def holds(self) -> bool:
        return not self.void and bool(self.checks) and all(holds for _, holds, _ in self.checks)

    def line(self) -> str:
        """Return the last line that a trial prints, as JSON."""
        return json.dumps(
            {"trial": self.trial, "holds": self.holds, "void": self.void, "figures": self.figures}
        )

    def table(self) -> str:
        rows = [
            f"  {'holds' if holds else 'BROKEN':7} {promise}: {measured}"
            for promise, holds, measured in self.checks
        ]
        rows += [f"  VOID    did not take place: {fault}" for fault in self.not_injected]
        rows += [f"  {name:34} {value}" for name, value in self.figures.items()]
        return "\n".join([f"trial {self.trial}", *rows])
