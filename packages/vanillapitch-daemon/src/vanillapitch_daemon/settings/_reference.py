"""Markdown reference of the settings, generated from the models."""

from typing import Any

import msgspec

from vanillapitch_daemon.settings._address import Address
from vanillapitch_daemon.settings._models import Settings

__all__ = ["settings_reference"]

_INTRODUCTION = """\
# Settings

`vanillapitchd --settings FILE` reads one JSON file. An unknown field, a wrong type, a
value out of bounds or a contradiction between fields ends the start with exit code 2
and one line that names the field. This page is generated from the models
(`python -m vanillapitch_daemon.settings`); a test compares.
"""
_HEADER = (
    "| field | type | default | bounds | meaning |\n| --- | --- | --- | --- | --- |"
)


def settings_reference() -> str:
    """Describe every field of the settings file in Markdown.

    Returns
    -------
    str
        The text of ``docs/settings.md``.
    """
    schema = msgspec.json.schema(Settings, schema_hook=_address_schema)
    models_by_ref = schema["$defs"]
    root = models_by_ref["Settings"]
    sections = [_INTRODUCTION]
    top_level_rows = []
    for name, field in root["properties"].items():
        model = _referenced_model(field, models_by_ref)
        if model is None:
            top_level_rows.append(_row(name, field, root))
        else:
            sections.append(_section(name, model))
    sections.append("\n".join(["## Top level\n", _HEADER, *top_level_rows]) + "\n")
    return "\n".join(sections)


def _address_schema(expected: type) -> dict[str, Any]:
    if expected is Address:
        return {"type": "IP:port"}
    raise NotImplementedError


def _referenced_model(field: dict, models_by_ref: dict) -> dict | None:
    for option in (field, *field.get("anyOf", ())):
        if "$ref" in option:
            return models_by_ref[option["$ref"].rpartition("/")[2]]
    return None


def _section(name: str, model: dict) -> str:
    rows = [_row(key, field, model) for key, field in model["properties"].items()]
    title = f"## `{name}`\n\n{model['description']}\n"
    return "\n".join([title, _HEADER, *rows]) + "\n"


def _row(name: str, field: dict, model: dict) -> str:
    merged = _merge_options(field)
    default = "required" if name in model["required"] else _code(merged.get("default"))
    cells = (
        f"`{name}`",
        _type_name(merged),
        default,
        _bounds(merged),
        merged.get("description", ""),
    )
    return "| " + " | ".join(cells) + " |"


def _merge_options(field: dict) -> dict:
    options = [option for option in field.get("anyOf", ()) if option["type"] != "null"]
    return {**field, **options[0]} if options else field


def _type_name(field: dict) -> str:
    if field["type"] == "array":
        return f"list of {_type_name(field['items'])}"
    return field["type"]


def _code(value: Any) -> str:
    return "none" if value is None else f"`{msgspec.json.encode(value).decode()}`"


def _bounds(field: dict) -> str:
    parts = []
    if "minimum" in field:
        parts.append(f"{field['minimum']} to {field['maximum']}")
    if "minLength" in field:
        parts.append(f"{field['minLength']} to {field['maxLength']} characters")
    if "maxItems" in field:
        parts.append(f"{field.get('minItems', 0)} to {field['maxItems']} entries")
    if "pattern" in field:
        parts.append("`" + field["pattern"].replace("|", "\\|") + "`")
    return ", ".join(parts)
