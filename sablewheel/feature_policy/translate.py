"""From a policy and the hardware classes to what each class runs: of greatest worth within what it has.

The one place that imports OR-tools (CP-SAT), one thread and a fixed seed; it takes seconds, so never in a
process that serves. What is worth most is a sum over classes, and classes only touch where a flow would have
none: so each class is solved by itself first, and all together only if that leaves a flow without one. What
the solver chooses is a fallback level for each flow and class; features and parameters follow as the least
that these take. `verify` checks the result without the solver.

When nothing holds, the error names a smallest set of lines that can't hold together: the solver's sufficient
assumptions, thinned line by line (deletion) until each that is left is needed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from ortools.sat.python import cp_model

from .host_capabilities import CATALOGUE, Catalogue, Feature, HostCapabilities
from .policy import Flow, Policy, Wants
from .translation import MAX_CLASSES, NOT_PLACED, ClassPlan, Translation

MAX_TOTAL_SOLVER_UNITS = (
    60.0  # of the solver's own deterministic units, about seconds, for all classes together
)
MIN_SOLVER_UNITS = 0.25  # for one of them; past its time the best that was found is taken
MAX_JOINT_PROBLEM_SIZE = 2000  # classes times flows that are solved all together
MAX_CANDIDATE_CLASSES = 4  # classes tried for a flow that has none, in larger fleets
MAX_EXACT_CORE_SIZE = (
    3  # lines up to which a smallest set is looked for by size; larger ones are only minimal
)

FOUND = (cp_model.OPTIMAL, cp_model.FEASIBLE)

Line = tuple[str, str]  # a flow's name, and `require.FEATURE` or `forbid.FEATURE`


@dataclass(frozen=True)
class Conflict:
    """One of the lines that can't hold together; `kind` is the class it is so on, or `any`."""

    file: str
    line: int
    flow: str
    kind: str
    key: str
    says: str = ""


class InfeasibleError(ValueError):
    """No translation keeps all that is required; a line for each conflict."""

    def __init__(self, conflicts: Sequence[Conflict]) -> None:
        self.conflicts = tuple(conflicts)
        super().__init__(
            "\n".join(
                f"{one.file}:{one.line}: flows.{one.flow}.{one.key}: class {one.kind}: {one.says}"
                for one in conflicts
            )
        )


class UndecidedError(RuntimeError):
    """The solver's time was up before it found anything."""


def translate(
    policy: Policy,
    abilities: Iterable[HostCapabilities],
    catalogue: Catalogue = CATALOGUE,
    base: Translation | None = None,
) -> Translation:
    """Return the translation for these classes.

    With `base`, of the same policy, its classes stay as they are and new ones join. Raises
    `InfeasibleError`, `UndecidedError`, or `ValueError` for too many classes.
    """
    kept = dict(base.classes) if base is not None else {}
    asked = sorted(set(abilities))
    classes = [one for one in asked if one not in kept]
    if len(classes) + len(kept) > MAX_CLASSES:
        kept = {one: plan for one, plan in kept.items() if one in asked}
    if not asked or len(classes) + len(kept) > MAX_CLASSES:
        raise ValueError(f"{len(classes) + len(kept)} classes; 1 to {MAX_CLASSES} are wanted")
    fallback_levels = {one: plan.fallback_levels for one, plan in kept.items()}
    most = max(MAX_TOTAL_SOLVER_UNITS / max(len(classes), 1), MIN_SOLVER_UNITS)
    fallback_levels |= {one: _solve(policy, [one], catalogue, most=most)[one] for one in classes}
    if bare := _bare(policy, fallback_levels):
        alone = [flow for flow in bare if not _anywhere(flow, asked, catalogue)]
        if alone:
            raise InfeasibleError(_why_alone(policy, alone, asked, catalogue))
        large = len(asked) * len(policy.flows) > MAX_JOINT_PROBLEM_SIZE
        mended = _mend(policy, {one: fallback_levels[one] for one in asked}, catalogue) if large else None
        try:
            fallback_levels = mended or _solve(policy, asked, catalogue, covered=range(len(policy.flows)))
        except InfeasibleError:
            raise InfeasibleError(_why_together(policy, asked, catalogue)) from None
    plans = {one: plan_of(policy, those, catalogue) for one, those in fallback_levels.items()}
    revision = base.revision + 1 if base is not None else 0
    return Translation(policy.number, revision, policy.digest, plans)


Rungs = dict[HostCapabilities, tuple[int, ...]]


