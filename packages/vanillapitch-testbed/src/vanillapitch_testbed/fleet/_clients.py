"""Clients of the control interfaces and of the administration API."""

import urllib3

from vanillapitch_testbed.fleet.exceptions import FleetError

__all__ = ["admin_request", "control_request"]

_TIMEOUT_S = 10.0
_pool = urllib3.PoolManager(maxsize=8, retries=False)


def control_request(address: str, method: str, path: str, document=None):
    """Call the control interface of a backend server or proxy.

    Parameters
    ----------
    address : str
        Control address as ``IP:port``.
    method, path : str
        Request method and target.
    document : object, optional
        JSON body.

    Returns
    -------
    object
        The decoded JSON response.

    Raises
    ------
    FleetError
        If there is no response, or its status is not 200.
    """
    try:
        response = _pool.request(
            method, f"http://{address}{path}", json=document, timeout=_TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError as error:
        raise FleetError(f"{method} {address}{path}: {error}") from error
    if response.status != 200:
        text = response.data.decode(errors="replace")
        raise FleetError(f"{method} {address}{path}: {response.status} {text}")
    return response.json()


def admin_request(
    address: str,
    method: str,
    path: str,
    *,
    token: str,
    document=None,
    timeout_s: float = _TIMEOUT_S,
) -> urllib3.BaseHTTPResponse:
    """Call a daemon's administration API and return its response.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If there is no response within the timeout.
    """
    return _pool.request(
        method,
        f"http://{address}{path}",
        json=document,
        headers={"Authorization": f"Bearer {token}"},
        timeout=timeout_s,
    )
