"""A translation in a process of its own: it takes seconds, and a library that servers don't load.

Without arguments it reads a job from standard input, as servers give it; with FILE and MEMBER it prints
what FILE would come to for the fleet of a running member (ADDRESS:PORT).
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from . import host_capabilities, policy_bundle
from .document import FaultyPolicyError, read
from .host_capabilities import HostCapabilities, HostCapabilitiesError
from .policy_bundle import BundleError, PolicyBundle
from .translate import InfeasibleError, UndecidedError, translate


def done(job: dict[str, Any]) -> dict[str, Any]:
    """The answer to a job; whatever is wrong with it is in `faults`."""
    try:
        classes = [host_capabilities.read(str(one)) for one in job["classes"]]
        base = policy_bundle.load(job["base"]) if job.get("base") else None
        policy = base.policy if base is not None else read(str(job["text"]), str(job.get("file", "policy")))
        made = translate(policy, classes, base=base.translation if base is not None else None)
        return {"bundle": PolicyBundle(policy, made).text}
    except (FaultyPolicyError, InfeasibleError) as trouble:
        return {"faults": str(trouble).splitlines()}
    except (HostCapabilitiesError, BundleError, UndecidedError, KeyError, ValueError) as trouble:
        return {"faults": [f"{type(trouble).__name__}: {trouble}"]}


def shown(file: str, member: str) -> int:
    """Print what a document would come to for the fleet of a running member."""
    from ..membership.codec import BadPacketError
    from ..membership.plan import address_of
    from ..membership.status_client import query_status

    place = address_of(member)
    if place is None:
        print(f"{member}: an IPv4 address and a port are wanted", file=sys.stderr)
        return 2
    try:
        text = Path(file).read_text(encoding="utf-8")
        told = query_status(place, 3.0)[1]
    except (OSError, UnicodeDecodeError, BadPacketError) as trouble:
        print(f"{file}, {member}: {trouble}", file=sys.stderr)
        return 1
    members = told.view.members if told.view is not None else ()
    said = [one.metadata_value("class") for one in members if one.metadata_value("class")]
    answer = done({"text": text, "file": file, "classes": sorted(set(said))})
    if "faults" in answer:
        print("\n".join(answer["faults"]), file=sys.stderr)
        return 1
    made = policy_bundle.load(answer["bundle"])
    for one, plan in sorted(made.translation.classes.items()):
        print(f"class {one.key}: {one.said}, {_many(said, one)} members")
        for name, values in plan.features.items():
            print(f"  runs {name} {' '.join(f'{key}={value}' for key, value in values.items())}".rstrip())
        for flow, level in zip(made.policy.flows, plan.fallback_levels, strict=True):
            served = f"fallback level {level} of {flow.no_fallback_level}" if level >= 0 else "not served"
            print(f"  flow {flow.name}: {served}")
    return 0


def _many(said: list[str], one: HostCapabilities) -> int:
    return sum(host_capabilities.read(each) == one for each in said)


if __name__ == "__main__":
    if len(sys.argv) == 3:
        sys.exit(shown(*sys.argv[1:]))
    json.dump(done(json.load(sys.stdin)), sys.stdout)
