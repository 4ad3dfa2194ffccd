"""Results of the demo requests, and the checks of the rules. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

DRAIN_DEADLINE_S = 0.3  # drain grace of 250 ms, plus a tolerance for the protocol


@dataclass
class Operation:
    """One request, which its caller sends once."""

    name: str
    outcome: str = "lost"  # until an answer arrives
    latency_s: float = 0.0
    executions: int = 0  # how many times servers executed it


@dataclass
class Record:
    """All operations, and the requests that arrived too long after an announced drain."""

    operations: dict[str, Operation] = field(default_factory=dict)
    requests_after_drain: int = 0

    def add_operation(self, request_id: str, name: str) -> Operation:
        operation = self.operations[request_id] = Operation(name)
        return operation

    def count_execution(self, request_id: str) -> None:
        """A server starts to execute a request."""
        if request_id in self.operations:
            self.operations[request_id].executions += 1

    def count_arrival(self, drain_announced_s: float | None, now_s: float) -> None:
        """A request arrives at a server; drain_announced_s: when the node was told that the server drains."""
        if drain_announced_s is not None and now_s - drain_announced_s > DRAIN_DEADLINE_S:
            self.requests_after_drain += 1

    def violations(self) -> list[str]:
        """Descriptions of the violated rules."""
        operations = self.operations.values()
        lost = sum(o.outcome == "lost" for o in operations)
        repeated = sum(o.executions > 1 for o in operations)
        refused_executed = sum(
            o.outcome == "refused" and o.name == "varaus" and o.executions > 0 for o in operations
        )
        served_unexecuted = sum(o.outcome == "served" and not o.executions for o in operations)
        checks = [
            (lost, "requests without an answer"),
            (repeated, "effects that happened twice"),
            (refused_executed, "bookings that were refused and had run"),
            (served_unexecuted, "requests served that no server ran"),
            (self.requests_after_drain, "requests to a server that was told to drain"),
        ]
        return [f"{count} {text}" for count, text in checks if count]

    def table(self) -> str:
        """A table of the results by request class."""
        head = f"{'class':8} {'served':>7} {'refused':>8} {'failed':>7} {'doubled':>8} {'lost':>5}"
        lines = [f"{head}  p50 ms  p99 ms"]
        for name in sorted({o.name for o in self.operations.values()}):
            of_class = [o for o in self.operations.values() if o.name == name]
            served = sorted(o.latency_s for o in of_class if o.outcome == "served")
            counts = {
                outcome: sum(o.outcome == outcome for o in of_class)
                for outcome in ("served", "refused", "failed", "lost")
            }
            doubled = sum(o.executions > 1 for o in of_class)
            lines.append(
                f"{name:8} {counts['served']:7} {counts['refused']:8} {counts['failed']:7} {doubled:8}"
                f" {counts['lost']:5} {_percentile_ms(served, 0.5):7.0f} {_percentile_ms(served, 0.99):7.0f}"
            )
        return "\n".join(lines)

    def progress_line(self) -> str:
        """The results so far in one line."""
        operations = self.operations.values()
        served, refused, failed = (
            sum(o.outcome == outcome for o in operations) for outcome in ("served", "refused", "failed")
        )
        return f"{served} served, {refused} refused, {failed} failed"


def _percentile_ms(sorted_latencies_s: list[float], fraction: float) -> float:
    """A percentile of the sorted latencies, in milliseconds."""
    return (
        1000.0 * sorted_latencies_s[min(len(sorted_latencies_s) - 1, int(fraction * len(sorted_latencies_s)))]
        if sorted_latencies_s
        else 0.0
    )
