"""Commands that show the state of daemons and check files."""

from typing import Annotated, Any

import typer

from vanillapitch_cli._client import AdminClient
from vanillapitch_cli._documents import check_file
from vanillapitch_cli._output import print_json, print_table
from vanillapitch_cli._session import get_session
from vanillapitch_cli.exceptions import FailedError, UnavailableError

__all__ = ["check", "status"]

_STATUS_COLUMNS = (
    "instance",
    "zone",
    "service",
    "state",
    "endpoint_state",
    "revision",
    "in_flight",
    "limit",
    "store",
    "members_by_state",
)


def status(
    context: typer.Context,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show the state of each daemon that --admin names."""
    client = get_session(context).client()
    rows = [_status_row(client, address) for address in client.addresses]
    responding = [row for row in rows if "error" not in row]
    if as_json:
        print_json({"daemons": rows})
    else:
        print_table(
            ("admin", *_STATUS_COLUMNS, "error"),
            [
                [row.get(key) for key in ("admin", *_STATUS_COLUMNS, "error")]
                for row in rows
            ],
        )
    if not responding:
        raise UnavailableError("no daemon responded")


def check(
    file: Annotated[str, typer.Argument(help="Tables or edit; - for stdin.")],
) -> None:
    """Check a file with tables, without a daemon."""
    tables = check_file(file)
    typer.echo(f"{len(tables.routes)} routes and {len(tables.pools)} pools are valid.")


def _status_row(client: AdminClient, address: str) -> dict[str, Any]:
    try:
        return {"admin": address, **client.get_from(address, "/v1/status")}
    except (FailedError, UnavailableError) as error:
        return {"admin": address, "error": str(error)}
