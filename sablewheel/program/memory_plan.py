"""How the memory limit of the process is divided, so far as its parts have a limit of their own."""

from __future__ import annotations

from dataclasses import dataclass

from ..protocol.resp import MAX_BODY_BYTES
from ..serving.connection import REQUEST_BYTES, max_unfinished_bytes

RESULTS_DIVISOR = 16  # cached results may use 1/16 of the process's memory
CONNECTIONS_DIVISOR = 4  # connections, with all that they hold for their peers
MIN_SHARED_DIVISOR = 8  # of that: what they share at the least, however many there are
CONNECTION_BYTES = 7168  # a connection that holds nothing: its socket, its greenlet and its objects


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The parts of the process's memory.

    Invariant: `max_connections` times the sum of `CONNECTION_BYTES`, the unfinished bytes and
    `reserved_bytes`, and `shared_bytes`, are together at most a quarter of the limit.

    Attributes:
        result_bytes: The limit of cached results.
        max_connections: How many clients may be connected.
        reserved_bytes: What each connection may hold in any case: one request.
        shared_bytes: What all connections together may hold beyond that, in requests and unread answers.
    """

    result_bytes: int
    max_connections: int
    reserved_bytes: int
    shared_bytes: int


def plan_memory(memory_bytes: int, max_descriptors: int, max_message_bytes: int) -> MemoryPlan:
    """Divide the memory of a process.

    Args:
        memory_bytes: The limit of the process.
        max_descriptors: How many connections its descriptors allow.
        max_message_bytes: The size of the largest valid message.
    """
    reserved_bytes = REQUEST_BYTES + MAX_BODY_BYTES
    connections_bytes = memory_bytes // CONNECTIONS_DIVISOR
    each_bytes = CONNECTION_BYTES + max_unfinished_bytes(max_message_bytes) + reserved_bytes
    affordable = (connections_bytes - connections_bytes // MIN_SHARED_DIVISOR) // each_bytes
    max_connections = max(min(max_descriptors, affordable), 1)
    return MemoryPlan(
        result_bytes=memory_bytes // RESULTS_DIVISOR,
        max_connections=max_connections,
        reserved_bytes=reserved_bytes,
        shared_bytes=max(connections_bytes - max_connections * each_bytes, 0),
    )
