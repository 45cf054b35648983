"""How a request is answered: served here, forwarded, returned or rejected. Performs no I/O."""

from __future__ import annotations

from .binding import Binding
from .context import SessionContext
from .effects import DecisionReason, ForwardToOwner, RejectRequest, ReturnToForwarder, ServeLocally
from .events import RequestArrived
from .policy_versions import PolicyVersions


class Responder:
    """Turns decisions into effects and counts each by its reason.

    Invariant: a request that only the session's owner may run is served here only under a binding that names
    this server; without such a binding it is rejected and not run.
    """

    def __init__(self, context: SessionContext, versions: PolicyVersions) -> None:
        """Answer requests for the server of the given context."""
        self._context, self._versions = context, versions

    def serve(self, request: RequestArrived, binding: Binding, reason: DecisionReason) -> None:
        """Serve a request of a session that this server owns."""
        self._context.counts[f"here_{reason.value}"] += 1
        effect = ServeLocally(request.ref, binding.fencing_number, binding.policy_version, reason)
        self._context.outbox.emit(effect)

    def serve_or_reject(
        self, request: RequestArrived, reason: DecisionReason, retry_after_s: float = 0.0
    ) -> None:
        """Decide without the owner: serve an idempotent request here, reject any other request."""
        outbox, counts = self._context.outbox, self._context.counts
        if request.requires_owner or reason is DecisionReason.INCAPABLE:
            counts[f"denied_{reason.value}"] += 1
            retry_after_s = max(retry_after_s, self._context.settings.retry_after_s)
            outbox.emit(RejectRequest(request.ref, retry_after_s, reason))
        else:
            counts[f"here_{reason.value}"] += 1
            outbox.emit(ServeLocally(request.ref, 0, self._versions.active, reason))

    def forward(self, request: RequestArrived, route: Binding) -> None:
        """Forward a request to the owner, or return it if it was forwarded here: only one hop is allowed."""
        if request.forwarded_by:
            self._context.counts["given_back"] += 1
            self._context.outbox.emit(ReturnToForwarder(request.ref, request.forwarded_by, route))
            return
        self._context.counts["passed"] += 1
        self._context.outbox.emit(ForwardToOwner(request.ref, route.owner))
