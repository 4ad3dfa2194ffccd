"""The operator's file for MessagePack-RPC: what is wrong with it is told in one line that names the field."""

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
from leadrudder.rpc.config import RpcConfigError, parse_rpc_config, read_rpc_config

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


def test_the_example_that_is_kept_is_good_and_says_all_there_is() -> None:
    config = read_rpc_config(str(ROOT / "deploy" / "rpc.toml"), SETTINGS)
    assert config.upstream is not None and len(config.listen) == 2 and len(config.methods) == 3
    raw = tomllib.loads((ROOT / "deploy" / "rpc.toml").read_text())
    assert set(raw) == {"front", "method", "meta", "defaults", "upstream", "limits", "errors"}


def test_without_an_upstream_servers_speak_http() -> None:
    config = parse_rpc_config(GOOD, SETTINGS)
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
def test_a_file_that_cannot_be_meant_is_told_by_its_field(change: dict[str, Any], text: str) -> None:
    with pytest.raises(RpcConfigError) as caught:
        parse_rpc_config({**GOOD, **change}, SETTINGS)
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
            parse_rpc_config({**GOOD, **raw}, SETTINGS)
        except RpcConfigError as error:
            assert str(error)


def test_a_file_that_is_none_is_told() -> None:
    with pytest.raises(RpcConfigError, match="cannot be read"):
        read_rpc_config(str(ROOT / "README.md"), SETTINGS)


def test_where_it_is_off_nothing_of_it_is_imported() -> None:
    code = "import sys, leadrudder.__main__; print([m for m in sys.modules if 'rpc' in m or 'msgpack' in m])"
    kept = {name: value for name, value in os.environ.items() if name != "NODE_RPC"}
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, env=kept, capture_output=True, text=True, check=True
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


def test_the_command_tells_what_a_file_means(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    example = str(ROOT / "deploy" / "rpc.toml")
    assert main(["rpc", example, "--config", str(_node_config(tmp_path))]) == 0
    told = capsys.readouterr().out.splitlines()
    assert "varaus.luo: class varaus, never repeated once it may have run" in told
    assert "servers speak MessagePack-RPC, 64 calls out to each at the most" in told


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("method = 1", "method: at least one"),
        ("[", "cannot be read"),
        ("[[method]]\nname='a'", "method.0.class"),
    ],
)
def test_the_command_turns_down_in_one_line_what_cannot_be_used(
    text: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "rpc.toml"
    file.write_text(text)
    assert main(["rpc", str(file), "--config", str(_node_config(tmp_path))]) == 2
    told = capsys.readouterr().err
    assert expected in told and told.count("\n") == 1
    assert main(["rpc", str(file), "--config", str(file)]) == 2
    assert "not a valid node configuration" in capsys.readouterr().err


def test_a_node_that_is_started_with_a_bad_file_ends_with_one_line(tmp_path: Path) -> None:
    raw = json.loads(_node_config(tmp_path).read_text())
    raw.update(name="n", listen="127.0.0.1:0", discovery="127.0.0.1:9", seed="1")
    raw["limits"] = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
    (tmp_path / "node.json").write_text(json.dumps(raw))
    file = tmp_path / "rpc.toml"
    file.write_text("[[method]]\nname = 'a'\nclass = 'no'\n")
    told = {"NODE_CONFIG": str(tmp_path / "node.json"), "NODE_RPC": str(file)}
    done = subprocess.run(
        [sys.executable, "-m", "leadrudder"],
        cwd=ROOT,
        env={**os.environ, **told},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert done.stderr.strip().endswith("method.0.class is not a class of the settings: 'no'")
    assert done.stderr.startswith("leadrudder: NODE_RPC: ")
