"""`sablewheel members`: the view of a running server, asked over TCP on its membership address."""

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
@click.option("--json", "as_json", is_flag=True, help="One line of JSON with counters, for scripts.")
def members(address: str, within: float, as_json: bool) -> None:
    """The view of the server whose membership listens at ADDRESS: who, state, incarnation, zone, since when.

    Exit 1 if it does not answer or is in no view, 2 if ADDRESS is none.

    \b
    sablewheel members 127.0.0.1:7700
    sablewheel members 127.0.0.1:7700 --json
    """
    place = address_of(address)
    if place is None:
        raise click.BadParameter("an IPv4 address and a port are wanted, as 127.0.0.1:7700")
    try:
        name, told = query_status(place, within)
    except OSError as trouble:
        click.echo(f"members: {address}: {trouble.strerror or trouble}", err=True)
        sys.exit(1)
    except codec.BadPacketError as trouble:
        click.echo(f"members: {address}: not an answer of this program: {trouble}", err=True)
        sys.exit(1)
    view = told.view
    if as_json:
        print_json(
            {
                "asked": name,
                "epoch": view.epoch if view is not None else None,
                "view": fingerprint(view) if view is not None else None,
                "health": told.health_score,
                "members": [
                    {
                        "name": one.name,
                        "state": one.state,
                        "incarnation": one.incarnation,
                        "for_s": round(one.in_view_s, 3),
                        **_where(told, one.name),
                    }
                    for one in told.states
                ],
                "counts": dict(told.counters),
            }
        )
    elif view is None:
        click.echo(f"{name} is in no view")
    else:
        click.echo(f"{name}: epoch {view.epoch}, view {fingerprint(view)}, health {told.health_score}")
        heads = ("name", "state", "zone", "region", "address", "in for")
        click.echo("{:20} {:8} {:10} {:10} {:21} {:>9} incarnation".format(*heads))
        for one in told.states:
            where = _where(told, one.name)
            click.echo(
                f"{one.name:20} {one.state:8} {where['zone'] or '-':10} {where['region'] or '-':10} "
                f"{where['address']:21} {one.in_view_s:8.1f}s {one.incarnation}"
            )
    if view is None:
        sys.exit(1)


def _where(told: StatusReply, name: str) -> dict[str, str]:
    member = told.view.get(name) if told.view is not None else None
    if member is None:
        return {"zone": "", "region": "", "address": ""}
    return {"zone": member.zone, "region": member.region, "address": member.address}
