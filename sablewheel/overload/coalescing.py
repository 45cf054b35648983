"""Coalescing: duplicates get the result of the request that they repeat."""

from __future__ import annotations

from .completion import RequestCompletion
from .context import DecisionContext
from .interface import AttachToOriginal, Outcome, Request, Stage
from .resource_limits import ResourceLimits


class DuplicateCoalescer:
    """The duplicates that wait until the guards allow them to be attached to their originals.

    Waiting is better than failing them: the result that they repeat exists here.

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
        """Attach a duplicate to its original; it fails if that can have no result."""
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
        """Try again to attach the duplicates that still wait."""
        waiting, self._waiting = self._waiting, []
        for request, original in waiting:
            if request.stage is Stage.QUEUED:
                self.attach(request, original)
