"""Reading, writing and checking of files with an operator's edit of the tables."""

import os
import pathlib
import sys
import tempfile

import msgspec
from vanillapitch_core.exceptions import TableError
from vanillapitch_core.tables import Pool, Route, Tables, check_tables, parse_tables

from vanillapitch_cli.exceptions import BadInputError

__all__ = [
    "Edit",
    "apply_edit",
    "check_file",
    "read_edit",
    "read_text",
    "write_edit",
    "write_new_edit",
]

_MAX_FILE_BYTES = 2 * 1_048_576


class Edit(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Operator's edit of one table or both.

    Attributes
    ----------
    base_revision : int or None
        Revision that the operator edited; None for the current one.
    routes : tuple of Route or None
        The complete routes table, when it is edited.
    pools : tuple of Pool or None
        The complete pools table, when it is edited.
    base : Tables or None
        The tables that the operator edited, in an edit that was saved after a failure.
        A rebase needs them.
    """

    base_revision: int | None = None
    routes: tuple[Route, ...] | None = None
    pools: tuple[Pool, ...] | None = None
    base: Tables | None = None


def read_edit(file: str, *, table: str) -> Edit:
    """Read an edit.

    Parameters
    ----------
    file : str
        Path, or ``-`` for standard input.
    table : str
        Table whose entries a file with a plain list contains.

    Returns
    -------
    Edit
        The validated edit.

    Raises
    ------
    BadInputError
        If the file cannot be read or a field is invalid.
    """
    content = read_text(file)
    if content.lstrip().startswith(b"["):
        content = b'{"%s": %s}' % (table.encode(), content)
    try:
        edit = msgspec.json.decode(content, type=Edit)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadInputError(_decode_reason(error)) from error
    if edit.routes is None and edit.pools is None:
        raise BadInputError("$: the file has neither routes nor pools")
    return edit


def read_text(file: str) -> bytes:
    """Read a file of at most 2 MiB.

    Parameters
    ----------
    file : str
        Path, or ``-`` for standard input.

    Returns
    -------
    bytes
        Its content.

    Raises
    ------
    BadInputError
        If the file cannot be read or is too large.
    """
    try:
        if file == "-":
            content = sys.stdin.buffer.read(_MAX_FILE_BYTES + 1)
        else:
            with open(file, "rb") as opened:
                content = opened.read(_MAX_FILE_BYTES + 1)
    except OSError as error:
        raise BadInputError(f"cannot read {file!r}: {error.strerror}") from error
    if len(content) > _MAX_FILE_BYTES:
        raise BadInputError(f"{file!r} is larger than 2 MiB")
    return content


def write_edit(file: pathlib.Path, edit: Edit) -> None:
    """Write an edit as indented JSON.

    Parameters
    ----------
    file : pathlib.Path
        File to write.
    edit : Edit
        The edit; fields without a value are left out.
    """
    content = {
        field: value
        for field in edit.__struct_fields__
        if (value := getattr(edit, field)) is not None
    }
    text = msgspec.json.format(msgspec.json.encode(content), indent=2)
    file.write_bytes(text + b"\n")


def write_new_edit(table: str, edit: Edit) -> pathlib.Path:
    """Write an edit to a new file in the temporary directory.

    Parameters
    ----------
    table : str
        Name of the table, for the file's name.
    edit : Edit
        The edit.

    Returns
    -------
    pathlib.Path
        The file, readable by its owner only.
    """
    descriptor, name = tempfile.mkstemp(prefix=f"vanillapitch-{table}-", suffix=".json")
    os.close(descriptor)
    file = pathlib.Path(name)
    write_edit(file, edit)
    return file


def apply_edit(tables: Tables, edit: Edit) -> Tables:
    """Return tables with an edit's routes and pools.

    Parameters
    ----------
    tables : Tables
        The tables to start from.
    edit : Edit
        The edit.

    Returns
    -------
    Tables
        The checked result.

    Raises
    ------
    BadInputError
        If the result is invalid, for example a route without its pool.
    """
    fields = {"routes": edit.routes, "pools": edit.pools}
    given = {name: value for name, value in fields.items() if value is not None}
    edited = msgspec.structs.replace(tables, **given)
    try:
        check_tables(edited)
    except TableError as error:
        raise BadInputError(str(error)) from error
    return edited


def check_file(file: str) -> Tables:
    """Check a tables document or an edit without a daemon.

    Parameters
    ----------
    file : str
        Path, or ``-`` for standard input.

    Returns
    -------
    Tables
        The tables in the file.

    Raises
    ------
    BadInputError
        If a field is invalid. References from routes to pools are checked only if the
        file has both tables.
    """
    content = read_text(file)
    try:
        keys = msgspec.json.decode(content, type=dict)
        is_edit = not {"routes", "pools"} <= keys.keys() or "base_revision" in keys
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadInputError(_decode_reason(error)) from error
    if not is_edit:
        try:
            return parse_tables(content)
        except TableError as error:
            raise BadInputError(str(error)) from error
    return _check_edit(content)


def _check_edit(content: bytes) -> Tables:
    try:
        edit = msgspec.json.decode(content, type=Edit)
    except msgspec.DecodeError as error:
        raise BadInputError(_decode_reason(error)) from error
    if edit.routes is not None and edit.pools is None:
        # The file has no pools, so every pool that a route names is assumed to exist.
        pool_names = dict.fromkeys(route.pool for route in edit.routes)
        pools = tuple(Pool(name=name, service=name) for name in pool_names)
        checked = apply_edit(Tables(pools=pools), edit)
        return msgspec.structs.replace(checked, pools=())
    return apply_edit(Tables(), edit)


def _decode_reason(error: Exception) -> str:
    reason, _, path = str(error).partition(" - at `")
    return f"{path.rstrip('`') or '$'}: {reason}"
