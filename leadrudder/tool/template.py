"""The commented file that `leadrudder init` writes; the generated text always passes `leadrudder check`."""

from __future__ import annotations

import contextlib
import json
import os
import tempfile
from pathlib import Path

_TEMPLATE = """\
# What the sidecar of {application_} is told. Check it with: leadrudder check {file}
# Times are milliseconds. What is left out has the safe value; `leadrudder schema` lists all fields.
version = 1

[application]
name = {application_}

# Servers of one kind. The list of them is asked for at `discovery`.
[[tier]]
name = {tier_}
discovery = {discovery_}
attempts = 2             # for one request; what may have run goes out again only where its route allows it
drops_repeats = "all"    # the servers that together drop repeats of a keyed request: none, cell, zone or all
drops_repeats_ms = 7500  # and for how long they remember its key

# Where the application calls: one node listens there.
[[listener]]
name = "front"
address = {listen_}
tier = {tier_}

# A booking must never run twice. A class that says nothing of its effect is unsafe, too.
[[class]]
name = "varaus"
effect = "unsafe"
aim_ms = 1500
deadline_ms = 4000
worth = 9

# A change carries a key, by which servers drop its repeats.
[[class]]
name = "siirto"
effect = "keyed"
aim_ms = 2000
deadline_ms = 5000
worth = 3
group = "all"
window_ms = 7500

[[class]]
name = "haku"
effect = "safe"
aim_ms = 1000
deadline_ms = 3000

# A route that does not say `repeat = true` may not be repeated.
[[route]]
method = "POST"
path = "/varaus/*"
listener = "front"
class = "varaus"

[[route]]
method = "POST"
path = "/siirto/*"
listener = "front"
class = "siirto"
repeat = true

[[route]]
method = "GET"
path = "/*"
listener = "front"
class = "haku"
repeat = true
"""


def new_file_text(file: str, application: str, tier: str, listen: str, discovery: str) -> str:
    """The text of a new file; the values are quoted as TOML strings."""
    values = {"application": application, "tier": tier, "listen": listen, "discovery": discovery}
    quoted = {f"{name}_": json.dumps(value, ensure_ascii=False) for name, value in values.items()}
    return _TEMPLATE.format(file=json.dumps(Path(file).name, ensure_ascii=False), **quoted)


def write_new_file(path: Path, text: str, *, force: bool) -> None:
    """Create a file atomically: it appears complete or not at all.

    Raises FileExistsError if the path exists and force is not set, OSError if the folder is not writable.
    """
    descriptor, temporary_path = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary_path, 0o644)
        if force:
            os.replace(temporary_path, path)
        else:
            os.link(temporary_path, path)  # fails if the path exists, even if it was created meanwhile
    finally:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary_path)
