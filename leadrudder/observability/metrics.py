"""A process's own figures as text, one `name value` a line, read at the time of asking."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

Read = Callable[[], float]
ReadLabelled = Callable[[], Mapping[str, float]]


class Metrics:
    """Figures by name.  Nothing is kept here: each is read from where it is counted."""

    def __init__(self) -> None:
        self._figures: dict[str, Read] = {}
        self._labelled: dict[str, tuple[str, ReadLabelled]] = {}

    def add(self, name: str, read: Read) -> None:
        """One figure.  Names end in `_total` for what only rises, and in its unit otherwise."""
        self._figures[name] = read

    def add_labelled(self, name: str, label: str, read: ReadLabelled) -> None:
        """One figure for each value of a label."""
        self._labelled[name] = label, read

    def text(self) -> bytes:
        return "".join(f"{line}\n" for line in sorted(self._lines())).encode()

    def _lines(self) -> Iterable[str]:
        for name, read in self._figures.items():
            yield f"{name} {read():g}"
        for name, (label, read_all) in self._labelled.items():
            for value, figure in read_all().items():
                yield f'{name}{{{label}="{value}"}} {figure:g}'
