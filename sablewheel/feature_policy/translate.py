"""Translation of a policy into the plans of greatest total weight that the classes of hosts can run.

This is the only module that imports OR-tools (CP-SAT), with one thread and a fixed seed. Solving takes
seconds, so it never runs in a serving process. The objective is a sum over classes, and classes are coupled
only by the rule that some class serves each flow. So each class is first solved on its own, and all of them
together only if that leaves a flow unserved. The solver chooses a fallback level for each flow and class;
features and parameters follow as the least that these levels need. `verify` checks the result without the
solver.

If no translation exists, the error names a smallest set of conflicting lines: the solver's sufficient
assumptions, reduced by deleting lines one at a time until each of the rest is needed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from ortools.sat.python import cp_model

from .host_capabilities import CATALOGUE, Catalogue, Feature, HostCapabilities
from .policy import Flow, Policy, RequiredFeatures
from .translation import MAX_CLASSES, NOT_PLACED, ClassPlan, Translation

# Time limits in the solver's deterministic units, each of which takes about a second.
MAX_TOTAL_SOLVER_UNITS = 60.0  # for all classes together
MIN_SOLVER_UNITS = 0.25  # for one class; at the time limit the best solution so far is used
MAX_JOINT_PROBLEM_SIZE = 2000  # classes times flows; larger problems are not solved jointly
MAX_CANDIDATE_CLASSES = 4  # classes tried for an unserved flow in larger fleets
MAX_EXACT_CORE_SIZE = 3  # lines; larger conflicting sets are minimal, but not always of the smallest size

SOLVED = (cp_model.OPTIMAL, cp_model.FEASIBLE)

Line = tuple[str, str]  # a flow's name, and `require.FEATURE` or `forbid.FEATURE`


@dataclass(frozen=True)
class Conflict:
    """One of a set of conflicting lines.

    `kind` is the key of the class on which they conflict, or `any`.
    """

    file: str
    line: int
    flow: str
    kind: str
    key: str
    reason: str = ""


class InfeasibleError(ValueError):
    """No translation satisfies all requirements; the text has a line for each conflict."""

    def __init__(self, conflicts: Sequence[Conflict]) -> None:
        self.conflicts = tuple(conflicts)
        super().__init__(
            "\n".join(
                f"{conflict.file}:{conflict.line}: flows.{conflict.flow}.{conflict.key}: "
                f"class {conflict.kind}: {conflict.reason}"
                for conflict in conflicts
            )
        )


class UndecidedError(RuntimeError):
    """The solver found neither a solution nor a proof that there is none within its time limit."""


def translate(
    policy: Policy,
    host_classes: Iterable[HostCapabilities],
    catalogue: Catalogue = CATALOGUE,
    base: Translation | None = None,
) -> Translation:
    """Return the translation for these classes.

    With `base`, a translation of the same policy, the plans of its classes are kept and plans of new classes
    are added. Since `base` serves all flows, only one case differs: with more than `MAX_CLASSES` classes the
    plans of classes that are not requested are dropped, and if a flow was served by these alone, the plans of
    all requested classes are made anew.

    Raises:
        InfeasibleError: No choice of plans serves all flows.
        UndecidedError: The solver's time limit was too short.
        ValueError: There is no class, or there are too many.
    """
    kept_plans = dict(base.classes) if base is not None else {}
    requested = sorted(set(host_classes))
    new_classes = [host_class for host_class in requested if host_class not in kept_plans]
    if len(new_classes) + len(kept_plans) > MAX_CLASSES:
        kept_plans = {host_class: plan for host_class, plan in kept_plans.items() if host_class in requested}
    if not requested or len(new_classes) + len(kept_plans) > MAX_CLASSES:
        raise ValueError(f"{len(new_classes) + len(kept_plans)} classes; must be 1 to {MAX_CLASSES}")
    fallback_levels = {host_class: plan.fallback_levels for host_class, plan in kept_plans.items()}
    solver_units = max(MAX_TOTAL_SOLVER_UNITS / max(len(new_classes), 1), MIN_SOLVER_UNITS)
    fallback_levels |= {
        host_class: _solve(policy, [host_class], catalogue, solver_units=solver_units)[host_class]
        for host_class in new_classes
    }
    if unserved := _unserved_flows(policy, fallback_levels):
        unservable = [flow for flow in unserved if not _is_servable(flow, requested, catalogue)]
        if unservable:
            raise InfeasibleError(_single_flow_conflicts(policy, unservable, requested, catalogue))
        is_large = len(requested) * len(policy.flows) > MAX_JOINT_PROBLEM_SIZE
        reassigned = (
            _assign_unserved_flows(
                policy, {host_class: fallback_levels[host_class] for host_class in requested}, catalogue
            )
            if is_large
            else None
        )
        try:
            fallback_levels = reassigned or _solve(
                policy, requested, catalogue, covered=range(len(policy.flows))
            )
        except InfeasibleError:
            raise InfeasibleError(_joint_conflicts(policy, requested, catalogue)) from None
    plans = {host_class: plan_of(policy, levels, catalogue) for host_class, levels in fallback_levels.items()}
    revision = base.revision + 1 if base is not None else 0
    return Translation(policy.number, revision, policy.digest, plans)


LevelsByClass = dict[HostCapabilities, tuple[int, ...]]


def _unserved_flows(policy: Policy, fallback_levels: LevelsByClass) -> list[Flow]:
    """Return the flows that no class serves."""
    return [
        flow
        for index, flow in enumerate(policy.flows)
        if all(levels[index] == NOT_PLACED for levels in fallback_levels.values())
    ]


def _assign_unserved_flows(
    policy: Policy, fallback_levels: LevelsByClass, catalogue: Catalogue
) -> LevelsByClass | None:
    """Assign each unserved flow in turn to the class where that reduces the weight least.

    Used for large fleets, where a joint solution would take minutes. Returns None if it fails. The result is
    optimal for each class with the flows assigned to it, but another choice of classes may have a slightly
    greater weight.
    """
    fallback_levels, forced = dict(fallback_levels), dict[HostCapabilities, set[int]]()
    for _ in range(2 * len(policy.flows)):
        unserved = _unserved_flows(policy, fallback_levels)
        if not unserved:
            return fallback_levels
        flow, index = unserved[0], policy.flows.index(unserved[0])
        candidates = [
            host_class
            for host_class in fallback_levels
            if not _misfit_reason(host_class, flow, _lines(flow), catalogue)
        ]
        options: list[tuple[int, int, HostCapabilities, tuple[int, ...]]] = []
        for host_class in sorted(
            candidates, key=lambda host_class: (len(forced.get(host_class, ())), host_class)
        )[:MAX_CANDIDATE_CLASSES]:
            try:
                new_levels = _solve(
                    policy,
                    [host_class],
                    catalogue,
                    {*forced.get(host_class, ()), index},
                    solver_units=MIN_SOLVER_UNITS,
                )[host_class]
            except (InfeasibleError, UndecidedError):
                continue
            still_unserved = len(_unserved_flows(policy, fallback_levels | {host_class: new_levels}))
            options.append(
                (
                    still_unserved,
                    _total_weight(policy, fallback_levels[host_class]) - _total_weight(policy, new_levels),
                    host_class,
                    new_levels,
                )
            )
        if not options or min(options)[0] >= len(unserved):
            return None
        _, _, host_class, fallback_levels[host_class] = min(options)
        forced.setdefault(host_class, set()).add(index)
    return None


def _total_weight(policy: Policy, fallback_levels: Sequence[int]) -> int:
    return sum(
        _objective_weight(flow, fallback_level)
        for flow, fallback_level in zip(policy.flows, fallback_levels, strict=True)
        if fallback_level != NOT_PLACED
    )


def plan_of(policy: Policy, fallback_levels: Sequence[int], catalogue: Catalogue) -> ClassPlan:
    """Return the plan with the least features and parameters for these fallback levels of the flows."""
    features: dict[str, dict[str, int]] = {}
    for flow, fallback_level in zip(policy.flows, fallback_levels, strict=True):
        if fallback_level != NOT_PLACED:
            _add_required(features, flow.required_features(fallback_level), catalogue)
    return ClassPlan({name: features[name] for name in sorted(features)}, tuple(fallback_levels))


def _add_required(
    features: dict[str, dict[str, int]], required: RequiredFeatures, catalogue: Catalogue
) -> None:
    for name, values in required.items():
        merged = features.setdefault(
            name, {parameter.name: parameter.minimum for parameter in catalogue[name].parameters}
        )
        for key, value in values.items():
            merged[key] = max(merged[key], value)
        _add_required(
            features, {other: {} for other in catalogue[name].needs if other not in features}, catalogue
        )


def _objective_weight(flow: Flow, fallback_level: int) -> int:
    """Return the weight of a flow in the objective, in proportion to its load.

    It is never 0, or the solver might leave the flow unserved.
    """
    return flow.priority_weight_at(fallback_level) * max(1, round(flow.cores * 1000)) + 1


# -- the model


class _ClassModel:
    """One class's part of a model, which consists of literals only.

    There is a literal for each feature, for each parameter being at least a requested value, and for each
    flow on each fallback level. Apart from the capacity limits the constraints are a closure problem, whose
    linear relaxation is tight.
    """

    def __init__(
        self,
        model: cp_model.CpModel,
        capabilities: HostCapabilities,
        catalogue: Catalogue,
        flows: Sequence[Flow],
        lines: Mapping[Line, cp_model.IntVar] | None = None,
    ) -> None:
        self.model, self.lines = model, lines
        self.capabilities = capabilities
        self.enabled: dict[str, cp_model.IntVar] = {}
        self.at_least: dict[tuple[str, str], dict[int, cp_model.IntVar]] = {}
        self._costs: list[list[cp_model.LinearExprT]] = [[], [], []]
        for name, values in sorted(_used_features(flows, catalogue).items()):
            self._add_feature(catalogue[name], values)
        for name, enabled in self.enabled.items():
            for other in catalogue[name].needs:
                model.add_implication(enabled, self.enabled[other])
            for other in catalogue[name].conflicts:
                if other in self.enabled:
                    model.add_bool_or([enabled.negated(), self.enabled[other].negated()])
        for total, limit in zip(self._costs, capabilities.feature_budget, strict=True):
            if total:
                model.add(sum(total) <= limit)
        self.fallback_levels = [self._add_flow(flow) for flow in flows]

    def _add_feature(self, feature: Feature, values: Mapping[str, Iterable[int]]) -> None:
        """Add the literals of a feature and of each requested value of its parameters, and their costs."""
        enabled = self.enabled[feature.name] = self.model.new_bool_var(feature.name)
        if self.capabilities.unsupported_reason(feature):
            self.model.add(enabled == 0)
        for total, cost in zip(self._costs, feature.cost({}), strict=True):
            total.append(cost * enabled)
        for parameter in feature.parameters:
            lower, lower_value = enabled, parameter.minimum
            at_least = self.at_least[feature.name, parameter.name] = {parameter.minimum: enabled}
            for value in sorted(values[parameter.name]):
                literal = at_least[value] = self.model.new_bool_var(
                    f"{feature.name}.{parameter.name}>={value}"
                )
                self.model.add_implication(literal, lower)
                unit_costs = (parameter.memory, parameter.millicores, parameter.descriptors)
                for total, cost in zip(self._costs, unit_costs, strict=True):
                    total.append(cost * (value - lower_value) * literal)
                lower, lower_value = literal, value

    def _add_flow(self, flow: Flow) -> list[cp_model.IntVar]:
        served = [
            self.model.new_bool_var(f"{flow.name}/{fallback_level}")
            for fallback_level in range(flow.last_fallback_level + 1)
        ]
        self.model.add_at_most_one(served)
        for fallback_level, served_here in enumerate(served):
            for name, values in flow.required_features(fallback_level).items():
                waivers = self._waivers(served_here, (flow.name, f"require.{name}"))
                self.model.add_bool_or([*waivers, self.enabled[name]])
                for key, value in values.items():
                    self.model.add_bool_or([*waivers, self.at_least[name, key][value]])
            for name in flow.forbid:
                if name in self.enabled:
                    waivers = self._waivers(served_here, (flow.name, f"forbid.{name}"))
                    self.model.add_bool_or([*waivers, self.enabled[name].negated()])
        return served

    def _waivers(self, served_here: cp_model.IntVar, line: Line) -> list[cp_model.LiteralT]:
        """Return the literals that waive the line: the flow is not served so, or the line is not enforced."""
        if self.lines is None or line not in self.lines:
            return [served_here.negated()]
        return [served_here.negated(), self.lines[line].negated()]


def _used_features(flows: Sequence[Flow], catalogue: Catalogue) -> dict[str, dict[str, set[int]]]:
    """Return all features that the flows need, and each parameter's requested values above its minimum."""
    used: dict[str, dict[str, set[int]]] = {}
    for required in (
        flow.required_features(fallback_level)
        for flow in flows
        for fallback_level in range(flow.last_fallback_level + 1)
    ):
        closure: dict[str, dict[str, int]] = {}
        _add_required(closure, required, catalogue)
        for name, values in closure.items():
            for parameter in catalogue[name].parameters:
                parameter_values = used.setdefault(name, {}).setdefault(parameter.name, set())
                if values[parameter.name] > parameter.minimum:
                    parameter_values.add(values[parameter.name])
            used.setdefault(name, {})
    return used


