"""From a policy and the hardware classes to what each class runs: of greatest worth within what it has.

The one place that imports OR-tools (CP-SAT), one thread and a fixed seed; it takes seconds, so never in a
process that serves. What is worth most is a sum over classes, and classes only touch where a flow would have
none: so each class is solved by itself first, and all together only if that leaves a flow without one. What
the solver chooses is a rung for each flow and class; features and parameters follow as the least that these
take. `verify` checks the result without the solver.

When nothing holds, the error names a smallest set of lines that can't hold together: the solver's sufficient
assumptions, thinned line by line (deletion) until each that is left is needed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from ortools.sat.python import cp_model

from .ability import CATALOGUE, Ability, Catalogue
from .document import Flow, Policy, Wants
from .translation import CLASSES_MOST, NOT_PLACED, ClassPlan, Translation

TIME_MOST = 60.0  # of the solver's own deterministic units, about seconds; past it the best found is taken
SMALLEST_TRIED = 3  # lines up to which a smallest set is looked for by size; larger ones are only minimal

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
    abilities: Iterable[Ability],
    catalogue: Catalogue = CATALOGUE,
    base: Translation | None = None,
) -> Translation:
    """The translation for these classes; raises `InfeasibleError`, `UndecidedError`, or `ValueError` for too
    many classes. With `base`, of the same policy, its classes stay as they are and new ones join."""
    kept = dict(base.classes) if base is not None else {}
    asked = sorted(set(abilities))
    classes = [one for one in asked if one not in kept]
    if len(classes) + len(kept) > CLASSES_MOST:
        kept = {one: plan for one, plan in kept.items() if one in asked}
    if not asked or len(classes) + len(kept) > CLASSES_MOST:
        raise ValueError(f"{len(classes) + len(kept)} classes; 1 to {CLASSES_MOST} are wanted")
    chosen = {one: _solve(policy, [one], catalogue, ())[one] for one in classes}
    rungs = {one: plan.rungs for one, plan in kept.items()} | chosen
    bare = [
        flow
        for place, flow in enumerate(policy.flows)
        if all(those[place] == NOT_PLACED for those in rungs.values())
    ]
    if bare:
        alone = [flow for flow in bare if not _anywhere(flow, asked, catalogue)]
        if alone:
            raise InfeasibleError(_why_alone(policy, alone, asked, catalogue))
        try:
            rungs = _solve(policy, asked, catalogue, range(len(policy.flows)))
        except InfeasibleError:
            raise InfeasibleError(_why_together(policy, asked, catalogue)) from None
    plans = {one: plan_of(policy, those, catalogue) for one, those in rungs.items()}
    revision = base.revision + 1 if base is not None else 0
    return Translation(policy.number, revision, policy.digest, plans)


def plan_of(policy: Policy, rungs: Sequence[int], catalogue: Catalogue) -> ClassPlan:
    """The least features and parameters that serve these flows on these rungs."""
    features: dict[str, dict[str, int]] = {}
    for flow, rung in zip(policy.flows, rungs, strict=True):
        if rung != NOT_PLACED:
            _join(features, flow.wants(rung), catalogue)
    return ClassPlan({name: features[name] for name in sorted(features)}, tuple(rungs))


def _join(features: dict[str, dict[str, int]], wants: Wants, catalogue: Catalogue) -> None:
    for name, values in wants.items():
        mine = features.setdefault(name, {one.name: one.least for one in catalogue[name].parameters})
        for key, value in values.items():
            mine[key] = max(mine[key], value)
        _join(features, {other: {} for other in catalogue[name].needs if other not in features}, catalogue)


def _weight(flow: Flow, rung: int) -> int:
    """What it earns there, by its load: who brings much goes first. Never 0, or it might go unserved."""
    return flow.earns(rung) * max(1, round(flow.cores * 1000)) + 1


# -- the model


class _Class:
    """One class's part of a model: literals of features, of flows' rungs, and units of parameters."""

    def __init__(
        self,
        model: cp_model.CpModel,
        one: Ability,
        catalogue: Catalogue,
        flows: Sequence[Flow],
        lines: Mapping[Line, cp_model.IntVar] | None = None,
    ) -> None:
        self.model, self.one, self.lines = model, one, lines
        # Names that no flow says and no wanted feature needs would only make the model larger.
        used: dict[str, dict[str, int]] = {}
        for flow in flows:
            for rung in range(flow.bottom + 1):
                _join(used, flow.wants(rung), catalogue)
        self.on: dict[str, cp_model.IntVar] = {}
        self.units: dict[tuple[str, str], cp_model.IntVar] = {}
        self.least: dict[tuple[str, str], int] = {}
        costs: list[list[cp_model.LinearExprT]] = [[], [], []]
        for name in sorted(used):
            feature = catalogue[name]
            on = self.on[name] = model.new_bool_var(name)
            if one.lacks(feature):
                model.add(on == 0)
            for total, cost in zip(costs, feature.cost({}), strict=True):
                total.append(cost * on)
            for parameter in feature.parameters:
                self.least[name, parameter.name] = parameter.least
                most = used[name][parameter.name] - parameter.least
                if most <= 0:
                    continue
                units = self.units[name, parameter.name] = model.new_int_var(0, most, parameter.name)
                each = (parameter.memory, parameter.millicores, parameter.descriptors)
                for total, cost in zip(costs, each, strict=True):
                    total.append(cost * units)
        for name, on in self.on.items():
            for other in catalogue[name].needs:
                model.add_implication(on, self.on[other])
            for other in catalogue[name].conflicts:
                if other in self.on:
                    model.add_bool_or([on.negated(), self.on[other].negated()])
        for total, room in zip(costs, one.room, strict=True):
            if total:
                model.add(sum(total) <= room)
        self.rungs = [self._flow(flow) for flow in flows]

    def _flow(self, flow: Flow) -> list[cp_model.IntVar]:
        served = [self.model.new_bool_var(f"{flow.name}/{rung}") for rung in range(flow.bottom + 1)]
        self.model.add_at_most_one(served)
        for rung, here in enumerate(served):
            for name, values in flow.wants(rung).items():
                line = (flow.name, f"require.{name}")
                when = [here]
                if self.lines is not None and line in self.lines:
                    when.append(self.lines[line])
                self.model.add(self.on[name] == 1).only_enforce_if(when)
                for key, value in values.items():
                    over = value - self.least[name, key]
                    if over > 0:
                        self.model.add(self.units[name, key] >= over).only_enforce_if(when)
            for name in flow.forbid:
                if name in self.on:
                    when = [here]
                    if self.lines is not None:
                        when.append(self.lines[flow.name, f"forbid.{name}"])
                    self.model.add(self.on[name] == 0).only_enforce_if(when)
        return served


def _solver() -> cp_model.CpSolver:
    solver = cp_model.CpSolver()
    solver.parameters.num_workers = 1
    solver.parameters.random_seed = 1
    solver.parameters.max_deterministic_time = TIME_MOST
    return solver


def _solve(
    policy: Policy, classes: Sequence[Ability], catalogue: Catalogue, placed: Iterable[int]
) -> dict[Ability, tuple[int, ...]]:
    """Rungs by class; flows `placed` have a class at least. Raises `InfeasibleError` without conflicts."""
    model = cp_model.CpModel()
    parts = [_Class(model, one, catalogue, policy.flows) for one in classes]
    for place in placed:
        model.add_bool_or([literal for part in parts for literal in part.rungs[place]])
    model.maximize(
        sum(
            _weight(flow, rung) * literal
            for part in parts
            for flow, literals in zip(policy.flows, part.rungs, strict=True)
            for rung, literal in enumerate(literals)
        )
    )
    solver = _solver()
    status: object = solver.solve(model)
    if status == cp_model.INFEASIBLE:
        raise InfeasibleError(())
    if status not in FOUND:
        raise UndecidedError(f"nothing found within {TIME_MOST:g} of the solver's units")
    return {
        part.one: tuple(
            next((rung for rung, literal in enumerate(literals) if solver.value(literal)), NOT_PLACED)
            for literals in part.rungs
        )
        for part in parts
    }


# -- why nothing holds


def _lines(flow: Flow) -> list[Line]:
    wants = [(flow.name, f"require.{name}") for name in flow.require]
    return [*wants, *((flow.name, f"forbid.{name}") for name in flow.forbid)]


def _fits(one: Ability, flow: Flow, lines: Iterable[Line], catalogue: Catalogue) -> str:
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


def _anywhere(flow: Flow, classes: Iterable[Ability], catalogue: Catalogue) -> bool:
    return any(not _fits(one, flow, _lines(flow), catalogue) for one in classes)


def _why_alone(
    policy: Policy, flows: Sequence[Flow], classes: Sequence[Ability], catalogue: Catalogue
) -> list[Conflict]:
    """For flows that no class can serve, of each class the smallest set of the flow's own lines."""
    found = []
    for flow in flows:
        for one in classes:

            def bad(lines: Sequence[Line], one: Ability = one, flow: Flow = flow) -> bool:
                return bool(_fits(one, flow, lines, catalogue))

            those = _smallest(_lines(flow), bad)
            says = _fits(one, flow, those, catalogue)
            found += [_conflict(policy, line, one.key, says) for line in those]
    return found


