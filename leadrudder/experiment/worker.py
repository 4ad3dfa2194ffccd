"""A process that plays runs: jobs come as lines of JSON on standard input, results go out as lines of JSON.

Started as a script, so that it can put the decisions of another revision in place before anything of the
package is imported: python -P worker.py TREE PREFIX MOST_MB SOURCES, with - for TREE
and PREFIX for the present decisions; SOURCES says of what the runs are to be made.
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

TOOL_PACKAGE = Path(__file__).resolve().parent.parent  # the package of the tool


def install_policy_revision(tree: str, prefix: str) -> None:
    """Have leadrudder's decisions found in that tree, and everything else in the tool's own package."""
    if tree == "-":
        sys.path.insert(0, str(TOOL_PACKAGE.parent))
        return
    sys.path.insert(0, tree)
    own_prefix = sys.prefix
    if prefix != "-":
        sys.prefix = prefix  # compiled decisions are looked for below it; there is no other way to say so
    try:
        import leadrudder
    finally:
        sys.prefix = own_prefix
    leadrudder.__path__.append(str(TOOL_PACKAGE))
    for name in ("tool", "experiment"):
        place = TOOL_PACKAGE / name / "__init__.py"
        spec = importlib.util.spec_from_file_location(
            f"leadrudder.{name}", place, submodule_search_locations=[str(place.parent)]
        )
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules[spec.name] = module
        setattr(leadrudder, name, module)
        spec.loader.exec_module(module)


def main(arguments: list[str]) -> int:
    """Play until standard input ends."""
    tree, prefix, most_mb, expected = arguments
    install_policy_revision(tree, prefix)
    from leadrudder.experiment.revisions import model_digest, working_tree_policy

    own = f"{working_tree_policy().digest if tree == '-' else ''}/{model_digest()}"
    out = os.fdopen(os.dup(1), "w", buffering=1)
    os.dup2(2, 1)  # what anything prints must not be taken for a result
    most = int(most_mb) * 1024 * 1024
    resource.setrlimit(resource.RLIMIT_AS, (most, most))

    from leadrudder.experiment.play import decider_factory, play
    from leadrudder.experiment.spec import File

    for line in sys.stdin:
        job: dict[str, Any] = json.loads(line)
        if own != expected:
            # Its key says what it is made of: a result of other sources under it would never be found out.
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
