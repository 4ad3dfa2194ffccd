"""What came of the demonstration's requests, and whether the rules held. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

DRAIN_S = 0.3  # the grace of 250 ms and the protocol's tolerance


@dataclass
class Operation:
    """One request of a caller's, which is made once."""

    name: str
    outcome: str = "lost"  # until an answer is there
    latency_s: float = 0.0
    ran: int = 0  # effects on the servers


@dataclass
class Record:
    """All operations, and what servers saw too late."""

    operations: dict[str, Operation] = field(default_factory=dict)
    after_drain: int = 0

    def begin(self, identity: str, name: str) -> Operation:
        operation = self.operations[identity] = Operation(name)
        return operation

    def ran(self, identity: str) -> None:
        """A server begins an effect."""
        if identity in self.operations:
            self.operations[identity].ran += 1

    def arrived(self, told_s: float | None, now_s: float) -> None:
        """A request comes to a server; told_s: when its node was told that it drains."""
        if told_s is not None and now_s - told_s > DRAIN_S:
            self.after_drain += 1

    def broken(self) -> list[str]:
        """The rules that did not hold, in words."""
        operations = self.operations.values()
        lost = sum(o.outcome == "lost" for o in operations)
        doubled = sum(o.ran > 1 for o in operations)
        refused = sum(o.outcome == "refused" and o.name == "varaus" and o.ran > 0 for o in operations)
        untrue = sum(o.outcome == "served" and not o.ran for o in operations)
        found = [
            (lost, "requests without an answer"),
            (doubled, "effects that happened twice"),
            (refused, "bookings that were refused and had run"),
            (untrue, "requests served that no server ran"),
            (self.after_drain, "requests to a server that was told to drain"),
        ]
        return [f"{count} {what}" for count, what in found if count]

    def table(self) -> str:
        """A line for each class."""
        head = f"{'class':8} {'served':>7} {'refused':>8} {'failed':>7} {'doubled':>8} {'lost':>5}"
        lines = [f"{head}  p50 ms  p99 ms"]
        for name in sorted({o.name for o in self.operations.values()}):
            mine = [o for o in self.operations.values() if o.name == name]
            served = sorted(o.latency_s for o in mine if o.outcome == "served")
            count = {
                kind: sum(o.outcome == kind for o in mine) for kind in ("served", "refused", "failed", "lost")
            }
            doubled = sum(o.ran > 1 for o in mine)
            lines.append(
                f"{name:8} {count['served']:7} {count['refused']:8} {count['failed']:7} {doubled:8}"
                f" {count['lost']:5} {_part(served, 0.5):7.0f} {_part(served, 0.99):7.0f}"
            )
        return "\n".join(lines)

    def line(self) -> str:
        """What is known so far, in one line."""
        operations = self.operations.values()
        served, refused, failed = (
            sum(o.outcome == kind for o in operations) for kind in ("served", "refused", "failed")
        )
        return f"{served} served, {refused} refused, {failed} failed"


def _part(latencies: list[float], part: float) -> float:
    """Milliseconds that this part of the sorted latencies stays within."""
    return 1000.0 * latencies[min(len(latencies) - 1, int(part * len(latencies)))] if latencies else 0.0
