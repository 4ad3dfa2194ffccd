"""Memory of a JSON document once it is parsed, estimated from its text before that."""

from __future__ import annotations

# Memory in bytes for each character of a kind: what it begins or separates takes at most so much.
_BYTES_BY_CHARACTER = {b"[": 60, b"{": 90, b":": 150, b",": 24}
_TEXT_FACTOR = 4  # decoded text and strings, for each byte


def estimate_json_memory(text: bytes) -> int:
    """The memory, in bytes, of the objects that parsing creates."""
    objects = sum(size * text.count(character) for character, size in _BYTES_BY_CHARACTER.items())
    return objects + _TEXT_FACTOR * len(text)
