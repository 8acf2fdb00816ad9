"""Command that explains the outcome of a request from its id."""

import dataclasses
import json
import pathlib
from typing import Annotated

import typer

from vanillapitch_cli._explain import Explanation, explain_request, read_lines

__all__ = ["explain"]


def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[list[pathlib.Path], typer.Argument(help="Logs of the daemons.")],
    as_json: Annotated[
        bool, typer.Option("--json", help="Write one JSON object.")
    ] = False,
) -> None:
    """Explain the outcome of a request from the logs of all daemons."""
    lines = read_lines(logs, request_id=request_id)
    explanation = explain_request(request_id, lines)
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(explanation)))
    else:
        _print_explanation(explanation)
    if not explanation.lines:
        raise typer.Exit(1)


def _print_explanation(explanation: Explanation) -> None:
    typer.echo(explanation.sentence)
    first_ms = explanation.lines[0].at_ms if explanation.lines else 0
    for line in explanation.lines:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name != "request_id"
        )
        after_ms = line.at_ms - first_ms
        where = f"{line.part}/{line.event}"
        typer.echo(f"{after_ms:>7} ms  {line.source}  {where}  {fields}")