def _solver(solver_units: float = MAX_TOTAL_SOLVER_UNITS) -> cp_model.CpSolver:
    solver = cp_model.CpSolver()
    solver.parameters.num_workers = 1
    solver.parameters.random_seed = 1
    solver.parameters.linearization_level = 2
    solver.parameters.max_deterministic_time = solver_units
    return solver


def _solve(
    policy: Policy,
    classes: Sequence[HostCapabilities],
    catalogue: Catalogue,
    forced: Iterable[int] = (),
    covered: Iterable[int] = (),
    solver_units: float = MAX_TOTAL_SOLVER_UNITS,
) -> LevelsByClass:
    """Return the fallback levels of each class.

    Every class serves each flow of `forced`, and at least one class each flow of `covered`; both are indices.
    Raises `InfeasibleError` without conflicts, or `UndecidedError`.
    """
    model = cp_model.CpModel()
    class_models = [_ClassModel(model, host_class, catalogue, policy.flows) for host_class in classes]
    for index in forced:
        for class_model in class_models:
            model.add_bool_or(class_model.fallback_levels[index])
    for index in covered:
        model.add_bool_or(
            [literal for class_model in class_models for literal in class_model.fallback_levels[index]]
        )
    model.maximize(
        sum(
            _objective_weight(flow, fallback_level) * literal
            for class_model in class_models
            for flow, literals in zip(policy.flows, class_model.fallback_levels, strict=True)
            for fallback_level, literal in enumerate(literals)
        )
    )
    solver = _solver(solver_units)
    status: object = solver.solve(model)
    if status == cp_model.INFEASIBLE:
        raise InfeasibleError(())
    if status not in SOLVED:
        raise UndecidedError(f"no solution within {solver_units:g} deterministic units of the solver")
    return {
        class_model.capabilities: tuple(
            next(
                (fallback_level for fallback_level, literal in enumerate(literals) if solver.value(literal)),
                NOT_PLACED,
            )
            for literals in class_model.fallback_levels
        )
        for class_model in class_models
    }


