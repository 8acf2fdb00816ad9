"""Errors of the simulated store."""

from vanillapitch_core.exceptions import VanillapitchError

__all__ = [
    "CompactedError",
    "GatewayError",
    "InvalidRequestError",
    "LeaseNotFoundError",
    "StoreProcessError",
]


class GatewayError(VanillapitchError):
    """Base of errors that the gateway reports.

    Attributes
    ----------
    grpc_code : int
        gRPC status code.
    status : int
        HTTP status.
    """

    code = "gateway_error"
    grpc_code = 13
    status = 500


class InvalidRequestError(GatewayError):
    """The request is malformed or exceeds a limit."""

    code = "invalid_request"
    grpc_code = 3
    status = 400


class LeaseNotFoundError(GatewayError):
    """The request refers to a lease that does not exist."""

    code = "lease_not_found"
    grpc_code = 5
    status = 404

    def __init__(self):
        super().__init__("etcdserver: requested lease not found")


class CompactedError(GatewayError):
    """The requested events have been discarded.

    Parameters
    ----------
    compact_revision : int
        First revision whose events are available.
    """

    code = "compacted"
    grpc_code = 11
    status = 400

    def __init__(self, compact_revision: int):
        super().__init__("etcdserver: mvcc: required revision has been compacted")
        self.compact_revision = compact_revision


class StoreProcessError(VanillapitchError):
    """The store process did not start, or a request to its control address failed."""

    code = "store_process_error"
