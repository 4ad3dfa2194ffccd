"""Which class a request is of by its method and path, where the operator's file says so.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

SUBTREE_SUFFIX = "/*"  # a path that ends so takes all below it, and what stands before it


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of a method and a path are of a class, by its index in the settings."""

    method: str
    path: str
    class_index: int

    def takes(self, method: str, path: str) -> bool:
        return method == self.method and path_covers(self.path, path)


def path_covers(wide: str, narrow: str) -> bool:
    """Whether a route's path takes a request's path, or all that another route's path does."""
    if wide.endswith(SUBTREE_SUFFIX):
        return narrow == wide[: -len(SUBTREE_SUFFIX)] or narrow.startswith(wide[:-1])
    return wide == narrow


def match_class(routes: Sequence[Route], method: bytes, path: bytes) -> int | None:
    """The class index of the first route that takes a request; None where none does.

    method, path: as they came; the path without its query.
    """
    try:
        told = method.decode("ascii"), path.decode("ascii")
    except UnicodeDecodeError:
        return None  # a route's path holds plain characters only
    return next((route.class_index for route in routes if route.takes(*told)), None)
