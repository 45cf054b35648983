"""`sablewheel members`: the fleet view of a running server, queried over TCP on its membership address."""

from __future__ import annotations

import sys

import click

from ..membership import codec
from ..membership.messages import StatusReply
from ..membership.plan import address_of
from ..membership.status_client import query_status
from ..membership.view import fingerprint
from .main import print_json


@click.command()
@click.argument("address")
@click.option("--within", default=2.0, show_default=True, help="Seconds to wait for the answer.")
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON, with counters.")
def members(address: str, within: float, as_json: bool) -> None:
    """Show the fleet as the server at ADDRESS sees it: each member's state, place, incarnation, time in view.

    ADDRESS is the listen address of the server's membership. Exit 1 if the server does not answer or is in no
    view, 2 if ADDRESS is not a valid address.

    \b
    sablewheel members 127.0.0.1:7700
    sablewheel members 127.0.0.1:7700 --json
    """
    socket_address = address_of(address)
    if socket_address is None:
        raise click.BadParameter("expected an IPv4 address and a port, such as 127.0.0.1:7700")
    try:
        name, status = query_status(socket_address, within)
    except OSError as error:
        click.echo(f"members: {address}: {error.strerror or error}", err=True)
        sys.exit(1)
    except codec.BadPacketError as error:
        click.echo(f"members: {address}: invalid answer: {error}", err=True)
        sys.exit(1)
    view = status.view
    if as_json:
        print_json(
            {
                "asked": name,
                "epoch": view.epoch if view is not None else None,
                "view": fingerprint(view) if view is not None else None,
                "health": status.health_score,
                "members": [
                    {
                        "name": member.name,
                        "state": member.state,
                        "incarnation": member.incarnation,
                        "for_s": round(member.in_view_s, 3),
                        **_location(status, member.name),
                    }
                    for member in status.states
                ],
                "counts": dict(status.counters),
            }
        )
    elif view is None:
        click.echo(f"{name} is in no view")
    else:
        click.echo(f"{name}: epoch {view.epoch}, view {fingerprint(view)}, health {status.health_score}")
        headers = ("name", "state", "zone", "region", "address", "in for")
        click.echo("{:20} {:8} {:10} {:10} {:21} {:>9} incarnation".format(*headers))
        for member in status.states:
            place = _location(status, member.name)
            click.echo(
                f"{member.name:20} {member.state:8} {place['zone'] or '-':10} {place['region'] or '-':10} "
                f"{place['address']:21} {member.in_view_s:8.1f}s {member.incarnation}"
            )
    if view is None:
        sys.exit(1)


def _location(status: StatusReply, name: str) -> dict[str, str]:
    member = status.view.get(name) if status.view is not None else None
    if member is None:
        return {"zone": "", "region": "", "address": ""}
    return {"zone": member.zone, "region": member.region, "address": member.address}
