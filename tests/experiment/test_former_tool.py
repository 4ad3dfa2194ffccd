"""The whole model plays a revision with former names by the former tool, and all else by today's.

Guards against the ImportError of today's whole model among the former node's and simulation's modules.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from leadrudder.experiment.pool import Pool
from leadrudder.experiment.revisions import (
    FORMER_MODEL_SOURCES,
    LAST_REVISION_WITH_FORMER_NAMES,
    PACKAGE,
    PolicyRevision,
    RevisionError,
    digest_sources,
)
from leadrudder.experiment.runner import Experiment, run_missing
from leadrudder.experiment.store import Row, Store
from tests.experiment.small import experiment, values

# Answers with the arguments that it was started with.
STUB_WORKER = """
import json, sys
for line in sys.stdin:
    arguments = [__file__, *sys.argv[1:], json.loads(line)["model"]]
    print(json.dumps({"failed": json.dumps(arguments)}), flush=True)
"""


def _tree(path: Path, *modules: str) -> PolicyRevision:
    """Make a revision's tree that has a stub worker and these modules."""
    package = path / "leadrudder"
    (package / "experiment").mkdir(parents=True)
    (package / "experiment" / "worker.py").write_text(STUB_WORKER)
    (package / "experiment" / "whole.py").write_text(f"# of {path.name}\n")
    for name in modules:
        (package / name).touch()
    return PolicyRevision(path.name, path)


def _loaded(cache: Path, model: str, ref: str) -> Experiment:
    made: dict[str, Any] = values(length_s=1, runs__seeds=1)
    made["side"] = [{"name": "one", "model": model, "ref": ref}]
    loaded = experiment(cache, made)
    loaded._policy_revisions["old"] = _tree(cache / "old", "looks.py")
    loaded._policy_revisions["new"] = _tree(cache / "new", "selection_context.py")
    return loaded


def _run(cache: Path, loaded: Experiment) -> Row:
    store = Store(cache / "results.sqlite")
    run_missing(store, loaded, loaded.jobs(), Pool(1))
    (row,) = store.all()
    store.close()
    return row


def test_a_revision_with_former_names_is_played_by_the_former_tool(tmp_path: Path) -> None:
    loaded = _loaded(tmp_path, "whole", "old")
    former = _tree(tmp_path / "former", "looks.py")
    loaded._policy_revisions[LAST_REVISION_WITH_FORMER_NAMES] = former
    package = tmp_path / "former" / "leadrudder"
    digest = digest_sources(package, FORMER_MODEL_SOURCES)
    note = _run(tmp_path, loaded).note
    script, tree = package / "experiment" / "worker.py", tmp_path / "old"
    assert note.startswith(f'["{script}", "{tree}", "-", ')
    assert note.endswith(f'"/{digest}", "whole"]')


@pytest.mark.parametrize(("model", "ref"), [("policy", "old"), ("whole", "new"), ("whole", "")])
def test_all_else_is_played_by_todays_tool(tmp_path: Path, model: str, ref: str) -> None:
    (job,) = _loaded(tmp_path, model, ref).jobs()
    assert job.tool.package == PACKAGE


def test_a_history_without_the_former_tool_gives_one_clear_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("leadrudder.experiment.revisions.REPOSITORY", tmp_path)
    monkeypatch.setenv("GIT_CEILING_DIRECTORIES", str(tmp_path.parent))
    with pytest.raises(RevisionError) as raised:
        _loaded(tmp_path, "whole", "old").jobs()
    text = str(raised.value)
    assert f"needs the tool of {LAST_REVISION_WITH_FORMER_NAMES}: there is no revision" in text
    assert "\n" not in text
