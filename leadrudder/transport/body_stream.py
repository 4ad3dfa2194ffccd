"""A body in parts, between two processes or within one: no more is sent than the receiver has asked for.

The receiver grants credit in bytes, as the flow control of HTTP/2 does. An empty part says that the body ends
here although it is not complete.
"""

from __future__ import annotations

from collections.abc import Callable

from leadrudder.transport.large_body import BodyReleasedError, LargeBody

PART_BYTES = 64 * 1024
WINDOW_BYTES = 256 * 1024  # that may be on their way to a receiver or wait there


class BodySender:
    """The sending end.  emit: sends a part."""

    def __init__(self, body: LargeBody, emit: Callable[[bytes], object]) -> None:
        self._body, self._emit = body, emit
        self._offset = 0
        self._credit = 0
        self._stopped = False

    @property
    def complete(self) -> bool:
        """Whether the whole body has been sent."""
        return self._offset >= self._body.size

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True

    def on_credit(self, credit_bytes: int) -> None:
        """The receiver asks for so many bytes more."""
        self._credit += credit_bytes
        while self._credit > 0 and not self.complete and not self._stopped:
            try:
                part = self._body.read(self._offset, min(PART_BYTES, self._credit))
            except BodyReleasedError:
                part = b""
                self._stopped = True
            self._offset += len(part)
            self._credit -= len(part)
            self._emit(part)


class BodyReceiver:
    """The receiving end of a body of a known size.  grant: asks the sender for bytes."""

    def __init__(self, size: int, grant: Callable[[int], object]) -> None:
        self.size = size
        self._grant = grant
        self._received = 0
        self._stopped = False
        self._on_data: Callable[[bytes], None] | None = None
        self._on_broken: Callable[[], None] | None = None

    @property
    def complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._received >= self.size

    def start(self, on_data: Callable[[bytes], None], on_broken: Callable[[], None]) -> None:
        """Ask for the body.  on_data: gets each part.  on_broken: called if no more can come."""
        if self._stopped:
            on_broken()
            return
        self._on_data, self._on_broken = on_data, on_broken
        self._grant(WINDOW_BYTES)

    def on_part(self, data: bytes) -> None:
        """A part has arrived."""
        if self._stopped or self._on_data is None:
            return
        if not data or self._received + len(data) > self.size:
            self.break_off()
            return
        self._received += len(data)
        self._on_data(data)

    def consumed(self, size: int) -> None:
        """Bytes that were received do not take room here any more."""
        if not self._stopped and not self.complete:
            self._grant(size)

    def break_off(self) -> None:
        """No more can come; no effect on a complete body."""
        if self._stopped or self.complete:
            return
        self._stopped = True
        if self._on_broken is not None:
            self._on_broken()

    def stop(self) -> None:
        """The rest is not wanted any more."""
        self._stopped = True
