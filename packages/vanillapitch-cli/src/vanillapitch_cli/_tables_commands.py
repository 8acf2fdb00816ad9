"""Commands of the routes table and the pools table."""

import os
import pathlib
import shlex
import subprocess
import uuid
from typing import Annotated

import msgspec
import typer
from vanillapitch_core.exceptions import TableError
from vanillapitch_core.table_changes import EditConflictError, difference, rebase
from vanillapitch_core.tables import Pool, Route, Tables

from vanillapitch_cli._changes import Change, submit
from vanillapitch_cli._client import AdminClient
from vanillapitch_cli._documents import (
    Edit,
    apply_edit,
    read_edit,
    write_edit,
    write_new_edit,
)
from vanillapitch_cli._output import print_changes, print_json, print_table
from vanillapitch_cli._session import Session, get_session
from vanillapitch_cli.exceptions import (
    BadInputError,
    CliError,
    ConflictError,
    FailedError,
)

__all__ = ["create_table_commands"]

_MODELS_BY_TABLE = {"routes": Route, "pools": Pool}

JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def create_table_commands(table: str) -> typer.Typer:
    """Build the commands of one table.

    Parameters
    ----------
    table : str
        ``routes`` or ``pools``.

    Returns
    -------
    typer.Typer
        The command group.
    """
    commands = typer.Typer(help=f"Show and change the {table} table.")

    @commands.command()
    def show(
        context: typer.Context,
        name: Annotated[str | None, typer.Argument(help="Show only this one.")] = None,
        as_json: JsonOption = False,
    ) -> None:
        """Show the table; the JSON form is accepted by apply."""
        tables = get_session(context).client().tables()
        items = _select_entries(table, tables, name)
        if as_json:
            print_json({"base_revision": tables.revision, table: items})
            return
        columns = _MODELS_BY_TABLE[table].__struct_fields__
        rows = [[getattr(item, column) for column in columns] for item in items]
        print_table(columns, rows)
        typer.echo(f"revision {tables.revision}")

    @commands.command()
    def edit(context: typer.Context) -> None:
        """Edit the table with $VISUAL or $EDITOR and apply the edit."""
        session = get_session(context)
        client = session.client()
        base = client.tables()
        file = _edit_in_file(table, base)
        edit = _read_saved_edit(file, table=table)
        if edit.base_revision != base.revision:
            raise BadInputError(
                f"$.base_revision: must stay {base.revision}; "
                f"the edit is saved in {file}"
            )
        edit = msgspec.structs.replace(edit, base=base)
        _apply_or_save(client, session, edit, base=base, table=table, file=file)
        file.unlink(missing_ok=True)

    @commands.command()
    def apply(
        context: typer.Context,
        file: Annotated[str, typer.Argument(help="File with an edit; - for stdin.")],
        rebase_edit: Annotated[
            bool,
            typer.Option(
                "--rebase",
                help="Re-apply a saved edit to the current tables, "
                "if they changed other fields only.",
            ),
        ] = False,
    ) -> None:
        """Apply a file with the complete table."""
        session = get_session(context)
        client = session.client()
        edit = read_edit(file, table=table)
        current = client.tables()
        if rebase_edit:
            edit = _rebase_edit(edit, current, file=file)
        base = edit.base or current
        if edit.base_revision in (None, current.revision):
            base = current
        saved_file = None if file == "-" else pathlib.Path(file)
        _apply_or_save(client, session, edit, base=base, table=table, file=saved_file)

    @commands.command()
    def history(
        context: typer.Context,
        limit: Annotated[int, typer.Option(min=1, max=200, help="Revisions.")] = 20,
        as_json: JsonOption = False,
    ) -> None:
        """Show who changed what in the table."""
        path = f"/v1/tables/history?limit={limit}"
        entries = get_session(context).client().get(path)["history"]
        entries = [_filter_changes(entry, table) for entry in entries]
        entries = [entry for entry in entries if entry["changes"] != []]
        if as_json:
            print_json({"history": entries})
        else:
            print_changes(entries)

    return commands


def _select_entries(table: str, tables: Tables, name: str | None) -> list[Route | Pool]:
    items = list(getattr(tables, table))
    if name is None:
        return items
    items = [item for item in items if item.name == name]
    if not items:
        raise FailedError(f"no entry {name!r} in {table}")
    return items


def _filter_changes(entry: dict, table: str) -> dict:
    if entry["changes"] is None:
        return entry
    prefix = f"$.{table}["
    changes = [item for item in entry["changes"] if item["path"].startswith(prefix)]
    return {**entry, "changes": changes}


