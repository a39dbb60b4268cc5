"""Takes JSON of other processes apart without decoding the parts.

A document may take 25 times its bytes as memory once it is decoded. Parts stay bytes,
so that a reader decodes just what it uses. A part that is not JSON hides no other.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from functools import cache
from typing import Any, NamedTuple

import msgspec

from wasabimux.json_depth import deeper_than
from wasabimux.json_documents import DocumentError, decode_collection

WHITE_SPACE = b" \t\r\n"


class _Outline(NamedTuple):
    """A list or object whose nested lists and objects were cut out.

    Attributes:
        value: The list or object, in which [N] stands for the part with number N.
        parts: The parts as JSON.
    """

    value: Any
    parts: list[bytes]

    def restore(self, value: Any) -> bytes:
        """Returns an element or member of the value as JSON."""
        if isinstance(value, list):
            return self.parts[value[0]]
        return json.dumps(value).encode()


def is_too_deep(body: bytes) -> bool:
    """Returns whether a JSON text nests deeper than the parser goes."""
    try:
        _raw_decoder().decode(body)
    except RecursionError:
        return True
    except msgspec.DecodeError:
        pass
    return False


def members(body: bytes, *names: str) -> dict[str, bytes]:
    """Returns members of a JSON object as JSON, by their names.

    Args:
        body: The object.
        names: Names of the members; those that the object lacks are left out.

    Raises:
        DocumentError: The body is no JSON object.
    """
    try:
        found = _member_decoder(names).decode(body)
    except (msgspec.DecodeError, RecursionError):
        return _odd_members(body, names)
    raws = zip(names, msgspec.structs.astuple(found))
    return {name: bytes(raw) for name, raw in raws if raw is not msgspec.UNSET}


def elements(body: bytes) -> list[bytes]:
    """Returns the elements of a JSON list as JSON.

    Raises:
        DocumentError: The body is no JSON list.
    """
    try:
        return list(map(bytes, _element_decoder().decode(body)))
    except (msgspec.DecodeError, RecursionError):
        outline = _cut_out(body, b"[")
    return list(map(outline.restore, outline.value))


@cache
def _raw_decoder() -> msgspec.json.Decoder[msgspec.Raw]:
    return msgspec.json.Decoder(msgspec.Raw)


@cache
def _element_decoder() -> msgspec.json.Decoder[list[msgspec.Raw]]:
    return msgspec.json.Decoder(list[msgspec.Raw])


@cache
def _member_decoder(names: tuple[str, ...]) -> msgspec.json.Decoder[Any]:
    """Returns a decoder of some members of an object, which skips the others."""
    raw_or_unset = msgspec.Raw | msgspec.UnsetType
    fields = [(f"f{index}", raw_or_unset, msgspec.UNSET) for index in range(len(names))]
    name_by_field = {field: name for (field, *_), name in zip(fields, names)}
    struct = msgspec.defstruct("Members", fields, rename=name_by_field)
    return msgspec.json.Decoder(struct)


def _odd_members(body: bytes, names: Sequence[str]) -> dict[str, bytes]:
    """Returns members of an object with some part that is not JSON."""
    outline = _cut_out(body, b"{")
    return {
        name: outline.restore(outline.value[name])
        for name in names
        if name in outline.value
    }


def _cut_out(body: bytes, bracket: bytes) -> _Outline:
    """Cuts the nested lists and objects out of a list or object.

    Args:
        body: The list or object.
        bracket: Bracket with which it begins.

    Raises:
        DocumentError: It does not begin so, or the rest is not JSON.
    """
    kept: list[bytes] = []
    parts: list[bytes] = []
    body = body.strip(WHITE_SPACE)
    if not body.startswith(bracket):
        raise DocumentError("another type of value")
    start = 0
    for begin, end in _nested_spans(body):
        kept += [body[start:begin], b"[%d]" % len(parts)]
        parts.append(body[begin:end])
        start = end
    kept.append(body[start:])
    return _Outline(decode_collection(b"".join(kept)), parts)


def _nested_spans(body: bytes) -> Iterator[tuple[int, int]]:
    """Yields where the lists and objects directly within a list or object lie.

    Args:
        body: The list or object, from its opening bracket on.

    Raises:
        DocumentError: One of them has no end.
    """
    is_nested = b"".join(deeper_than(1, body))
    begin = is_nested.find(1)
    while begin >= 0:
        end = is_nested.find(0, begin) + 1
        if not end:
            raise DocumentError("the text ends before its values do")
        yield begin, end
        begin = is_nested.find(1, end)
