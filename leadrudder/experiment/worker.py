"""Worker process that executes runs: reads jobs as lines of JSON on stdin, writes results as lines of JSON.

It is started as a script, so that it can install the policy of another revision before any module of the
package is imported: python -P worker.py TREE PREFIX MOST_MB SOURCES. TREE and PREFIX are - for the policy of
the working tree; SOURCES is the expected digest of the policy and model sources.
"""

from __future__ import annotations

import importlib.util
import json
import os
import resource
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

TOOL_PACKAGE = Path(__file__).resolve().parent.parent  # the tool's own leadrudder package


def install_policy_revision(tree: str, prefix: str) -> None:
    """Import the policy from that tree, and the experiment tool from its own package."""
    if tree == "-":
        sys.path.insert(0, str(TOOL_PACKAGE.parent))
        return
    sys.path.insert(0, tree)
    original_prefix = sys.prefix
    if prefix != "-":
        sys.prefix = prefix  # leadrudder looks for compiled modules below sys.prefix only
    try:
        import leadrudder
    finally:
        sys.prefix = original_prefix
    leadrudder.__path__.append(str(TOOL_PACKAGE))
    for name in ("tool", "experiment"):
        init_file = TOOL_PACKAGE / name / "__init__.py"
        spec = importlib.util.spec_from_file_location(
            f"leadrudder.{name}", init_file, submodule_search_locations=[str(init_file.parent)]
        )
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules[spec.name] = module
        setattr(leadrudder, name, module)
        spec.loader.exec_module(module)


def main(arguments: list[str]) -> int:
    """Execute jobs until end of input."""
    tree, prefix, most_mb, expected = arguments
    install_policy_revision(tree, prefix)
    from leadrudder.experiment.revisions import model_digest, working_tree_policy

    actual = f"{working_tree_policy().digest if tree == '-' else ''}/{model_digest()}"
    out = os.fdopen(os.dup(1), "w", buffering=1)
    os.dup2(2, 1)  # output of library code must not be read as a result
    limit_bytes = int(most_mb) * 1024 * 1024
    resource.setrlimit(resource.RLIMIT_AS, (limit_bytes, limit_bytes))

    from leadrudder.experiment.play import decider_factory, play
    from leadrudder.experiment.spec import File

    for line in sys.stdin:
        job: dict[str, Any] = json.loads(line)
        if actual != expected:
            # The key identifies the sources; a result of other sources stored under it would go unnoticed.
            print(json.dumps({"failed": "the program has changed since this began"}), file=out)
            continue
        try:
            file = File.model_validate(job["file"])
            result = play(
                file,
                job["seed"],
                decider_factory(job["policy"], file.fleet.node.limit_each),
                model=job["model"],
                folder=Path(job["folder"]),
                progress=lambda part: print(json.dumps({"part": part}), file=out),
            )
            answer: dict[str, Any] = {"result": asdict(result)}
        except MemoryError:
            answer = {"failed": f"needs more than runs.most_mb = {most_mb} MB"}
        except Exception as error:
            answer = {"failed": f"{type(error).__name__}: {error}"}
        print(json.dumps(answer), file=out)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
