"""Bounds texts that are kept or logged and in which others' bytes may stand."""

from __future__ import annotations

#: Longest text in characters that is kept of an error or of a field of an event.
MAX_TEXT_LENGTH = 500

#: Longest text in characters of a document that cannot be read, in a log line.
MAX_LOGGED_LENGTH = 100


def shorten(text: str, length: int = MAX_TEXT_LENGTH) -> str:
    """Returns a text, or its beginning and the number of characters left out.

    Args:
        text: The text.
        length: Longest beginning, in characters.
    """
    if len(text) <= length:
        return text
    return f"{text[:length]}...+{len(text) - length}"


def text_bytes(text: str) -> int:
    """Returns the bytes that the characters of a text take at most."""
    return len(text) if text.isascii() else 4 * len(text)
