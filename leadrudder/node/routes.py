"""Routes: the request class by method and path, as configured by the operator.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

SUBTREE_SUFFIX = "/*"  # a route path with this suffix matches the path before it and everything below


@dataclass(frozen=True, slots=True)
class Route:
    """Maps a method and a path to a request class, by its index in the settings."""

    method: str
    path: str
    class_index: int

    def matches(self, method: str, path: str) -> bool:
        return method == self.method and path_covers(self.path, path)


def path_covers(pattern: str, path: str) -> bool:
    """Whether a route's path matches a request's path, or everything that another route's path matches."""
    if pattern.endswith(SUBTREE_SUFFIX):
        return path == pattern[: -len(SUBTREE_SUFFIX)] or path.startswith(pattern[:-1])
    return pattern == path


def match_class(routes: Sequence[Route], method: bytes, path: bytes) -> int | None:
    """The class index of the first route that matches a request; None if none does.

    method, path: as received; the path without its query.
    """
    try:
        decoded = method.decode("ascii"), path.decode("ascii")
    except UnicodeDecodeError:
        return None  # route paths are ASCII
    return next((route.class_index for route in routes if route.matches(*decoded)), None)
