"""Reserved errors over MessagePack-RPC, and the outcome that a server's error stands for.

A reserved error is a map: "code" (one of the names below), "message" (human-readable) and, in a refusal
that gives a retry time, "retry_after" (seconds). The operator's file names the codes with which other
servers report a call that never ran.
"""

from __future__ import annotations

from dataclasses import dataclass

from leadrudder.interface import Outcome
from leadrudder.rpc.framing import NIL, MapPairs, pack, unpack

REFUSED = "refused"  # not served; safe to retry
FAILED = "failed"  # not served; the call may have run
FAULT = "fault"  # internal error of the node
NOT_RUN = "not_run"  # a server rejected the call before running it
BAD_REQUEST = "bad_request"
UNKNOWN_METHOD = "unknown_method"
DUPLICATE = "duplicate"  # the msgid or request id of a call that is still open


@dataclass(frozen=True, slots=True)
class ErrorFormat:
    """How servers report that a call never ran or is invalid: a code under the key `field` of a map."""

    field: str = "code"
    not_run: frozenset[str] = frozenset({NOT_RUN, REFUSED})
    rejected: frozenset[str] = frozenset({BAD_REQUEST, UNKNOWN_METHOD, DUPLICATE})


def encode_error(code: str, message: str, retry_after_ms: float = 0.0) -> bytes:
    """Encode a reserved error."""
    fields: dict[str, str | float] = {"code": code, "message": message}
    if retry_after_ms:
        fields["retry_after"] = round(retry_after_ms / 1000.0, 3)
    return pack(fields)


def outcome_of_error(raw: bytes, error_format: ErrorFormat) -> Outcome:
    """The outcome of a response by its error; an unreadable error counts as ERROR: the call may have run."""
    if raw == NIL:
        return Outcome.OK
    try:
        value = unpack(raw)
    except ValueError:
        return Outcome.ERROR
    code = value.get(error_format.field) if isinstance(value, MapPairs) else None
    if not isinstance(code, str):
        return Outcome.ERROR
    if code in error_format.not_run:
        return Outcome.FULL
    return Outcome.REJECTED if code in error_format.rejected else Outcome.ERROR