def _why_together(policy: Policy, classes: Sequence[Ability], catalogue: Catalogue) -> list[Conflict]:
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
            model.add_bool_or([literal for part in parts for literal in part.rungs[place]])
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
            raise UndecidedError(f"no smallest set within {TIME_MOST:g} of the solver's units")
        numbers = {guards[line].index: line for line in lines}
        sufficient = [numbers[n] for n in solver.sufficient_assumptions_for_infeasibility() if n in numbers]
        return sufficient or list(lines)

    start = core(every)
    if start is None:  # each flow is placed here, though not by the model before: no line is at fault
        raise UndecidedError("two solutions contradict each other")
    those = _smallest(start, lambda lines: core(lines) is not None)
    return [_conflict(policy, line, "any", f"{len(those)} lines can't hold together") for line in those]


def _smallest(lines: Sequence[Line], bad: Callable[[Sequence[Line]], bool]) -> list[Line]:
    """A smallest set of lines that is bad, up to SMALLEST_TRIED lines; past that one with none to spare."""
    left = list(lines)
    for line in list(left):
        fewer = [one for one in left if one != line]
        if fewer and bad(fewer):
            left = fewer
    if len(lines) <= 12:
        for size in range(1, min(SMALLEST_TRIED + 1, len(left))):
            for some in combinations(lines, size):
                if bad(some):
                    return list(some)
    return left


def _conflict(policy: Policy, line: Line, kind: str, says: str) -> Conflict:
    flow, key = line
    return Conflict(policy.file, policy.named(flow).lines.get(key, 0), flow, kind, key, says)