def _edit_in_file(table: str, base: Tables) -> pathlib.Path:
    editor = os.environ.get("VISUAL") or os.environ.get("EDITOR")
    if not editor:
        raise BadInputError("no editor: set VISUAL or EDITOR")
    edit = Edit(base_revision=base.revision, **{table: getattr(base, table)})
    file = write_new_edit(table, edit)
    try:
        finished = subprocess.run([*shlex.split(editor), str(file)], check=False)
    except OSError as error:
        file.unlink()
        raise BadInputError(f"cannot start {editor!r}: {error.strerror}") from error
    if finished.returncode != 0:
        raise FailedError(
            f"{editor!r} exited with {finished.returncode}; the edit is saved in {file}"
        )
    return file


def _read_saved_edit(file: pathlib.Path, *, table: str) -> Edit:
    try:
        return read_edit(str(file), table=table)
    except BadInputError as error:
        raise BadInputError(f"{error}; the edit is saved in {file}") from error


def _rebase_edit(edit: Edit, current: Tables, *, file: str) -> Edit:
    if edit.base is None:
        raise BadInputError(
            f"$.base: missing; {file} is not an edit saved by this command"
        )
    edited = apply_edit(edit.base, edit)
    try:
        merged = rebase(base=edit.base, edited=edited, current=current)
    except EditConflictError as error:
        raise ConflictError(
            f"The edit cannot be rebased: {error}", problem={}
        ) from error
    except TableError as error:
        raise BadInputError(f"after the rebase, {error}") from error
    return Edit(
        base_revision=current.revision,
        routes=merged.routes if edit.routes is not None else None,
        pools=merged.pools if edit.pools is not None else None,
        base=current,
    )


def _apply_or_save(
    client: AdminClient,
    session: Session,
    edit: Edit,
    *,
    base: Tables,
    table: str,
    file: pathlib.Path | None,
) -> None:
    try:
        _apply(client, session, edit, base=base)
    except CliError as error:
        saved_file = _save_edit(edit, table=table, file=file)
        if isinstance(error, ConflictError):
            _explain_conflict(error, edit, table=table, saved_file=saved_file)
        error.add_note(f"The edit is saved in {saved_file}")
        raise


def _apply(client: AdminClient, session: Session, edit: Edit, *, base: Tables) -> None:
    base_revision = base.revision if edit.base_revision is None else edit.base_revision
    if base_revision == base.revision:
        edited = apply_edit(base, edit)
        changes = difference(base, edited)
        if not changes:
            typer.echo(f"Nothing to change; revision {base.revision} is in force.")
            return
    else:
        # The tables of the base revision are not available here. The daemon rejects the
        # change and returns the conflict.
        changes = ()
    body = {
        "base_revision": base_revision,
        "change_id": uuid.uuid4().hex,
        "author": session.author_name(),
    }
    body |= {
        name: value
        for name in ("routes", "pools")
        if (value := getattr(edit, name)) is not None
    }
    change = Change(path="/v1/tables", body=body, base_revision=base_revision)
    revision = submit(client, change, settle_timeout_ms=session.settle_timeout_ms)
    typer.echo(f"Applied as revision {revision}.")
    for item in changes:
        typer.echo(f"  {item.path}")


def _save_edit(edit: Edit, *, table: str, file: pathlib.Path | None) -> pathlib.Path:
    if file is None:
        return write_new_edit(table, edit)
    if edit.base is not None:
        write_edit(file, edit)
    return file


def _explain_conflict(
    error: ConflictError, edit: Edit, *, table: str, saved_file: pathlib.Path
) -> None:
    entries = error.problem.get("changes")
    current = error.problem.get("current")
    if entries:
        typer.echo("Changed since the revision that the edit is based on:", err=True)
        print_changes(entries, to_stderr=True)
    if edit.base is None or not current:
        return
    try:
        edited = apply_edit(edit.base, edit)
        rebase(base=edit.base, edited=edited, current=msgspec.convert(current, Tables))
    except EditConflictError as conflict:
        typer.echo(f"Overlap: {conflict}. Edit the table again.", err=True)
    except (TableError, BadInputError) as broken:
        typer.echo(f"Both edits together are invalid: {broken}", err=True)
    else:
        typer.echo("The edit touches other fields. Re-apply it with:", err=True)
        typer.echo(f"  vanillapitch {table} apply {saved_file} --rebase", err=True)
