"""The operator's file for MessagePack-RPC: each error is reported in one line that names the field."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadrudder.cli import main
from leadrudder.interface import Effect, RequestClass, Settings, Tenant
from leadrudder.rpc.config import RpcConfigError, read_rpc_config

# Hypothesis derives its draws from the source text of a property test: the names used there stay as they are.
from leadrudder.rpc.config import parse_rpc_config as parse

ROOT = Path(__file__).parent.parent.parent
SETTINGS = Settings(
    classes=(
        RequestClass("haku", 1000, 3000),
        RequestClass("varaus", 1000, 3000, effect=Effect.UNSAFE),
        RequestClass("siirto", 1000, 3000, effect=Effect.KEYED, window_ms=5000.0),
    ),
    tenants=(Tenant("kampaamo", 1.0, 10.0),),
)
GOOD: dict[str, Any] = {"method": [{"name": "varaa", "class": "varaus"}]}


def test_example_file_is_valid_and_contains_every_table() -> None:
    config = read_rpc_config(str(ROOT / "deploy" / "rpc.toml"), SETTINGS)
    assert config.upstream is not None and len(config.listen) == 2 and len(config.methods) == 3
    raw = tomllib.loads((ROOT / "deploy" / "rpc.toml").read_text())
    assert set(raw) == {"front", "method", "meta", "defaults", "upstream", "limits", "errors"}


def test_servers_speak_http_without_an_upstream_table() -> None:
    config = parse(GOOD, SETTINGS)
    assert config.upstream is None and config.listen == () and config.metadata.location == "last"


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"method": []}, "method: at least one"),
        ({"method": {}}, "method: at least one"),
        ({"method": [1]}, "method.0 is not a table"),
        ({"method": [{"class": "varaus"}]}, "method.0.name is missing"),
        ({"method": [{"name": "a", "class": "varaukset"}]}, "method.0.class is not a class"),
        ({"method": [{"name": "a", "class": "haku"}] * 2}, "method.1.name is mapped twice"),
        ({"method": [{"name": "a", "class": "haku", "retry": True}]}, "method.0.retry is unknown"),
        ({"method": [{"name": "a", "class": "haku", "target": "/other"}]}, "method.0.target is not a path"),
        ({"method": [{"name": "a", "class": "haku", "target": "/api/a b"}]}, "method.0.target is not a path"),
        ({"front": 1}, "front is not a table"),
        ({"front": {"listen": "x:1"}}, "front.listen is not a list"),
        ({"front": {"listen": ["x"]}}, "front.listen.0 is neither"),
        ({"front": {"listen": ["x:99999"]}}, "front.listen.0 is neither"),
        ({"front": {"listen": ["unix:"]}}, "front.listen.0 is neither"),
        ({"front": {"open_each": 0}}, "front.open_each is not an integer"),
        ({"front": {"open_each": True}}, "front.open_each is not an integer"),
        ({"front": {"opn_each": 1}}, "front.opn_each is unknown"),
        ({"meta": {"where": "middle"}}, "meta.where is not one of"),
        ({"meta": {"where": "positions", "id": -1}}, "meta.id is not an integer"),
        ({"meta": {"where": "positions", "id": 1, "key": 1}}, "meta: two fields"),
        ({"meta": {"id": 1}}, "meta.id is not a string"),
        ({"defaults": {"tenant": "other"}}, "defaults.tenant is not a tenant"),
        ({"defaults": {"deadline_s": -1}}, "defaults.deadline_s is not a number"),
        ({"defaults": {"deadline_s": 4000}}, "defaults.deadline_s is more than"),
        ({"upstream": {"window": 0}}, "upstream.window is not an integer"),
        ({"upstream": {"silence_s": 0}}, "upstream.silence_s is not above 0"),
        ({"upstream": {"silence_s": float("inf")}}, "upstream.silence_s is not a number"),
        ({"upstream": {}, "errors": {"not_run": "x"}}, "errors.not_run is not a list"),
        ({"limits": {"size": 10}}, "limits.size is not an integer"),
        ({"limits": {"depth": 1}}, "limits.depth is not an integer"),
        ({"upstreams": {}}, "upstreams is unknown"),
    ],
)
def test_invalid_file_is_rejected_by_field(change: dict[str, Any], text: str) -> None:
    with pytest.raises(RpcConfigError) as caught:
        parse({**GOOD, **change}, SETTINGS)
    assert str(caught.value).startswith(text) and "\n" not in str(caught.value)


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    "front",
                    "method",
                    "meta",
                    "defaults",
                    "upstream",
                    "limits",
                    "errors",
                    "listen",
                    "name",
                    "class",
                ]
                + ["class", "where", "id", "window", "connections", "size", "not_run", "tenant", "deadline_s"]
            ),
            inner,
            max_size=5,
        ),
        max_leaves=25,
    )
)
def test_whatever_the_file_holds_it_is_taken_or_told(raw: Any) -> None:
    if isinstance(raw, dict):
        try:
            parse({**GOOD, **raw}, SETTINGS)
        except RpcConfigError as error:
            assert str(error)


def test_unreadable_file_is_reported() -> None:
    with pytest.raises(RpcConfigError, match="cannot be read"):
        read_rpc_config(str(ROOT / "README.md"), SETTINGS)


def test_nothing_is_imported_while_rpc_is_off() -> None:
    code = "import sys, leadrudder.__main__; print([m for m in sys.modules if 'rpc' in m or 'msgpack' in m])"
    environment = {name: value for name, value in os.environ.items() if name != "NODE_RPC"}
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, env=environment, capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def _node_config(tmp_path: Path) -> Path:
    path = tmp_path / "node.json"
    profiles = [
        {"name": "haku", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 3000.0},
        {"name": "varaus", "effect": "unsafe", "aimMs": 1000.0, "deadlineMs": 3000.0},
        {"name": "siirto", "effect": "keyed", "aimMs": 1000.0, "deadlineMs": 3000.0, "windowMs": 5000.0},
    ]
    tenants = [{"name": "kampaamo", "fraction": 1.0, "quotaPerS": 10.0}]
    path.write_text(json.dumps({"settings": {"profiles": profiles, "tenants": tenants}}))
    return path


def test_command_summarises_the_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    example = str(ROOT / "deploy" / "rpc.toml")
    assert main(["rpc", example, "--config", str(_node_config(tmp_path))]) == 0
    summary = capsys.readouterr().out.splitlines()
    assert "varaus.luo: class varaus, never repeated once it may have run" in summary
    assert "servers speak MessagePack-RPC, 64 calls out to each at the most" in summary


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("method = 1", "method: at least one"),
        ("[", "cannot be read"),
        ("[[method]]\nname='a'", "method.0.class"),
    ],
)
def test_command_rejects_an_invalid_file_in_one_line(
    text: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "rpc.toml"
    file.write_text(text)
    assert main(["rpc", str(file), "--config", str(_node_config(tmp_path))]) == 2
    stderr = capsys.readouterr().err
    assert expected in stderr and stderr.count("\n") == 1
    assert main(["rpc", str(file), "--config", str(file)]) == 2
    assert "not a valid node configuration" in capsys.readouterr().err


def test_node_with_an_invalid_file_exits_with_one_line(tmp_path: Path) -> None:
    raw = json.loads(_node_config(tmp_path).read_text())
    raw.update(name="n", listen="127.0.0.1:0", discovery="127.0.0.1:9", seed="1")
    raw["limits"] = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
    (tmp_path / "node.json").write_text(json.dumps(raw))
    file = tmp_path / "rpc.toml"
    file.write_text("[[method]]\nname = 'a'\nclass = 'no'\n")
    environment = {"NODE_CONFIG": str(tmp_path / "node.json"), "NODE_RPC": str(file)}
    done = subprocess.run(
        [sys.executable, "-m", "leadrudder"],
        cwd=ROOT,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert done.stderr.strip().endswith("method.0.class is not a class of the settings: 'no'")
    assert done.stderr.startswith("leadrudder: NODE_RPC: ")
