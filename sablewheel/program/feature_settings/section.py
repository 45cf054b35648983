"""The base class of all sections, and value types that several sections use."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from typing import Annotated, Any, ClassVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field


class Section(BaseModel):
    """A section of the features file. Its keys are written with hyphens; unknown keys are errors.

    Attributes:
        needs: The other sections that must be present.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def conflicts(self, sections: Mapping[str, Any]) -> list[tuple[str, str]]:
        """Return keys of this section that don't fit another section, each with the reason.

        Args:
            sections: All sections of the file by name, among them those that `needs` names.
        """
        return []

    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, alias_generator=lambda name: name.replace("_", "-")
    )


def _check_address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        valid = bool(colon) and port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("expected an IPv4 address and a port, such as 127.0.0.1:7600")
    return text


Address = Annotated[str, AfterValidator(_check_address)]
DurationS = Annotated[float, Field(ge=0, le=86400 * 31, allow_inf_nan=False)]
PositiveDurationS = Annotated[float, Field(gt=0, le=86400, allow_inf_nan=False)]


def host_and_port(address: str) -> tuple[str, int]:
    """Split a validated address into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