def _bare(policy: Policy, fallback_levels: Rungs) -> list[Flow]:
    """Flows that no class serves."""
    return [
        flow
        for place, flow in enumerate(policy.flows)
        if all(those[place] == NOT_PLACED for those in fallback_levels.values())
    ]


def _mend(policy: Policy, fallback_levels: Rungs, catalogue: Catalogue) -> Rungs | None:
    """Put each flow that nobody serves on the class where that costs least, one after another.

    For large fleets; None if that comes to nothing. What stays is the best for each class with what was put
    on it, and no proof that another choice of classes would not be worth a little more: all together would
    take minutes.
    """
    fallback_levels, forced = dict(fallback_levels), dict[HostCapabilities, set[int]]()
    for _ in range(2 * len(policy.flows)):
        bare = _bare(policy, fallback_levels)
        if not bare:
            return fallback_levels
        flow, place = bare[0], policy.flows.index(bare[0])
        fit = [one for one in fallback_levels if not _fits(one, flow, _lines(flow), catalogue)]
        found: list[tuple[int, int, HostCapabilities, tuple[int, ...]]] = []
        for one in sorted(fit, key=lambda one: (len(forced.get(one, ())), one))[:MAX_CANDIDATE_CLASSES]:
            try:
                then = _solve(policy, [one], catalogue, {*forced.get(one, ()), place}, most=MIN_SOLVER_UNITS)[
                    one
                ]
            except (InfeasibleError, UndecidedError):
                continue
            left = len(_bare(policy, fallback_levels | {one: then}))
            found.append((left, _worth(policy, fallback_levels[one]) - _worth(policy, then), one, then))
        if not found or min(found)[0] >= len(bare):
            return None
        _, _, one, fallback_levels[one] = min(found)
        forced.setdefault(one, set()).add(place)
    return None


def _worth(policy: Policy, fallback_levels: Sequence[int]) -> int:
    return sum(
        _weight(flow, fallback_level)
        for flow, fallback_level in zip(policy.flows, fallback_levels, strict=True)
        if fallback_level != NOT_PLACED
    )


def plan_of(policy: Policy, fallback_levels: Sequence[int], catalogue: Catalogue) -> ClassPlan:
    """The least features and parameters that serve these flows on these fallback levels."""
    features: dict[str, dict[str, int]] = {}
    for flow, fallback_level in zip(policy.flows, fallback_levels, strict=True):
        if fallback_level != NOT_PLACED:
            _join(features, flow.wants(fallback_level), catalogue)
    return ClassPlan({name: features[name] for name in sorted(features)}, tuple(fallback_levels))


def _join(features: dict[str, dict[str, int]], wants: Wants, catalogue: Catalogue) -> None:
    for name, values in wants.items():
        mine = features.setdefault(name, {one.name: one.least for one in catalogue[name].parameters})
        for key, value in values.items():
            mine[key] = max(mine[key], value)
        _join(features, {other: {} for other in catalogue[name].needs if other not in features}, catalogue)


def _weight(flow: Flow, fallback_level: int) -> int:
    """What it earns there, by its load: who brings much goes first. Never 0, or it might go unserved."""
    return flow.earns(fallback_level) * max(1, round(flow.cores * 1000)) + 1


# -- the model


