"""Sending changes, and finding the outcome of changes whose response was lost.

A change carries a unique id, so sending it again cannot apply it twice. Its id in the
tables or their history proves that it was accepted.
"""

import dataclasses
import enum
import time
from collections.abc import Callable
from typing import Any

import msgspec

from vanillapitch_cli._client import (
    AdminClient,
    NotSentError,
    Response,
    ResponseLostError,
)
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


class _Outcome(enum.Enum):
    ACCEPTED = enum.auto()
    REJECTED = enum.auto()
    UNKNOWN = enum.auto()


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
        Revision that the change replaces; None if it applies to the current one,
        whichever that is.
    is_in_force : callable or None
        Returns whether a tables document shows the effect of the change; None if only
        the change id proves it.
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
    """Result of sending a change once to each daemon in turn."""

    revision: int | None = None
    is_unknown: bool = False
    failures: tuple[str, ...] = ()


def submit(client: AdminClient, change: Change, *, settle_timeout_ms: int) -> int:
    """Send a change until its outcome is known or the time limit has passed.

    Parameters
    ----------
    client : AdminClient
        Client of the daemons.
    change : Change
        The change.
    settle_timeout_ms : int
        Time limit for finding the outcome of a change whose response was lost.

    Returns
    -------
    int
        Revision that holds the change.

    Raises
    ------
    BadInputError
        If the daemon rejects the tables.
    ConflictError
        If another change was applied first.
    UnknownOutcomeError
        If the outcome is not known within the time limit.
    UnavailableError
        If nothing was changed because no daemon or store responds.
    FailedError
        If a daemon rejects the request for another reason.
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
            response = client.put(address, change.path, change.body)
        except NotSentError as error:
            failures.append(str(error))
            continue
        except ResponseLostError:
            response = None
        is_unknown = is_unknown or response is None or response.status == 504
        revision = _handle_response(client, change, response, is_unknown=is_unknown)
        if revision is not None:
            return _Attempt(revision=revision)
        if response is not None:
            failures.append(f"{address}: {response.detail}")
    return _Attempt(is_unknown=is_unknown, failures=tuple(failures))


def _handle_response(
    client: AdminClient,
    change: Change,
    response: Response | None,
    *,
    is_unknown: bool,
) -> int | None:
    if response is not None and response.status == 200:
        tables = response.body.get("tables") or msgspec.to_builtins(client.tables())
        return tables["revision"]
    # After a lost response the change may already be in force, so a rejection of the
    # same change does not prove that it was not applied.
    if is_unknown:
        return _resolve_outcome(client, change, response)
    if response.status == 503:
        return None
    if response.status == 409:
        raise ConflictError(response.detail, problem=response.body)
    if response.status in (400, 413, 422):
        raise BadInputError(f"{response.body.get('path', '$')}: {response.detail}")
    raise FailedError(response.detail)


def _resolve_outcome(
    client: AdminClient, change: Change, response: Response | None
) -> int | None:
    outcome, revision = _find_outcome(client, change)
    if outcome is _Outcome.ACCEPTED:
        return revision
    if outcome is _Outcome.REJECTED:
        problem = response.body if response and response.status == 409 else {}
        raise ConflictError("Another change was applied first.", problem=problem)
    return None


def _find_outcome(client: AdminClient, change: Change) -> tuple[_Outcome, int]:
    tables = _newest_tables(client)
    revision = tables.get("revision", 0)
    if tables.get("change_id") == change.change_id:
        return _Outcome.ACCEPTED, revision
    if change.is_in_force is not None and tables and change.is_in_force(tables):
        return _Outcome.ACCEPTED, revision
    try:
        history = client.get(f"/v1/tables/history?limit={_HISTORY_LIMIT}")["history"]
    except (UnavailableError, FailedError):
        return _Outcome.UNKNOWN, 0
    ids_by_revision = {entry["revision"]: entry["change_id"] for entry in history}
    for known_revision, change_id in ids_by_revision.items():
        if change_id == change.change_id:
            return _Outcome.ACCEPTED, known_revision
    # A compare-and-swap against the base revision cannot succeed once that revision has
    # been replaced.
    if change.base_revision is not None:
        replaced_by = change.base_revision + 1
        if replaced_by in ids_by_revision:
            return _Outcome.REJECTED, replaced_by
    return _Outcome.UNKNOWN, 0


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
