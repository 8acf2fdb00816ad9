"""WSGI application of the administration API."""

import hmac
import re
from collections.abc import Callable, Iterable
from typing import Any

from vanillapitch_daemon.admin._handlers import Handlers
from vanillapitch_daemon.admin._http import Problem, Request, Response
from vanillapitch_daemon.admin._ports import ConfigurationPort, NodePort
from vanillapitch_daemon.admin.exceptions import AdminUnavailableError
from vanillapitch_daemon.logs import get_log
from vanillapitch_daemon.metrics import Metrics

__all__ = ["create_app"]

_log = get_log("admin")

_UNAUTHENTICATED_PATHS = frozenset({"/healthz", "/readyz"})

Handler = Callable[[Request], Response]
Application = Callable[[dict[str, Any], Callable], Iterable[bytes]]


def create_app(
    *,
    node: NodePort,
    configuration: ConfigurationPort,
    metrics: Metrics,
    admin_token: str,
) -> Application:
    """Build the WSGI application.

    Parameters
    ----------
    node : NodePort
        State of the daemon and the known members.
    configuration : ConfigurationPort
        The tables, their history and their changes.
    metrics : Metrics
        Metrics of the daemon.
    admin_token : str
        Bearer token that requests must carry, except to the health paths.

    Returns
    -------
    callable
        The WSGI application.
    """
    handlers = Handlers(node=node, configuration=configuration, metrics=metrics)
    handlers_by_method_and_path = _routes(handlers)
    is_authorized = _token_check(admin_token)

    def application(environ: dict[str, Any], start_response: Callable):
        response = _respond(environ, handlers_by_method_and_path, is_authorized)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("Cache-Control", "no-store"),
            *response.headers,
        ]
        start_response(response.status_line, headers)
        return [response.body]

    return application


def _routes(handlers: Handlers) -> dict[re.Pattern, dict[str, Handler]]:
    return {
        re.compile(r"/healthz"): {"GET": handlers.get_health},
        re.compile(r"/readyz"): {"GET": handlers.get_readiness},
        re.compile(r"/metrics"): {"GET": handlers.get_metrics},
        re.compile(r"/v1/status"): {"GET": handlers.get_status},
        re.compile(r"/v1/members"): {"GET": handlers.get_members},
        re.compile(r"/v1/tables"): {
            "GET": handlers.get_tables,
            "PUT": handlers.put_tables,
        },
        re.compile(r"/v1/tables/history"): {"GET": handlers.get_history},
        re.compile(r"/v1/zones"): {"GET": handlers.get_zones},
        re.compile(r"/v1/zones/[^/]+"): {"PUT": handlers.put_zone},
        re.compile(r"/v1/backend"): {"PUT": handlers.put_backend},
    }


def _token_check(admin_token: str) -> Callable[[str], bool]:
    expected = f"Bearer {admin_token}".encode("latin-1", "replace")

    def is_authorized(header: str) -> bool:
        # A constant-time comparison prevents timing attacks on the token.
        return hmac.compare_digest(header.encode("latin-1", "replace"), expected)

    return is_authorized


def _respond(
    environ: dict[str, Any],
    routes: dict[re.Pattern, dict[str, Handler]],
    is_authorized: Callable[[str], bool],
) -> Response:
    path = environ.get("PATH_INFO", "")
    try:
        if path not in _UNAUTHENTICATED_PATHS:
            _require_token(environ, is_authorized)
        handler = _find_handler(routes, path=path, method=environ["REQUEST_METHOD"])
        return handler(_read_request(environ))
    except Problem as problem:
        return problem.response()
    except AdminUnavailableError as error:
        return Problem(status=503, code=error.code, detail=str(error)).response()
    except Exception:
        _log.exception("Request to the administration API failed", path=path)
        detail = "The daemon could not answer; its log says why."
        return Problem(status=500, code="internal_error", detail=detail).response()


def _require_token(
    environ: dict[str, Any], is_authorized: Callable[[str], bool]
) -> None:
    if is_authorized(environ.get("HTTP_AUTHORIZATION", "")):
        return
    _log.warning(
        "Refused a request without the right token",
        remote=environ.get("REMOTE_ADDR", ""),
        method=environ["REQUEST_METHOD"],
    )
    raise Problem(
        status=401,
        code="unauthorized",
        detail="The request needs the header Authorization: Bearer <admin_token>.",
        headers=(("WWW-Authenticate", "Bearer"),),
    )


def _find_handler(
    routes: dict[re.Pattern, dict[str, Handler]], *, path: str, method: str
) -> Handler:
    for pattern, handlers_by_method in routes.items():
        if pattern.fullmatch(path) is None:
            continue
        if method in handlers_by_method:
            return handlers_by_method[method]
        allowed = ", ".join(handlers_by_method)
        raise Problem(
            status=405,
            code="method_not_allowed",
            detail=f"The path {path} allows {allowed}.",
            headers=(("Allow", allowed),),
        )
    raise Problem(
        status=404, code="not_found", detail=f"The path {path} does not exist."
    )


def _read_request(environ: dict[str, Any]) -> Request:
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", ""),
        query=environ.get("QUERY_STRING", ""),
        body=environ["wsgi.input"].read(),
    )
