"""Classes by route: the decision alone, and a node that goes by it."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest

from leadrudder.node.config import ConfigError, load_config
from leadrudder.node.routes import Route, match_class, path_covers
from tests.stubs import StubServer, reply, reset, row, run, world
from tests.test_config import _config, _environment

LOOK, MOVE, BOOK = range(3)
ROUTES = (
    Route("POST", "/varaus/*", BOOK),
    Route("POST", "/siirto/*", MOVE),
    Route("GET", "/*", LOOK),
)


@pytest.mark.parametrize(
    ("method", "path", "index"),
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
def test_the_first_route_that_takes_a_request_names_its_class(
    method: bytes, path: bytes, index: int | None
) -> None:
    assert match_class(ROUTES, method, path) == index


def test_a_wide_path_covers_itself_and_what_is_below() -> None:
    assert path_covers("/a/*", "/a") and path_covers("/a/*", "/a/b") and path_covers("/a/*", "/a/*")
    assert (
        not path_covers("/a/*", "/ab") and not path_covers("/a", "/a/b") and not path_covers("/a/b", "/a/*")
    )


def _answer(routes: Sequence[Route], *args: Any, **kwargs: Any) -> tuple[int, int]:
    """The status of the answer, and how many requests came to the server."""
    told: list[tuple[int, int]] = []

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), routes=tuple(routes)) as w,
        ):
            answer = await (await w.caller()).ask(*args, **kwargs)
            told.append((answer.status, len(server.received)))

    run(main())
    return told[0]


@pytest.mark.parametrize(("kind", "target"), [("book", "/varaus/17?x=1"), ("move", "/siirto/17")])
def test_a_request_without_a_class_is_treated_as_its_routes(kind: str, target: str) -> None:
    """A booking that breaks off is not sent again, a change is."""
    told: list[tuple[int, int]] = []

    async def main() -> None:
        async with (
            StubServer([reset]) as one,
            StubServer([reset]) as other,
            world(row("a", one.address), row("b", other.address), routes=ROUTES) as w,
        ):
            answer = await (await w.caller()).ask(kind, target=target, drop=("X-Class",))
            told.append((answer.status, len(one.received) + len(other.received)))

    run(main())
    assert told[0] == (502, 1) if kind == "book" else told[0][1] > 1, told


def test_a_class_that_is_not_the_routes_reaches_no_server() -> None:
    """A booking that calls itself a look-up, or a change, would be repeated."""
    assert _answer(ROUTES, "move", target="/varaus/17") == (400, 0)
    assert _answer(ROUTES, "look", method="POST", target="/varaus/17") == (400, 0)
    assert _answer(ROUTES, "none", method="POST", target="/varaus/17") == (400, 0)
    extra = "X-Class: move\r\n"
    assert _answer(ROUTES, "book", target="/varaus/17", extra=extra) == (400, 0)


def test_a_request_that_no_route_takes_is_answered_404() -> None:
    assert _answer(ROUTES, "book", target="/muu") == (404, 0)


def test_a_key_that_does_not_fit_the_routes_class_is_turned_down() -> None:
    assert _answer(ROUTES, "move", target="/varaus/17", drop=("X-Class",)) == (400, 0)


def test_without_routes_requests_name_their_class_as_before() -> None:
    assert _answer((), "book") == (200, 1)
    assert _answer((), "book", drop=("X-Class",)) == (400, 0)
    assert _answer((), "book", target="/varaus/17") == (404, 0)


@pytest.mark.parametrize(
    ("routes", "says"),
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
def test_routes_that_cannot_be_used_are_named(routes: Any, says: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=says):
        load_config(_environment(tmp_path, _config(routes=routes)))


def test_routes_of_the_file_are_read_in_order(tmp_path: Path) -> None:
    raw = [
        {"method": "POST", "path": "/varaus/*", "class": "book"},
        {"method": "GET", "path": "/*", "class": "look"},
    ]
    config = load_config(_environment(tmp_path, _config(routes=raw)))
    assert config.routes == (Route("POST", "/varaus/*", BOOK), Route("GET", "/*", LOOK))
