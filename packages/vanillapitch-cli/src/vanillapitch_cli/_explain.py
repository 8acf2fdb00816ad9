"""Reading of daemons' log lines and the account of one request."""

import dataclasses
import json
import pathlib
from collections.abc import Iterable
from typing import Any

from vanillapitch_cli.exceptions import BadInputError

__all__ = ["Account", "LogLine", "explain_request", "read_lines"]

# How an ingress ends a request that no endpoint answered, as people say it.
_CAUSE_BY_OUTCOME = {
    "deadline": "no endpoint answered before its deadline",
    "deadline_not_run": "no owner had sent it to an endpoint before its deadline",
    "overloaded": "every owner asked had more waiting than it could serve in time",
    "no_endpoint": "no endpoint of its service was usable",
    "quarantined": "it crashed several endpoints before",
    "no_route": "no route of the version in force matches it",
    "no_configuration": "the daemon knew no configuration yet",
    "link_broken": "the connection to the owner broke while it may have run",
    "connection_broken": "the endpoint's connection ended before a whole answer",
    "connect_failed": "the endpoint could not be reached",
    "answer_invalid": "the endpoint's bytes were no answer to it",
    "answer_timed_out": "the endpoint gave no answer in time",
    "answer_unsigned": "the endpoint's success had no signature",
    "answer_encoded": "the endpoint's answer was encoded",
    "not_executed": "the endpoint said that it did not run it",
    "down": "the endpoint was unreachable or not checked yet",
    "leaving": "the endpoint was leaving",
    "zone_out": "the endpoint's availability zone was out of service",
    "cold": "the endpoint was cold and had its rate already",
    "slow": "the endpoint was slow at that moment and no other one was left",
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line about a request.

    Attributes
    ----------
    at_ms : int
        Wall time at the daemon.
    source : str
        File and, where the line has one, the text before it.
    part, event : str
        Part of the daemon and what happened.
    fields : dict
        The rest of the line.
    """

    at_ms: int
    source: str
    part: str
    event: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """What became of a request.

    Attributes
    ----------
    request_id : str
        The request.
    sentence : str
        How it ended and why.
    lines : tuple of LogLine
        Its lines over all daemons, in order.
    """

    request_id: str
    sentence: str
    lines: tuple[LogLine, ...]


def read_lines(paths: Iterable[pathlib.Path], *, request_id: str) -> list[LogLine]:
    """Read the lines about a request from log files.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Log files; text before the JSON object of a line is kept as its source.
    request_id : str
        Id of the request.

    Returns
    -------
    list of LogLine
        In order of their times.

    Raises
    ------
    BadInputError
        If a file cannot be read.
    """
    found = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    line = _parse(text, path=path, request_id=request_id)
                    if line is not None:
                        found.append(line)
        except OSError as error:
            message = f"cannot read {str(path)!r}: {error.strerror}"
            raise BadInputError(message) from error
    return sorted(found, key=lambda line: line.at_ms)


def explain_request(request_id: str, lines: list[LogLine]) -> Account:
    """Say in a sentence how a request ended.

    Parameters
    ----------
    request_id : str
        Id of the request.
    lines : list of LogLine
        Its lines.

    Returns
    -------
    Account
        The sentence with the lines.
    """
    return Account(
        request_id=request_id,
        sentence=f"Request {request_id} {_describe_end(lines)}",
        lines=tuple(lines),
    )


def _parse(text: str, *, path: pathlib.Path, request_id: str) -> LogLine | None:
    start = text.find("{")
    if start < 0 or request_id not in text:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        # Other programs may write to the same file.
        return None
    if fields.get("request_id") != request_id:
        return None
    before = text[:start].strip()
    return LogLine(
        at_ms=int(fields.pop("at_ms", 0)),
        source=f"{path.name} {before}".strip(),
        part=str(fields.pop("part", "")),
        event=str(fields.pop("event", "")),
        fields=fields,
    )


def _describe_end(lines: list[LogLine]) -> str:
    if not lines:
        return "has no line; its daemon may not have read it, or the line was dropped."
    last = next((line for line in reversed(lines) if line.event == "request"), None)
    if last is None:
        if any(line.event == "caller_left" for line in lines):
            return "was given up by its caller before it was answered."
        return "has lines of owners only; the log of its ingress is missing."
    fields = last.fields
    outcome = str(fields.get("outcome", ""))
    status = fields.get("status")
    took = f" after {fields['took_ms']} ms" if "took_ms" in fields else ""
    if outcome == "answered":
        return f"got status {status} from an endpoint{took}."
    cause = _CAUSE_BY_OUTCOME.get(outcome, outcome)
    asked = ", ".join(fields.get("owners", [])) or "none"
    return f"got status {status}{took}: {cause} (owners asked: {asked})."
