"""The section `forwarding`: sends requests, and messages of other features, to peers."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from ...forwarding.plan import ConnectionSettings, ForwardingPlan, ForwardingSettings
from .section import Address, Section


class ForwardingSection(Section):
    """Settings of the links to peers of the fleet, and of forwarded requests."""

    needs = ("membership",)

    listen: Address
    advertise: Address | None = None
    links_most: Annotated[int, Field(ge=2, le=4096)] = 2048
    frame_most_kb: Annotated[int, Field(ge=16, le=65536)] = 1024
    queue_frames: Annotated[int, Field(ge=16, le=1 << 20)] = 1024
    queue_kb: Annotated[int, Field(ge=16, le=1 << 20)] = 4096
    connect_within_s: Annotated[float, Field(ge=0.01, le=30)] = 0.5
    ping_every_s: Annotated[float, Field(ge=0.01, le=30)] = 0.2
    silent_most_s: Annotated[float, Field(ge=0.05, le=300)] = 0.8
    rest_first_s: Annotated[float, Field(ge=0.01, le=60)] = 0.05
    rest_last_s: Annotated[float, Field(ge=0.01, le=60)] = 0.5
    linger_s: Annotated[float, Field(ge=0, le=60)] = 3.0
    out_most: Annotated[int, Field(ge=1, le=1 << 20)] = 4096
    in_most: Annotated[int, Field(ge=1, le=1 << 20)] = 1024
    taken_within_s: Annotated[float, Field(ge=0.01, le=30)] = 0.25
    doubt_s: Annotated[float, Field(ge=0, le=60)] = 0.5

    @model_validator(mode="after")
    def _check_consistency(self) -> ForwardingSection:
        if self.silent_most_s < 2 * self.ping_every_s:
            raise ValueError(
                f"silent-most-s {self.silent_most_s:g} must be at least twice ping-every-s "
                f"{self.ping_every_s:g}, or one late answer breaks a link"
            )
        if self.rest_last_s < self.rest_first_s:
            raise ValueError(
                f"rest-last-s {self.rest_last_s:g} is less than rest-first-s {self.rest_first_s:g}"
            )
        if self.queue_kb < self.frame_most_kb:
            raise ValueError(
                f"queue-kb {self.queue_kb} does not hold one frame of frame-most-kb {self.frame_most_kb}"
            )
        if self.listen.startswith("0.0.0.0:") and self.advertise is None:
            raise ValueError(
                "advertise is needed with listen on 0.0.0.0: peers need an address to connect to"
            )
        return self

    def plan(self) -> ForwardingPlan:
        """Return the plan of the feature."""
        host, _, port = self.listen.rpartition(":")
        connections = ConnectionSettings(
            max_frame_bytes=self.frame_most_kb * 1024,
            max_queued_frames=self.queue_frames,
            max_queued_bytes=self.queue_kb * 1024,
            max_connections=self.links_most,
            connect_timeout_s=self.connect_within_s,
            ping_interval_s=self.ping_every_s,
            max_silence_s=self.silent_most_s,
            initial_retry_delay_s=self.rest_first_s,
            max_retry_delay_s=self.rest_last_s,
            departed_linger_s=self.linger_s,
        )
        settings = ForwardingSettings(
            max_forwarded=self.out_most,
            max_admitted_per_peer=self.in_most,
            ack_timeout_s=self.taken_within_s,
            peer_backoff_s=self.doubt_s,
        )
        return ForwardingPlan((host, int(port)), self.advertise or self.listen, connections, settings)
