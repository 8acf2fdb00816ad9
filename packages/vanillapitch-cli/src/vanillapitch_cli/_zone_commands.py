"""Commands that take availability zones out of service and back into service."""

import uuid
from typing import Annotated

import typer

from vanillapitch_cli._changes import Change, submit
from vanillapitch_cli._output import print_json, print_table
from vanillapitch_cli._session import get_session
from vanillapitch_cli.exceptions import BadInputError

__all__ = ["zone_commands"]

zone_commands = typer.Typer(help="Take availability zones out of service and back.")

ZoneArgument = Annotated[str, typer.Argument(help="Name of the zone.")]
ForceOption = Annotated[
    bool, typer.Option("--force", help="Accept a zone that the daemon does not know.")
]


@zone_commands.command("out")
def take_out(
    context: typer.Context, zone: ZoneArgument, force: ForceOption = False
) -> None:
    """Take a zone out of service; requests in flight finish."""
    _set_zone(context, zone, in_service=False, force=force)


@zone_commands.command("in")
def bring_in(
    context: typer.Context, zone: ZoneArgument, force: ForceOption = False
) -> None:
    """Bring a zone back into service; its endpoints ramp up."""
    _set_zone(context, zone, in_service=True, force=force)


@zone_commands.command("list")
def list_zones(
    context: typer.Context,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """List the zones with their members."""
    zones = get_session(context).client().get("/v1/zones")
    if as_json:
        print_json(zones)
        return
    columns = ("zone", "in_service", "members")
    print_table(columns, [[row[key] for key in columns] for row in zones["zones"]])


def _set_zone(
    context: typer.Context, zone: str, *, in_service: bool, force: bool
) -> None:
    session = get_session(context)
    client = session.client()
    known = [row["zone"] for row in client.get("/v1/zones")["zones"]]
    # The daemon would accept a misspelled zone, and nothing would go out of service.
    if zone not in known and not force:
        names = ", ".join(known) or "none"
        raise BadInputError(f"unknown zone {zone!r} (known: {names}); see --force")
    before = client.tables()

    def is_in_force(tables: dict) -> bool:
        # Tables from before the change do not show its outcome.
        is_newer = tables["revision"] > before.revision
        return is_newer and (zone not in tables["zones_out"]) == in_service

    change = Change(
        path=f"/v1/zones/{zone}",
        body={
            "in_service": in_service,
            "change_id": uuid.uuid4().hex,
            "author": session.author_name(),
        },
        is_in_force=is_in_force,
    )
    revision = submit(client, change, settle_timeout_ms=session.settle_timeout_ms)
    state = "in" if in_service else "out of"
    typer.echo(f"Zone {zone} is {state} service since revision {revision} or before.")
