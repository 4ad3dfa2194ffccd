"""The metrics of a process as text, one `name value` per line, read when requested."""

from __future__ import annotations

import resource
from collections.abc import Callable, Iterable, Mapping

ReadValue = Callable[[], float]
ReadLabelledValues = Callable[[], Mapping[str, float]]


def peak_memory_bytes() -> float:
    """The most memory that this process has had resident at once."""
    return 1024.0 * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


class Metrics:
    """Metrics by name.  Values are not stored here but read from where they are counted."""

    def __init__(self) -> None:
        self._metrics: dict[str, ReadValue] = {}
        self._labelled: dict[str, tuple[str, ReadLabelledValues]] = {}

    def add(self, name: str, read: ReadValue) -> None:
        """Add a metric.  Names of counters end in `_total`, those of gauges in their unit if there is one."""
        self._metrics[name] = read

    def add_labelled(self, name: str, label: str, read: ReadLabelledValues) -> None:
        """Add a metric with one value for each value of a label."""
        self._labelled[name] = label, read

    def text(self) -> bytes:
        return "".join(f"{line}\n" for line in sorted(self._lines())).encode()

    def _lines(self) -> Iterable[str]:
        for name, read in self._metrics.items():
            yield f"{name} {read():g}"
        for name, (label, read_all) in self._labelled.items():
            for value, number in read_all().items():
                yield f'{name}{{{label}="{value}"}} {number:g}'
