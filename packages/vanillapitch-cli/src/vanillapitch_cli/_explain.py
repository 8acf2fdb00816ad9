"""Reading of the daemons' log lines about a request and explanation of its outcome."""

import dataclasses
import json
import pathlib
from collections.abc import Iterable
from typing import Any

from vanillapitch_cli.exceptions import BadInputError

__all__ = ["Explanation", "LogLine", "explain_request", "read_lines"]

# Readable causes by the `outcome` that an ingress logs.
_CAUSE_BY_OUTCOME = {
    "deadline": "no endpoint answered before its deadline",
    "deadline_not_run": "no owner sent it to an endpoint before its deadline",
    "overloaded": "every owner asked had more waiting than it could serve in time",
    "no_endpoint": "no endpoint of its service was usable",
    "quarantined": "it had crashed several endpoints",
    "no_route": "no route of the current configuration matches it",
    "no_configuration": "the daemon had no configuration yet",
    "link_broken": "the link to its owner failed; the request may have been executed",
    "link_down": "the link to its owner was down, so the request was not sent",
    "connection_broken": "the endpoint's connection ended before a complete response",
    "connect_failed": "no connection to the endpoint could be opened",
    "answer_invalid": "the endpoint's response was invalid",
    "answer_timed_out": "the endpoint did not respond in time",
    "answer_unsigned": "the endpoint's successful response had no signature",
    "answer_encoded": "the endpoint's response had a content encoding",
    "not_executed": "the endpoint reported that it did not execute it",
    "down": "the endpoint was unreachable or not yet checked",
    "leaving": "the endpoint was leaving",
    "zone_out": "the endpoint's availability zone was out of service",
    "cold": "the endpoint was cold and its rate limit was reached",
    "stopped": "its daemon had to end before an endpoint had answered",
    "stopped_not_run": "its daemon had to end before an endpoint had accepted it",
    "rate_limited": "the endpoint was at the request rate that it names",
    "slow": "the endpoint was slow and no other endpoint was available",
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line about a request.

    Attributes
    ----------
    at_ms : int
        Wall time at the daemon.
    source : str
        Name of the file, and the text before the JSON object, if any.
    part, event : str
        Component of the daemon and name of the event.
    fields : dict
        Remaining fields of the line.
    """

    at_ms: int
    source: str
    part: str
    event: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Outcome of a request and its log lines.

    Attributes
    ----------
    request_id : str
        The request.
    sentence : str
        Its outcome and the cause.
    lines : tuple of LogLine
        Its lines from all daemons, in order of time.
    """

    request_id: str
    sentence: str
    lines: tuple[LogLine, ...]


def read_lines(paths: Iterable[pathlib.Path], *, request_id: str) -> list[LogLine]:
    """Read the lines about a request from log files.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Log files; text before the JSON object of a line becomes part of its source.
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
                    line = _parse_line(text, path=path, request_id=request_id)
                    if line is not None:
                        found.append(line)
        except OSError as error:
            message = f"cannot read {str(path)!r}: {error.strerror}"
            raise BadInputError(message) from error
    return sorted(found, key=lambda line: line.at_ms)


def explain_request(request_id: str, lines: list[LogLine]) -> Explanation:
    """Explain the outcome of a request in one sentence.

    Parameters
    ----------
    request_id : str
        Id of the request.
    lines : list of LogLine
        Its lines.

    Returns
    -------
    Explanation
        The sentence and the lines.
    """
    return Explanation(
        request_id=request_id,
        sentence=f"Request {request_id} {_describe_outcome(lines)}",
        lines=tuple(lines),
    )


def _parse_line(text: str, *, path: pathlib.Path, request_id: str) -> LogLine | None:
    start = text.find("{")
    if start < 0 or request_id not in text:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        # Other programs may write lines to the same file.
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


def _describe_outcome(lines: list[LogLine]) -> str:
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
    duration_text = f" after {fields['took_ms']} ms" if "took_ms" in fields else ""
    if outcome == "answered":
        return f"got status {status} from an endpoint{duration_text}."
    cause = _CAUSE_BY_OUTCOME.get(outcome, outcome)
    asked = ", ".join(fields.get("owners", [])) or "none"
    return f"got status {status}{duration_text}: {cause} (owners asked: {asked})."
