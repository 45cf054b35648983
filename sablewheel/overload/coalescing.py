"""Coalescing: a duplicate gets the result of its original."""

from __future__ import annotations

from .completion import RequestCompletion
from .context import DecisionContext
from .interface import AttachToOriginal, Outcome, Request, Stage
from .resource_limits import ResourceLimits


class DuplicateCoalescer:
    """The duplicates that wait until the guards allow them to be attached to their originals.

    They wait rather than fail, since this server has or will have the original's result.

    Invariant: a duplicate counts as started once it waits here, so it is never rejected.
    """

    def __init__(
        self, context: DecisionContext, resources: ResourceLimits, completion: RequestCompletion
    ) -> None:
        self._context = context
        self._resources = resources
        self._completion = completion
        self._waiting: list[tuple[Request, Request]] = []  # duplicate, original

    def attach(self, request: Request, original: Request) -> None:
        """Attach a duplicate to its original; fail it if the original can have no result."""
        if original.outcome not in (None, Outcome.SUCCEEDED) or (original.answered and not original.started):
            self._completion.fail(request)
        elif not self._resources.can_run(request):
            request.started = True
            self._waiting.append((request, original))
        else:
            request.stage = Stage.COALESCED
            self._resources.occupy(request)
            self._context.actions.append(AttachToOriginal(request))

    def attach_waiting(self) -> None:
        """Retry attaching the duplicates that are still queued."""
        waiting, self._waiting = self._waiting, []
        for request, original in waiting:
            if request.stage is Stage.QUEUED:
                self.attach(request, original)