class _Class:
    """One class's part of a model, all of it literals.

    A feature, a parameter past each value that is wanted, a flow on a fallback level. But for the
    capacities it is a closure, whose linear relaxation is tight.
    """

    def __init__(
        self,
        model: cp_model.CpModel,
        one: HostCapabilities,
        catalogue: Catalogue,
        flows: Sequence[Flow],
        lines: Mapping[Line, cp_model.IntVar] | None = None,
    ) -> None:
        self.model, self.lines = model, lines
        self.one = one
        self.on: dict[str, cp_model.IntVar] = {}
        self.past: dict[tuple[str, str], dict[int, cp_model.IntVar]] = {}
        self._costs: list[list[cp_model.LinearExprT]] = [[], [], []]
        for name, values in sorted(_used(flows, catalogue).items()):
            self._add_feature(catalogue[name], values)
        for name, on in self.on.items():
            for other in catalogue[name].needs:
                model.add_implication(on, self.on[other])
            for other in catalogue[name].conflicts:
                if other in self.on:
                    model.add_bool_or([on.negated(), self.on[other].negated()])
        for total, room in zip(self._costs, one.room, strict=True):
            if total:
                model.add(sum(total) <= room)
        self.fallback_levels = [self._flow(flow) for flow in flows]

    def _add_feature(self, feature: Feature, values: Mapping[str, Iterable[int]]) -> None:
        """Add a feature's literals and what it costs, a literal for each value that is wanted."""
        on = self.on[feature.name] = self.model.new_bool_var(feature.name)
        if self.one.lacks(feature):
            self.model.add(on == 0)
        for total, cost in zip(self._costs, feature.cost({}), strict=True):
            total.append(cost * on)
        for parameter in feature.parameters:
            below, below_at = on, parameter.least
            past = self.past[feature.name, parameter.name] = {parameter.least: on}
            for value in sorted(values[parameter.name]):
                literal = past[value] = self.model.new_bool_var(f"{feature.name}.{parameter.name}>={value}")
                self.model.add_implication(literal, below)
                each = (parameter.memory, parameter.millicores, parameter.descriptors)
                for total, cost in zip(self._costs, each, strict=True):
                    total.append(cost * (value - below_at) * literal)
                below, below_at = literal, value

    def _flow(self, flow: Flow) -> list[cp_model.IntVar]:
        served = [
            self.model.new_bool_var(f"{flow.name}/{fallback_level}")
            for fallback_level in range(flow.no_fallback_level + 1)
        ]
        self.model.add_at_most_one(served)
        for fallback_level, here in enumerate(served):
            for name, values in flow.wants(fallback_level).items():
                unless = self._unless(here, (flow.name, f"require.{name}"))
                self.model.add_bool_or([*unless, self.on[name]])
                for key, value in values.items():
                    self.model.add_bool_or([*unless, self.past[name, key][value]])
            for name in flow.forbid:
                if name in self.on:
                    unless = self._unless(here, (flow.name, f"forbid.{name}"))
                    self.model.add_bool_or([*unless, self.on[name].negated()])
        return served

    def _unless(self, here: cp_model.IntVar, line: Line) -> list[cp_model.LiteralT]:
        """Not served so, or the line is not among those that are to hold."""
        if self.lines is None or line not in self.lines:
            return [here.negated()]
        return [here.negated(), self.lines[line].negated()]


def _used(flows: Sequence[Flow], catalogue: Catalogue) -> dict[str, dict[str, set[int]]]:
    """The features that flows want and those need, and of each parameter the values above the least."""
    used: dict[str, dict[str, set[int]]] = {}
    for wants in (
        flow.wants(fallback_level) for flow in flows for fallback_level in range(flow.no_fallback_level + 1)
    ):
        closure: dict[str, dict[str, int]] = {}
        _join(closure, wants, catalogue)
        for name, values in closure.items():
            for one in catalogue[name].parameters:
                those = used.setdefault(name, {}).setdefault(one.name, set())
                if values[one.name] > one.least:
                    those.add(values[one.name])
            used.setdefault(name, {})
    return used


def _solver(most: float = MAX_TOTAL_SOLVER_UNITS) -> cp_model.CpSolver:
    solver = cp_model.CpSolver()
    solver.parameters.num_workers = 1
    solver.parameters.random_seed = 1
    solver.parameters.linearization_level = 2
    solver.parameters.max_deterministic_time = most
    return solver


def _solve(
    policy: Policy,
    classes: Sequence[HostCapabilities],
    catalogue: Catalogue,
    forced: Iterable[int] = (),
    covered: Iterable[int] = (),
    most: float = MAX_TOTAL_SOLVER_UNITS,
) -> Rungs:
    """Return fallback levels by class.

    Each class serves the flows `forced`, and at least one those `covered`. Raises `InfeasibleError` without
    conflicts.
    """
    model = cp_model.CpModel()
    parts = [_Class(model, one, catalogue, policy.flows) for one in classes]
    for place in forced:
        for part in parts:
            model.add_bool_or(part.fallback_levels[place])
    for place in covered:
        model.add_bool_or([literal for part in parts for literal in part.fallback_levels[place]])
    model.maximize(
        sum(
            _weight(flow, fallback_level) * literal
            for part in parts
            for flow, literals in zip(policy.flows, part.fallback_levels, strict=True)
            for fallback_level, literal in enumerate(literals)
        )
    )
    solver = _solver(most)
    status: object = solver.solve(model)
    if status == cp_model.INFEASIBLE:
        raise InfeasibleError(())
    if status not in FOUND:
        raise UndecidedError(f"nothing found within {most:g} of the solver's units")
    return {
        part.one: tuple(
            next(
                (fallback_level for fallback_level, literal in enumerate(literals) if solver.value(literal)),
                NOT_PLACED,
            )
            for literals in part.fallback_levels
        )
        for part in parts
    }


# -- why nothing holds


def _lines(flow: Flow) -> list[Line]:
    wants = [(flow.name, f"require.{name}") for name in flow.require]
    return [*wants, *((flow.name, f"forbid.{name}") for name in flow.forbid)]