# -- conflicts


def _lines(flow: Flow) -> list[Line]:
    required = [(flow.name, f"require.{name}") for name in flow.require]
    return [*required, *((flow.name, f"forbid.{name}") for name in flow.forbid)]


def _misfit_reason(
    host_class: HostCapabilities, flow: Flow, lines: Iterable[Line], catalogue: Catalogue
) -> str:
    """Return why a class can't serve a flow under these of its lines; empty if it can."""
    keys = {key for _, key in lines}
    required: RequiredFeatures = {
        name: values for name, values in flow.require.items() if f"require.{name}" in keys
    }
    features: dict[str, dict[str, int]] = {}
    _add_required(features, required, catalogue)
    total = [0, 0, 0]
    for name, values in features.items():
        feature = catalogue[name]
        if reason := host_class.unsupported_reason(feature):
            return f"{name}: {reason}"
        for other in feature.conflicts:
            if other in features:
                return f"{name} conflicts with {other}"
        if name in flow.forbid and f"forbid.{name}" in keys:
            return f"{name} is both needed and forbidden"
        total = [a + b for a, b in zip(total, feature.cost(values), strict=True)]
    for resource, amount, limit in zip(
        ("bytes", "millicores", "descriptors"), total, host_class.feature_budget, strict=True
    ):
        if amount > limit:
            return f"features take {amount} {resource}, over the limit of {limit}"
    return ""


