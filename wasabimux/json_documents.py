"""Decodes JSON from other processes within bounds on depth, numbers and text.

A value within the bounds can be validated, logged, compared, encoded again and used in
arithmetic without an error. The size of a document is bounded where it is received.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any

#: Maximum number of lists and objects around a value of a document.
MAX_DEPTH = 64

#: Maximum depth of a collection of documents, deeper than any valid document in it.
MAX_COLLECTION_DEPTH = MAX_DEPTH + 8

#: Maximum number of digits of an integer, enough for 64 bits.
MAX_INTEGER_DIGITS = 20

#: A string, complete or cut off at the end of the text, or brackets in a row.
TOKEN = re.compile(r'"(?:[^"\\]++|\\.)*+"?|[\[{]++|[\]}]++', re.DOTALL)


class DocumentError(ValueError):
    """A document is not JSON, or has a value out of bounds."""


def decode_document(body: bytes) -> Any:
    """Decodes the document of one writer.

    Raises:
        DocumentError: The body is not JSON, or has a value out of bounds.
    """
    try:
        value = _decode(_decode_text(body))
    except RecursionError:
        raise DocumentError("values are nested too deeply") from None
    if not is_within_bounds(value):
        raise DocumentError("a value is out of bounds")
    return value


def decode_collection(body: bytes) -> Any:
    """Decodes documents of several writers, of which one may be out of bounds.

    Args:
        body: The documents, in one JSON value.

    Returns:
        The value. Documents in it are still to be checked by `is_within_bounds`, as
        some of them may be out of bounds.

    Raises:
        DocumentError: The body is not JSON.
    """
    text = _decode_text(body)
    try:
        return _decode(text)
    except RecursionError:
        return _decode(_prune(text))


def is_within_bounds(value: Any, max_depth: int = MAX_DEPTH) -> bool:
    """Returns whether a decoded value is within the bounds of a document.

    Args:
        value: The value.
        max_depth: Maximum number of nested lists and objects in the value.
    """
    if isinstance(value, str):
        return _is_unicode(value)
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, list):
        return max_depth > 0 and all(
            is_within_bounds(item, max_depth - 1) for item in value
        )
    if isinstance(value, dict):
        return max_depth > 0 and all(
            _is_unicode(name) and is_within_bounds(item, max_depth - 1)
            for name, item in value.items()
        )
    return True


def _decode_text(body: bytes) -> str:
    """Decodes UTF-8; each invalid byte becomes a surrogate, which is out of bounds."""
    return body.decode("utf-8", "surrogateescape")


def _decode(text: str) -> Any:
    try:
        return json.loads(text, parse_int=_parse_integer, strict=False)
    except json.JSONDecodeError as error:
        raise DocumentError(str(error)) from error


def _parse_integer(text: str) -> float:
    """Parses an integer; one with too many digits becomes an infinite float."""
    if len(text.removeprefix("-")) > MAX_INTEGER_DIGITS:
        return math.inf
    return int(text)


def _is_unicode(text: str) -> bool:
    """Returns whether a text has no surrogates, so that it can be encoded."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _prune(text: str) -> str:
    """Replaces what is nested deeper than a collection may be by null."""
    kept = []
    depth = start = 0
    for token in TOKEN.finditer(text):
        length = token.end() - token.start()
        if token[0][0] in "[{":
            before, depth = depth, depth + length
            if before <= MAX_COLLECTION_DEPTH < depth:
                end = token.start() + MAX_COLLECTION_DEPTH - before
                kept.append(text[start:end])
        elif token[0][0] in "]}":
            before, depth = depth, depth - length
            if depth <= MAX_COLLECTION_DEPTH < before:
                kept.append("null")
                start = token.end() - (MAX_COLLECTION_DEPTH - depth)
    if depth > MAX_COLLECTION_DEPTH:
        raise DocumentError("the text ends before its values do")
    return "".join([*kept, text[start:]])
