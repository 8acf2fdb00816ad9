"""Command that leads from the id of a request to its cause."""

import dataclasses
import json
import pathlib
from typing import Annotated

import typer

from vanillapitch_cli._explain import Account, explain_request, read_lines

__all__ = ["explain"]


def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[list[pathlib.Path], typer.Argument(help="Logs of the daemons.")],
    as_json: Annotated[
        bool, typer.Option("--json", help="Write one JSON object.")
    ] = False,
) -> None:
    """Say how a request ended and why, from the logs of all daemons."""
    lines = read_lines(logs, request_id=request_id)
    account = explain_request(request_id, lines)
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(account)))
    else:
        _print(account)
    if not account.lines:
        raise typer.Exit(1)


def _print(account: Account) -> None:
    typer.echo(account.sentence)
    first_ms = account.lines[0].at_ms if account.lines else 0
    for line in account.lines:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name != "request_id"
        )
        after_ms = line.at_ms - first_ms
        where = f"{line.part}/{line.event}"
        typer.echo(f"{after_ms:>7} ms  {line.source}  {where}  {fields}")
