"""Sending of changes, and settling of changes whose answer was lost.

A change carries a unique id, so sending it again cannot apply it twice, and its id in
the tables or their history proves that it was accepted.
"""

import dataclasses
import enum
import time
from collections.abc import Callable
from typing import Any

import msgspec

from vanillapitch_cli._client import AdminClient, Answer, AnswerLostError, NotSentError
from vanillapitch_cli.exceptions import (
    BadInputError,
    ConflictError,
    FailedError,
    UnavailableError,
    UnknownOutcomeError,
)

__all__ = ["Change", "submit"]

_RETRY_DELAY_S = 0.5
_HISTORY_LIMIT = 200


class _Evidence(enum.Enum):
    ACCEPTED = enum.auto()
    REJECTED = enum.auto()
    NONE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change to send.

    Attributes
    ----------
    path : str
        Path of the administration API.
    body : dict
        Body with ``change_id``.
    base_revision : int or None
        Revision that the change replaces; None for a change of whatever is in force.
    is_in_force : callable or None
        Tells from a tables document whether its effect is in force; None when only the
        change id is proof.
    """

    path: str
    body: dict[str, Any]
    base_revision: int | None = None
    is_in_force: Callable[[dict], bool] | None = None

    @property
    def change_id(self) -> str:
        """Unique id of the change."""
        return self.body["change_id"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Attempt:
    """Result of sending a change to each daemon once."""

    revision: int | None = None
    is_unknown: bool = False
    failures: tuple[str, ...] = ()


def submit(client: AdminClient, change: Change, *, settle_timeout_ms: int) -> int:
    """Send a change until its outcome is certain or the time is over.

    Parameters
    ----------
    client : AdminClient
        Client of the daemons.
    change : Change
        The change.
    settle_timeout_ms : int
        Upper bound of the time for settling a lost answer.

    Returns
    -------
    int
        Revision that holds the change.

    Raises
    ------
    BadInputError
        If the daemon rejects the tables.
    ConflictError
        If another change came first.
    UnknownOutcomeError
        If the outcome cannot be settled in time.
    UnavailableError
        If nothing was changed because no daemon or store answers.
    FailedError
        If a daemon refuses the request for another reason.
    """
    deadline = time.monotonic() + settle_timeout_ms / 1000
    is_unknown = False
    while True:
        attempt = _send_to_each(client, change, is_unknown=is_unknown)
        if attempt.revision is not None:
            return attempt.revision
        is_unknown = attempt.is_unknown
        if not is_unknown:
            reasons = "; ".join(attempt.failures)
            raise UnavailableError(f"Nothing was changed. {reasons}")
        if time.monotonic() >= deadline:
            raise UnknownOutcomeError(
                "It is unknown whether the change is in force; "
                f"its id is {change.change_id}."
            )
        time.sleep(_RETRY_DELAY_S)


def _send_to_each(client: AdminClient, change: Change, *, is_unknown: bool) -> _Attempt:
    failures = []
    for address in client.addresses:
        try:
            answer = client.put(address, change.path, change.body)
        except NotSentError as error:
            failures.append(str(error))
            continue
        except AnswerLostError:
            answer = None
        is_unknown = is_unknown or answer is None or answer.status == 504
        revision = _conclude(client, change, answer, is_unknown=is_unknown)
        if revision is not None:
            return _Attempt(revision=revision)
        if answer is not None:
            failures.append(f"{address}: {answer.detail}")
    return _Attempt(is_unknown=is_unknown, failures=tuple(failures))


def _conclude(
    client: AdminClient,
    change: Change,
    answer: Answer | None,
    *,
    is_unknown: bool,
) -> int | None:
    if answer is not None and answer.status == 200:
        tables = answer.body.get("tables") or msgspec.to_builtins(client.tables())
        return tables["revision"]
    # Once an answer was lost, a refusal of the same change proves nothing.
    if is_unknown:
        return _settle(client, change, answer)
    if answer.status == 503:
        return None
    if answer.status == 409:
        raise ConflictError(answer.detail, problem=answer.body)
    if answer.status in (400, 413, 422):
        raise BadInputError(f"{answer.body.get('path', '$')}: {answer.detail}")
    raise FailedError(answer.detail)


def _settle(client: AdminClient, change: Change, answer: Answer | None) -> int | None:
    evidence, revision = _find_evidence(client, change)
    if evidence is _Evidence.ACCEPTED:
        return revision
    if evidence is _Evidence.REJECTED:
        problem = answer.body if answer and answer.status == 409 else {}
        raise ConflictError("Another change came first.", problem=problem)
    return None


def _find_evidence(client: AdminClient, change: Change) -> tuple[_Evidence, int]:
    tables = _newest_tables(client)
    revision = tables.get("revision", 0)
    if tables.get("change_id") == change.change_id:
        return _Evidence.ACCEPTED, revision
    if change.is_in_force is not None and tables and change.is_in_force(tables):
        return _Evidence.ACCEPTED, revision
    try:
        history = client.get(f"/v1/tables/history?limit={_HISTORY_LIMIT}")["history"]
    except (UnavailableError, FailedError):
        return _Evidence.NONE, 0
    ids_by_revision = {entry["revision"]: entry["change_id"] for entry in history}
    for known_revision, change_id in ids_by_revision.items():
        if change_id == change.change_id:
            return _Evidence.ACCEPTED, known_revision
    # A swap against the base revision cannot succeed after that revision is replaced.
    if change.base_revision is not None:
        replaced_by = change.base_revision + 1
        if replaced_by in ids_by_revision:
            return _Evidence.REJECTED, replaced_by
    return _Evidence.NONE, 0


def _newest_tables(client: AdminClient) -> dict[str, Any]:
    newest: dict[str, Any] = {}
    for address in client.addresses:
        try:
            tables = client.get_from(address, "/v1/tables")
        except (UnavailableError, FailedError):
            continue
        if tables.get("revision", 0) >= newest.get("revision", 0):
            newest = tables
    return newest
