"""The reserved errors of this program over MessagePack-RPC, and what a server's error says of its call.

An error of ours is a map: "code" (one of the names below), "message" (for people), and with a refusal
"retry_after" (seconds, where a time to come back is told). What other servers send as "never ran" is the
operator's to name.
"""

from __future__ import annotations

from dataclasses import dataclass

from leadrudder.interface import Outcome
from leadrudder.rpc.framing import NIL, Pairs, pack, unpack

REFUSED = "refused"  # not served, and trying again is harmless
FAILED = "failed"  # not served, and nothing is promised
FAULT = "fault"  # the node's own
NOT_RUN = "not_run"  # a server turned the call away before it ran
BAD_REQUEST = "bad_request"
UNKNOWN_METHOD = "unknown_method"
DUPLICATE = "duplicate"  # the msgid, or the id, of a call that is open


@dataclass(frozen=True, slots=True)
class Form:
    """How servers say that a call never ran, or is at fault itself: the text under `field` of a map."""

    field: str = "code"
    not_run: frozenset[str] = frozenset({NOT_RUN, REFUSED})
    rejected: frozenset[str] = frozenset({BAD_REQUEST, UNKNOWN_METHOD, DUPLICATE})


def error(code: str, message: str, retry_after_ms: float = 0.0) -> bytes:
    """The bytes of one of our errors."""
    fields: dict[str, str | float] = {"code": code, "message": message}
    if retry_after_ms:
        fields["retry_after"] = round(retry_after_ms / 1000.0, 3)
    return pack(fields)


def outcome(raw: bytes, form: Form) -> Outcome:
    """What the error of a response says; one that cannot be read is like any other: it may have run."""
    if raw == NIL:
        return Outcome.OK
    try:
        value = unpack(raw)
    except ValueError:
        return Outcome.ERROR
    code = value.get(form.field) if isinstance(value, Pairs) else None
    if not isinstance(code, str):
        return Outcome.ERROR
    if code in form.not_run:
        return Outcome.FULL
    return Outcome.REJECTED if code in form.rejected else Outcome.ERROR
