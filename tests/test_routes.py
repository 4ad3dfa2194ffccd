"""Request classes by route: the matching alone, and in a node."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest

from leadrudder.node.config import ConfigError, load_config
from leadrudder.node.routes import Route, match_class, path_covers
from tests.stubs import StubServer, reply, reset, row, run, running_node
from tests.test_config import _config, _environment

LOOK, MOVE, BOOK = range(3)
ROUTES = (
    Route("POST", "/varaus/*", BOOK),
    Route("POST", "/siirto/*", MOVE),
    Route("GET", "/*", LOOK),
)


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        (b"POST", b"/varaus/17", BOOK),
        (b"POST", b"/varaus", BOOK),
        (b"POST", b"/varaus/", BOOK),
        (b"POST", b"/varauskirja/1", None),
        (b"GET", b"/varaus/17", LOOK),
        (b"GET", b"/", LOOK),
        (b"PUT", b"/varaus/17", None),
        (b"POST", b"/", None),
        (b"POST", "/varaus/ä".encode(), None),
        (b"post", b"/varaus/17", None),
    ],
)
def test_first_matching_route_decides_the_class(method: bytes, path: bytes, expected: int | None) -> None:
    assert match_class(ROUTES, method, path) == expected


def test_subtree_path_covers_itself_and_everything_below() -> None:
    assert path_covers("/a/*", "/a") and path_covers("/a/*", "/a/b") and path_covers("/a/*", "/a/*")
    assert (
        not path_covers("/a/*", "/ab") and not path_covers("/a", "/a/b") and not path_covers("/a/b", "/a/*")
    )


def _send_request(routes: Sequence[Route], *args: Any, **kwargs: Any) -> tuple[int, int]:
    """The status of the response, and the number of requests that reached the server."""
    results: list[tuple[int, int]] = []

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), routes=tuple(routes)) as w,
        ):
            answer = await (await w.client()).ask(*args, **kwargs)
            results.append((answer.status, len(server.received)))

    run(main())
    return results[0]


@pytest.mark.parametrize(("kind", "target"), [("book", "/varaus/17?x=1"), ("move", "/siirto/17")])
def test_request_without_a_class_header_gets_its_routes_class(kind: str, target: str) -> None:
    """After a reset an unsafe request is not retried, a keyed one is."""
    results: list[tuple[int, int]] = []

    async def main() -> None:
        async with (
            StubServer([reset]) as one,
            StubServer([reset]) as other,
            running_node(row("a", one.address), row("b", other.address), routes=ROUTES) as w,
        ):
            answer = await (await w.client()).ask(kind, target=target, omitted_headers=("X-Class",))
            results.append((answer.status, len(one.received) + len(other.received)))

    run(main())
    assert results[0] == (502, 1) if kind == "book" else results[0][1] > 1, results


def test_class_header_that_contradicts_the_route_is_rejected() -> None:
    """An unsafe request that claims to be safe or keyed could be repeated."""
    assert _send_request(ROUTES, "move", target="/varaus/17") == (400, 0)
    assert _send_request(ROUTES, "look", method="POST", target="/varaus/17") == (400, 0)
    assert _send_request(ROUTES, "none", method="POST", target="/varaus/17") == (400, 0)
    extra = "X-Class: move\r\n"
    assert _send_request(ROUTES, "book", target="/varaus/17", extra=extra) == (400, 0)


def test_request_without_a_matching_route_gets_404() -> None:
    assert _send_request(ROUTES, "book", target="/muu") == (404, 0)


def test_key_that_contradicts_the_routes_class_is_rejected() -> None:
    assert _send_request(ROUTES, "move", target="/varaus/17", omitted_headers=("X-Class",)) == (400, 0)


def test_without_routes_the_class_header_decides() -> None:
    assert _send_request((), "book") == (200, 1)
    assert _send_request((), "book", omitted_headers=("X-Class",)) == (400, 0)
    assert _send_request((), "book", target="/varaus/17") == (404, 0)


@pytest.mark.parametrize(
    ("routes", "expected_error"),
    [
        ({}, "routes is not a list"),
        (["x"], "routes.0 is not an object"),
        ([{"method": "GET", "path": "/"}], "class is missing"),
        ([{"method": "GET", "path": 1, "class": "look"}], "path is missing or not of type str"),
        (
            [{"method": "GET", "path": "/", "class": "lok"}],
            "routes.0.class is no class of the settings: 'lok'",
        ),
    ],
)
def test_invalid_route_is_named_in_the_error(routes: Any, expected_error: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=expected_error):
        load_config(_environment(tmp_path, _config(routes=routes)))


def test_routes_are_read_in_file_order(tmp_path: Path) -> None:
    raw = [
        {"method": "POST", "path": "/varaus/*", "class": "book"},
        {"method": "GET", "path": "/*", "class": "look"},
    ]
    config = load_config(_environment(tmp_path, _config(routes=raw)))
    assert config.routes == (Route("POST", "/varaus/*", BOOK), Route("GET", "/*", LOOK))