def _is_servable(flow: Flow, classes: Iterable[HostCapabilities], catalogue: Catalogue) -> bool:
    return any(not _misfit_reason(host_class, flow, _lines(flow), catalogue) for host_class in classes)


def _single_flow_conflicts(
    policy: Policy, flows: Sequence[Flow], classes: Sequence[HostCapabilities], catalogue: Catalogue
) -> list[Conflict]:
    """Return the smallest conflicting sets of lines, by class, of flows that no class can serve."""
    conflicts = []
    for flow in flows:
        for host_class in classes:

            def is_conflict(
                lines: Sequence[Line], host_class: HostCapabilities = host_class, flow: Flow = flow
            ) -> bool:
                return bool(_misfit_reason(host_class, flow, lines, catalogue))

            smallest = _smallest_conflict(_lines(flow), is_conflict)
            reason = _misfit_reason(host_class, flow, smallest, catalogue)
            conflicts += [_conflict(policy, line, host_class.key, reason) for line in smallest]
    return conflicts


def _joint_conflicts(
    policy: Policy, classes: Sequence[HostCapabilities], catalogue: Catalogue
) -> list[Conflict]:
    """Return a smallest conflicting set of lines where each flow could be served, but not all of them."""
    all_lines = [line for flow in policy.flows for line in _lines(flow)]

    def find_core(lines: Sequence[Line]) -> list[Line] | None:
        """Return those of these lines that conflict; None if there is no conflict."""
        model = cp_model.CpModel()
        guards = {line: model.new_bool_var(".".join(line)) for line in all_lines}
        flow_names = {flow.name for flow in policy.flows if any(line[0] == flow.name for line in lines)}
        flows = [
            Flow(flow.name, cores=flow.cores, require=flow.require, forbid=flow.forbid, lines=flow.lines)
            for flow in policy.flows
            if flow.name in flow_names
        ]
        class_models = [_ClassModel(model, host_class, catalogue, flows, guards) for host_class in classes]
        for index in range(len(flows)):
            model.add_bool_or(
                [literal for class_model in class_models for literal in class_model.fallback_levels[index]]
            )
        enforced = set(lines)
        model.add_assumptions([guards[line] for line in lines])
        for line in all_lines:
            if line not in enforced:
                model.add(guards[line] == 0)
        solver = _solver()
        status: object = solver.solve(model)
        if status in SOLVED:
            return None
        if status != cp_model.INFEASIBLE:
            raise UndecidedError(
                f"no conflict set within {MAX_TOTAL_SOLVER_UNITS:g} deterministic units of the solver"
            )
        lines_by_index = {guards[line].index: line for line in lines}
        sufficient = [
            lines_by_index[index]
            for index in solver.sufficient_assumptions_for_infeasibility()
            if index in lines_by_index
        ]
        return sufficient or list(lines)

    start = find_core(all_lines)
    if start is None:  # all flows can be served, which the earlier model denied: no line is at fault
        raise UndecidedError("the solver's results contradict each other")
    smallest = _smallest_conflict(start, lambda lines: find_core(lines) is not None)
    return [
        _conflict(policy, line, "any", f"{len(smallest)} lines conflict with each other") for line in smallest
    ]


def _smallest_conflict(lines: Sequence[Line], is_conflict: Callable[[Sequence[Line]], bool]) -> list[Line]:
    """Return a smallest set of conflicting lines.

    A set of more than MAX_EXACT_CORE_SIZE lines may not be the smallest, but each of its lines is needed.
    """
    remaining = list(lines)
    for line in list(remaining):
        reduced = [other for other in remaining if other != line]
        if reduced and is_conflict(reduced):
            remaining = reduced
    if len(lines) <= 12:
        for size in range(1, min(MAX_EXACT_CORE_SIZE + 1, len(remaining))):
            for subset in combinations(lines, size):
                if is_conflict(subset):
                    return list(subset)
    return remaining


def _conflict(policy: Policy, line: Line, kind: str, reason: str) -> Conflict:
    flow, key = line
    return Conflict(policy.file, policy.flow_named(flow).lines.get(key, 0), flow, kind, key, reason)
