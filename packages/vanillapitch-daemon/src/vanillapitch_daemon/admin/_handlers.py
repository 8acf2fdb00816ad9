"""Request handlers of the administration API."""

import dataclasses
import uuid
from typing import Annotated, Any

import msgspec
from vanillapitch_core.exceptions import TableError
from vanillapitch_core.table_changes import difference
from vanillapitch_core.tables import Pool, Route, Tables, check_tables

from vanillapitch_daemon.admin._http import Problem, Request, Response, json_response
from vanillapitch_daemon.admin._ports import (
    BackendState,
    ChangeResult,
    ChangeStatus,
    ConfigurationPort,
    NodePort,
    TablesChange,
    ZoneChange,
)
from vanillapitch_daemon.admin.exceptions import AdminUnavailableError
from vanillapitch_daemon.metrics import Metrics

__all__ = ["Handlers"]

_HISTORY_LIMIT_DEFAULT = 20
_HISTORY_LIMIT_MAX = 200
_METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_PROBLEMS_BY_STATUS = {
    ChangeStatus.CONFLICT: (409, "conflict"),
    ChangeStatus.REJECTED: (422, "table_invalid"),
    ChangeStatus.UNAVAILABLE: (503, "store_unavailable"),
    ChangeStatus.UNKNOWN: (504, "outcome_unknown"),
}

ChangeId = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9-]{8,64}$")]
Author = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
ZoneName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _TablesBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    base_revision: Annotated[int, msgspec.Meta(ge=0)]
    change_id: ChangeId | None = None
    author: Author = "operator"
    routes: tuple[Route, ...] | None = None
    pools: tuple[Pool, ...] | None = None


class _ZoneBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    in_service: bool
    change_id: ChangeId | None = None
    author: Author = "operator"


class _BackendBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    state: BackendState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Handlers:
    """Request handlers, which use the ports of the other components.

    Attributes
    ----------
    node : NodePort
        State of the daemon and the known members.
    configuration : ConfigurationPort
        The tables, their history and their changes.
    metrics : Metrics
        Metrics of the daemon.
    """

    node: NodePort
    configuration: ConfigurationPort
    metrics: Metrics

    def get_health(self, request: Request) -> Response:
        """Report that the process is running."""
        return json_response({"status": "ok"})

    def get_readiness(self, request: Request) -> Response:
        """Report whether the daemon can serve callers."""
        reasons = self.node.unready_reasons()
        if reasons:
            return json_response({"status": "unready", "reasons": reasons}, status=503)
        return json_response({"status": "ready", "reasons": ()})

    def get_metrics(self, request: Request) -> Response:
        """Return all metrics in the Prometheus text format."""
        body = self.metrics.render()
        return Response(status=200, body=body, content_type=_METRICS_CONTENT_TYPE)

    def get_status(self, request: Request) -> Response:
        """Return the state of the daemon."""
        return json_response(self.node.status())

    def get_members(self, request: Request) -> Response:
        """Return the known members."""
        return json_response({"members": self.node.members()})

    def get_tables(self, request: Request) -> Response:
        """Return the current tables."""
        return json_response(self.configuration.tables())

    def get_history(self, request: Request) -> Response:
        """Return the last revisions with their changes, newest first."""
        limit = request.integer_parameter(
            "limit", default=_HISTORY_LIMIT_DEFAULT, maximum=_HISTORY_LIMIT_MAX
        )
        return json_response({"history": self._history(limit)})

    def put_tables(self, request: Request) -> Response:
        """Replace the routes, the pools or both."""
        body = request.decode(_TablesBody)
        if body.routes is not None and body.pools is not None:
            _check_tables(Tables(routes=body.routes, pools=body.pools))
        change = TablesChange(
            base_revision=body.base_revision,
            change_id=body.change_id or uuid.uuid4().hex,
            author=body.author,
            routes=body.routes,
            pools=body.pools,
        )
        result = self.configuration.apply(change)
        return self._change_response(result, change, base_revision=body.base_revision)

    def get_zones(self, request: Request) -> Response:
        """Return the zones that have members or are out of service."""
        zones_out = set(self.configuration.tables().zones_out)
        counts_by_zone = dict.fromkeys(zones_out, 0)
        for member in self.node.members():
            is_present = member.state not in ("left", "dead")
            counts_by_zone.setdefault(member.zone, 0)
            counts_by_zone[member.zone] += is_present
        zones = [
            {"zone": zone, "in_service": zone not in zones_out, "members": count}
            for zone, count in sorted(counts_by_zone.items())
        ]
        return json_response({"zones": zones})

    def put_zone(self, request: Request) -> Response:
        """Take a zone out of service or return it to service."""
        body = request.decode(_ZoneBody)
        change = ZoneChange(
            zone=_zone_name(request.path.rpartition("/")[2]),
            in_service=body.in_service,
            change_id=body.change_id or uuid.uuid4().hex,
            author=body.author,
        )
        return self._change_response(self.configuration.set_zone(change), change)

    def put_backend(self, request: Request) -> Response:
        """Apply the announcement of the backend server."""
        body = request.decode(_BackendBody)
        return json_response({"state": self.node.announce(body.state)})

    def _change_response(
        self,
        result: ChangeResult,
        change: TablesChange | ZoneChange,
        *,
        base_revision: int | None = None,
    ) -> Response:
        if result.status is ChangeStatus.ACCEPTED:
            return json_response(
                {
                    "status": result.status,
                    "change_id": change.change_id,
                    "tables": result.tables,
                }
            )
        status, code = _PROBLEMS_BY_STATUS[result.status]
        extension: dict[str, Any] = {"change_id": change.change_id}
        if result.status is ChangeStatus.CONFLICT:
            extension["current"] = result.tables
            extension["changes"] = self._changes_since(base_revision)
        if result.status is ChangeStatus.REJECTED:
            extension["path"] = result.path
        detail = result.reason or f"The change is {result.status.value}."
        raise Problem(status=status, code=code, detail=detail, **extension)

    def _changes_since(self, base_revision: int | None) -> list[dict] | None:
        if base_revision is None:
            return None
        try:
            entries = self._history(_HISTORY_LIMIT_DEFAULT)
        except AdminUnavailableError:
            # The conflict is reported without the changes that led to it.
            return None
        return [entry for entry in entries if entry["revision"] > base_revision]

    def _history(self, limit: int) -> list[dict]:
        documents = self.configuration.history(limit=limit + 1)
        # Revision 0 is empty and not stored, so it is added here.
        earlier = [*documents[1:], Tables()]
        entries = []
        for after, before in zip(documents, earlier, strict=True):
            is_consecutive = after.revision == before.revision + 1
            entries.append(
                {
                    "revision": after.revision,
                    "change_id": after.change_id,
                    "author": after.author,
                    "changed_at_ms": after.changed_at_ms,
                    "changes": _changes(before, after) if is_consecutive else None,
                }
            )
        return entries[:limit]


def _changes(before: Tables, after: Tables) -> list[dict]:
    return [
        {"path": change.path, "before": change.before, "after": change.after}
        for change in difference(before, after)
    ]


def _check_tables(tables: Tables) -> None:
    try:
        check_tables(tables)
    except TableError as error:
        raise Problem(
            status=422, code=error.code, detail=error.reason, path=error.path
        ) from error


def _zone_name(text: str) -> str:
    try:
        return msgspec.convert(text, ZoneName)
    except msgspec.ValidationError as error:
        raise Problem(
            status=422, code="table_invalid", detail=str(error), path="$.zone"
        ) from error
