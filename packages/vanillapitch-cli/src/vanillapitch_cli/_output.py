"""Output of readable tables and JSON."""

import datetime
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table
from rich.text import Text

__all__ = ["format_time", "print_changes", "print_json", "print_table"]

# Output to a pipe has no width of its own, and its cells must not be folded.
_NON_TERMINAL_WIDTH = 400


def print_json(content: Any) -> None:
    """Print content as indented JSON.

    Parameters
    ----------
    content : Any
        Value that msgspec can encode.
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
        console = Console(highlight=False, width=_NON_TERMINAL_WIDTH)
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column.upper().replace("_", " "), overflow="fold")
    for row in rows:
        table.add_row(*(Text(_format_cell(value)) for value in row))
    console.print(table)


def print_changes(entries: Iterable[dict], *, to_stderr: bool = False) -> None:
    """Print revisions and the fields that each of them changed.

    Parameters
    ----------
    entries : iterable of dict
        Entries of the history.
    to_stderr : bool
        Whether to print on standard error.
    """
    for entry in entries:
        changed_at = format_time(entry["changed_at_ms"])
        author = _printable(entry["author"])
        typer.echo(
            f"revision {entry['revision']} by {author}, {changed_at}", err=to_stderr
        )
        if entry["changes"] is None:
            typer.echo("  (the previous revision is not kept)", err=to_stderr)
        for change in entry["changes"] or ():
            before, after = (
                _format_value(change["before"]),
                _format_value(change["after"]),
            )
            typer.echo(f"  {change['path']}: {before} -> {after}", err=to_stderr)


def format_time(wall_ms: int) -> str:
    """Return a wall time as text, in UTC.

    Parameters
    ----------
    wall_ms : int
        Milliseconds since the Unix epoch.

    Returns
    -------
    str
        The time to the second.
    """
    utc_time = datetime.datetime.fromtimestamp(wall_ms / 1000, tz=datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%SZ")


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or "all"
    if isinstance(value, dict):
        return " ".join(f"{key}={count}" for key, count in value.items())
    return _printable(str(value))


def _format_value(value: Any) -> str:
    return "none" if value is None else msgspec.json.encode(value).decode()


def _printable(text: str) -> str:
    # An author's name comes from another operator and may contain control codes.
    return "".join(char if char.isprintable() else "?" for char in text)
