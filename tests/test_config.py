"""A node's configuration: how it is read, and the errors for invalid input."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import pytest

from leadrudder.interface import (
    UNTOLD,
    Effect,
    ListKind,
    Outcome,
    Readiness,
    RepeatGroup,
    RequestClass,
    Settings,
)
from leadrudder.node.config import ConfigError, load_config
from leadrudder.node.lists import DiscoveryDecoder, EndpointListError
from leadrudder.node.node import Clock
from leadrudder.policy.attempts import Attempt, Request, permitted
from leadrudder.state.request_value import RequestValue
from tests.stubs import listing, row, settings


def _config(**changes: Any) -> dict[str, Any]:
    return {
        "name": "n3",
        "listen": "127.0.0.1:8000",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listing(41, row("s-1", "127.0.0.1:9000", "DRAINING", 12.0)),
        "settings": settings(),
        **changes,
    }


def _environment(tmp_path: Path, raw: Any) -> dict[str, str]:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    return {"NODE_NAME": "n3", "NODE_LISTEN": "127.0.0.1:0", "NODE_CONFIG": str(path)}


def test_environment_and_file_are_read_into_the_configuration(tmp_path: Path) -> None:
    config = load_config(_environment(tmp_path, _config()))
    assert config.listen == ("127.0.0.1", 0), "the environment overrides the file"
    assert config.discovery == ("127.0.0.1", 8500)
    assert config.seed == 0x8C1F30D27A5BE964
    assert config.settings.classes[1].effect is Effect.KEYED
    assert config.settings.ask_for_list and config.settings.may_probe
    assert config.settings.tenants[0].name == "acme"
    assert config.initial_endpoints is not None
    event = config.initial_endpoints.to_event(cached=True)
    assert (event.kind, event.version) == (ListKind.CACHED, 41)
    entry = event.entries[0]
    assert (entry.server, entry.readiness, entry.started_ms) == (b"s-1", Readiness.DRAINING, 12.0)


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"settings": None}, "settings"),
        ({"settings": settings(profiles=[])}, "profiles.count"),
        ({"settings": settings(profiles=[{"name": "x", "effect": "odd"}])}, "profiles.0.effect"),
        ({"settings": settings(tickMs="soon")}, "tickMs"),
        ({"settings": settings(policyLimits={"connIdleMs": -1})}, "connIdleMs"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {}}, "memory_mb"),
        ({"limits": {"memory_mb": 192, "sockets": 3}}, "sockets"),
        ({"discovery": "nowhere"}, "NODE_DISCOVERY"),
        ({"known": {"generation": 1}}, "known"),
    ],
)
def test_invalid_configuration_names_the_field(tmp_path: Path, changes: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError, match=field):
        load_config(_environment(tmp_path, _config(**changes)))


def test_missing_file_names_the_variable(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="NODE_CONFIG"):
        load_config({"NODE_CONFIG": str(tmp_path / "none.json")})
    with pytest.raises(ConfigError, match="NODE_CONFIG"):
        load_config({})


def test_tight_limits_are_accepted(tmp_path: Path) -> None:
    limits = {"cores": 0.5, "memory_mb": 48.0, "sockets": 32}
    got = load_config(_environment(tmp_path, _config(limits=limits))).limits
    assert (got.memory_mb, got.sockets) == (48, 32)


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {"generation": 1, "reset": True},
        {"generation": 1, "reset": True, "instances": [{}]},
        {"generation": 1, "reset": True, "instances": [row("a", "127.0.0.1:1", "ODD")]},
        {"generation": 1, "reset": True, "instances": [row("a", "nowhere")]},
    ],
)
def test_invalid_list_raises_endpoint_list_error(raw: Any) -> None:
    with pytest.raises(EndpointListError):
        DiscoveryDecoder((), ()).decode(raw)


def test_names_are_decoded_to_their_index_in_the_settings() -> None:
    decoder = DiscoveryDecoder(("north", "south"), ("std", "slow"))
    rows = [{**row("a", "h:1"), "zone": "south", "machineType": kind} for kind in ("slow", "odd", "std")]
    entries = decoder.decode(listing(1, *rows)).entries
    assert [entry.zone for entry in entries] == [1, 1, 1]
    assert len({entry.kind for entry in entries}) == 3
    assert (entries[0].kind, entries[2].kind) == (1, 0)


def test_clock_reads_unix_time_and_ignores_a_step_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Servers' start times are Unix time; a clock set back must not make a server look newer than it is."""
    clock = Clock()
    assert abs(clock.now() - 1000.0 * time.time()) < 1000.0
    before = clock.now()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock.now() >= before


def test_odd_list_is_accepted_with_one_warning_per_kind(caplog: pytest.LogCaptureFixture) -> None:
    rows = [row("a", "127.0.0.1:1"), row("b", "127.0.0.1:2"), row("a", "127.0.0.1:3", "DRAINING")]
    rows[1]["weight"] = float("inf")
    update = DiscoveryDecoder(("hall",), ("std",)).decode(listing(7, *rows))
    assert [entry.server for entry in update.entries] == [b"a", b"b", b"a"]
    assert [record.getMessage() for record in caplog.records] == [
        "discovery: 1 entries repeat a server; using the last one",
        "discovery: 1 entries have a weight that is not a positive number; using the minimum",
    ]


def test_list_without_zones_and_cells_has_no_locations() -> None:
    """Guards against treating two servers without a zone as members of the same zone.

    A keyed request was then retried from one on the other, and its effect could happen twice.
    """
    rows = [row("a", "127.0.0.1:1"), row("b", "127.0.0.1:2"), row("c", "127.0.0.1:3")]
    del rows[0]["zone"], rows[0]["cell"]
    rows[1]["zone"] = ""
    a, b, c = DiscoveryDecoder(("hall",), ("std",)).decode(listing(7, *rows)).entries
    assert (a.zone, b.zone, c.zone) == (UNTOLD, UNTOLD, 0) and a.cell == UNTOLD != b.cell
    for group in (RepeatGroup.ZONE, RepeatGroup.CELL):
        kind = RequestClass("move", 1000, 3000, effect=Effect.KEYED, group=group, window_ms=5000.0)
        for first, second, allowed in ((a, a, False), (a, b, False), (c, c, True)):
            request = Request(1, kind, 0, 0.0, 3000.0, RequestValue(1.0, 1.0, 1.0, False), 1, 0.5)
            request.attempts.append(Attempt(first, 0.0, outcome=Outcome.RESET))
            assert permitted(request, second, Settings(classes=(kind,)), 10.0) is allowed, (group, first)
