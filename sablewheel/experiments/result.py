"""What a trial found: checks, figures, and how they are told."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


@dataclass
class ExperimentResult:
    """Holds if every check does; a trial without a check holds nothing.

    A run in which a fault was not injected is void: it does not hold, and shows nothing.
    """

    trial: str
    checks: list[tuple[str, bool, str]] = field(default_factory=list)
    figures: dict[str, float | int | str] = field(default_factory=dict)
    not_injected: list[str] = field(default_factory=list)

    def check(self, promise: str, holds: bool, found: object = "") -> None:
        self.checks.append((promise, bool(holds), str(found)))

    def require(self, fault: str, took_place: bool) -> None:
        """Note whether an injected fault, or a part broken on purpose, took place."""
        if not took_place:
            self.not_injected.append(fault)

    @property
    def void(self) -> bool:
        return bool(self.not_injected)

    @property
    def holds(self) -> bool:
        return not self.void and bool(self.checks) and all(holds for _, holds, _ in self.checks)

    def line(self) -> str:
        """One line of JSON, the last that a trial prints."""
        return json.dumps(
            {"trial": self.trial, "holds": self.holds, "void": self.void, "figures": self.figures}
        )

    def table(self) -> str:
        rows = [
            f"  {'holds' if holds else 'BROKEN':7} {promise}: {found}"
            for promise, holds, found in self.checks
        ]
        rows += [f"  VOID    did not take place: {fault}" for fault in self.not_injected]
        rows += [f"  {name:34} {value}" for name, value in self.figures.items()]
        return "\n".join([f"trial {self.trial}", *rows])
