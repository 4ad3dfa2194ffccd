"""The README's example runs as printed."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path


def test_the_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(code) == 1
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(code[0], {})
    assert printed.getvalue() in ("send request 1 to a\n", "send request 1 to b\n")
