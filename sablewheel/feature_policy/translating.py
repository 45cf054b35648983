"""The program of the translation process.

A translation takes seconds and needs a library that servers don't load, so it runs in a separate process.

Without arguments it reads a job of a server from standard input. With the arguments FILE and MEMBER it prints
the translation of the document FILE for the fleet of a running member (ADDRESS:PORT).
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


def run_job(job: dict[str, Any]) -> dict[str, Any]:
    """Return the result of a job: `bundle`, or `faults` if it failed."""
    try:
        classes = [host_capabilities.read(str(text)) for text in job["classes"]]
        base = policy_bundle.load(job["base"]) if job.get("base") else None
        policy = base.policy if base is not None else read(str(job["text"]), str(job.get("file", "policy")))
        translation = translate(policy, classes, base=base.translation if base is not None else None)
        return {"bundle": PolicyBundle(policy, translation).text}
    except (FaultyPolicyError, InfeasibleError) as error:
        return {"faults": str(error).splitlines()}
    except (HostCapabilitiesError, BundleError, UndecidedError, KeyError, ValueError) as error:
        return {"faults": [f"{type(error).__name__}: {error}"]}


def print_translation(file: str, member: str) -> int:
    """Print the translation of a document for the fleet of a running member; returns the exit code."""
    from ..membership.codec import BadPacketError
    from ..membership.plan import address_of
    from ..membership.status_client import query_status

    address = address_of(member)
    if address is None:
        print(f"{member}: must be an IPv4 address and a port", file=sys.stderr)
        return 2
    try:
        text = Path(file).read_text(encoding="utf-8")
        status = query_status(address, 3.0)[1]
    except (OSError, UnicodeDecodeError, BadPacketError) as error:
        print(f"{file}, {member}: {error}", file=sys.stderr)
        return 1
    members = status.view.members if status.view is not None else ()
    class_texts = [each.metadata_value("class") for each in members if each.metadata_value("class")]
    result = run_job({"text": text, "file": file, "classes": sorted(set(class_texts))})
    if "faults" in result:
        print("\n".join(result["faults"]), file=sys.stderr)
        return 1
    bundle = policy_bundle.load(result["bundle"])
    for capabilities, plan in sorted(bundle.translation.classes.items()):
        print(
            f"class {capabilities.key}: {capabilities.text}, "
            f"{_count_members(class_texts, capabilities)} members"
        )
        for name, values in plan.features.items():
            print(f"  runs {name} {' '.join(f'{key}={value}' for key, value in values.items())}".rstrip())
        for flow, level in zip(bundle.policy.flows, plan.fallback_levels, strict=True):
            service = f"fallback level {level} of {flow.last_fallback_level}" if level >= 0 else "not served"
            print(f"  flow {flow.name}: {service}")
    return 0


def _count_members(class_texts: list[str], capabilities: HostCapabilities) -> int:
    return sum(host_capabilities.read(text) == capabilities for text in class_texts)


if __name__ == "__main__":
    if len(sys.argv) == 3:
        sys.exit(print_translation(*sys.argv[1:]))
    json.dump(run_job(json.load(sys.stdin)), sys.stdout)
