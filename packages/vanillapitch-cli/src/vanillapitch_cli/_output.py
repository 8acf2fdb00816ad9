"""Readable tables and JSON on standard output."""

import datetime
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table
from rich.text import Text

__all__ = ["print_changes", "print_json", "print_table", "show_time"]

# A pipe has no width; cells must not be cut there.
_PIPE_COLUMNS = 400


def print_json(content: Any) -> None:
    """Print content as JSON with indentation.

    Parameters
    ----------
    content : Any
        Anything that msgspec encodes.
    """
    text = msgspec.json.format(msgspec.json.encode(content), indent=2)
    typer.echo(text.decode())


def print_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows under column names.

    Parameters
    ----------
    columns : sequence of str
        Column names.
    rows : iterable of sequence
        Cells in the order of the columns.
    """
    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(highlight=False, width=_PIPE_COLUMNS)
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column.upper().replace("_", " "), overflow="fold")
    for row in rows:
        table.add_row(*(Text(_cell(value)) for value in row))
    console.print(table)


def print_changes(entries: Iterable[dict], *, to_stderr: bool = False) -> None:
    """Print revisions and the fields that each changed.

    Parameters
    ----------
    entries : iterable of dict
        Entries of the history.
    to_stderr : bool
        Whether to print on standard error.
    """
    for entry in entries:
        moment = show_time(entry["changed_at_ms"])
        author = _printable(entry["author"])
        typer.echo(f"revision {entry['revision']} by {author}, {moment}", err=to_stderr)
        if entry["changes"] is None:
            typer.echo("  (the revision before it is not kept)", err=to_stderr)
        for change in entry["changes"] or ():
            before, after = _value(change["before"]), _value(change["after"])
            typer.echo(f"  {change['path']}: {before} -> {after}", err=to_stderr)


def show_time(wall_ms: int) -> str:
    """Return a wall time in readable form, in UTC.

    Parameters
    ----------
    wall_ms : int
        Milliseconds since the Unix epoch.

    Returns
    -------
    str
        The time with a precision of a second.
    """
    moment = datetime.datetime.fromtimestamp(wall_ms / 1000, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or "all"
    if isinstance(value, dict):
        return " ".join(f"{key}={count}" for key, count in value.items())
    return _printable(str(value))


def _value(value: Any) -> str:
    return "none" if value is None else msgspec.json.encode(value).decode()


def _printable(text: str) -> str:
    # An author's name comes from another operator and may hold terminal codes.
    return "".join(char if char.isprintable() else "?" for char in text)