def _fits(one: HostCapabilities, flow: Flow, lines: Iterable[Line], catalogue: Catalogue) -> str:
    """Why a class can't serve a flow with these of its lines; empty if it can."""
    keys = {key for _, key in lines}
    wants: Wants = {name: values for name, values in flow.require.items() if f"require.{name}" in keys}
    features: dict[str, dict[str, int]] = {}
    _join(features, wants, catalogue)
    total = [0, 0, 0]
    for name, values in features.items():
        feature = catalogue[name]
        if why := one.lacks(feature):
            return f"{name}: {why}"
        for other in feature.conflicts:
            if other in features:
                return f"{name} can't run beside {other}"
        if name in flow.forbid and f"forbid.{name}" in keys:
            return f"{name} is needed and forbidden"
        total = [a + b for a, b in zip(total, feature.cost(values), strict=True)]
    for what, took, room in zip(("bytes", "millicores", "descriptors"), total, one.room, strict=True):
        if took > room:
            return f"features take {took} {what}, it has {room} for them"
    return ""


def _anywhere(flow: Flow, classes: Iterable[HostCapabilities], catalogue: Catalogue) -> bool:
    return any(not _fits(one, flow, _lines(flow), catalogue) for one in classes)


def _why_alone(
    policy: Policy, flows: Sequence[Flow], classes: Sequence[HostCapabilities], catalogue: Catalogue
) -> list[Conflict]:
    """For flows that no class can serve, of each class the smallest set of the flow's own lines."""
    found = []
    for flow in flows:
        for one in classes:

            def bad(lines: Sequence[Line], one: HostCapabilities = one, flow: Flow = flow) -> bool:
                return bool(_fits(one, flow, lines, catalogue))

            those = _smallest(_lines(flow), bad)
            says = _fits(one, flow, those, catalogue)
            found += [_conflict(policy, line, one.key, says) for line in those]
    return found


def _why_together(
    policy: Policy, classes: Sequence[HostCapabilities], catalogue: Catalogue
) -> list[Conflict]:
    """Each flow has a class by itself, and all of them have not."""
    every = [line for flow in policy.flows for line in _lines(flow)]

    def core(lines: Sequence[Line]) -> list[Line] | None:
        """Lines among these that can't hold together; None if they all can."""
        model = cp_model.CpModel()
        guards = {line: model.new_bool_var(".".join(line)) for line in every}
        named = {flow.name for flow in policy.flows if any(line[0] == flow.name for line in lines)}
        flows = [
            Flow(one.name, cores=one.cores, require=one.require, forbid=one.forbid, lines=one.lines)
            for one in policy.flows
            if one.name in named
        ]
        parts = [_Class(model, one, catalogue, flows, guards) for one in classes]
        for place in range(len(flows)):
            model.add_bool_or([literal for part in parts for literal in part.fallback_levels[place]])
        chosen = set(lines)
        model.add_assumptions([guards[line] for line in lines])
        for line in every:
            if line not in chosen:
                model.add(guards[line] == 0)
        solver = _solver()
        status: object = solver.solve(model)
        if status in FOUND:
            return None
        if status != cp_model.INFEASIBLE:
            raise UndecidedError(f"no smallest set within {MAX_TOTAL_SOLVER_UNITS:g} of the solver's units")
        numbers = {guards[line].index: line for line in lines}
        sufficient = [numbers[n] for n in solver.sufficient_assumptions_for_infeasibility() if n in numbers]
        return sufficient or list(lines)

    start = core(every)
    if start is None:  # each flow is placed here, though not by the model before: no line is at fault
        raise UndecidedError("two solutions contradict each other")
    those = _smallest(start, lambda lines: core(lines) is not None)
    return [_conflict(policy, line, "any", f"{len(those)} lines can't hold together") for line in those]


def _smallest(lines: Sequence[Line], bad: Callable[[Sequence[Line]], bool]) -> list[Line]:
    """Return a smallest set of lines that is bad, up to MAX_EXACT_CORE_SIZE lines.

    Past that one with none to spare.
    """
    left = list(lines)
    for line in list(left):
        fewer = [one for one in left if one != line]
        if fewer and bad(fewer):
            left = fewer
    if len(lines) <= 12:
        for size in range(1, min(MAX_EXACT_CORE_SIZE + 1, len(left))):
            for some in combinations(lines, size):
                if bad(some):
                    return list(some)
    return left


def _conflict(policy: Policy, line: Line, kind: str, says: str) -> Conflict:
    flow, key = line
    return Conflict(policy.file, policy.named(flow).lines.get(key, 0), flow, kind, key, says)
