"""Tells how deep the parts of a JSON text lie, whatever the text is.

Parsers stop at some depth, and the writer of a document chooses how deep it nests. Here
each byte costs the same at any depth, and no line of Python runs for each byte.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from itertools import accumulate, chain, compress
from operator import and_, not_

#: Bytes that are looked at together, as their strings take memory one by one.
CHUNK_BYTES = 65_536

OPENING, CLOSING = b"[{", b"]}"

#: Change of the depth at each byte, as a signed byte.
DEPTH_CHANGES = bytes(
    1 if byte in OPENING else 255 if byte in CLOSING else 0 for byte in range(256)
)

#: A backslash with the byte behind it, and what follows a chunk that ends within one.
ESCAPE = re.compile(rb"\\.", re.DOTALL)
REST_OF_ESCAPE = re.compile(rb"\\*+.?", re.DOTALL)


def deeper_than(depth: int, body: bytes) -> Iterator[bytes]:
    """Tells for each byte whether it lies within more lists and objects than a number.

    The bracket that opens a list or object lies within it, the one that closes it does
    not. Brackets in strings do not count.

    Args:
        depth: The number of lists and objects.
        body: The text.

    Yields:
        1 or 0 for each byte, for some bytes at a time.
    """
    current = 0
    for text in _chunks_without_strings(body):
        changes = memoryview(text.translate(DEPTH_CHANGES)).cast("b")
        depths = accumulate(changes, initial=current)
        next(depths)  # before the first byte
        yield bytes(map(depth.__lt__, depths))
        current += _count(text, OPENING) - _count(text, CLOSING)


def emptied_below(depth: int, body: bytes) -> Iterator[bytes]:
    """Empties the lists and objects within more of them than a number.

    Args:
        depth: The number of lists and objects.
        body: The text.

    Yields:
        What is left of it, a part at a time.
    """
    start, before = 0, 0
    for is_deep in deeper_than(depth, body):
        chunk = body[start : start + len(is_deep)]
        is_inside = map(and_, is_deep, chain((before,), is_deep))
        yield bytes(compress(chunk, map(not_, is_inside)))
        start, before = start + len(is_deep), is_deep[-1]


def _count(text: bytes, brackets: bytes) -> int:
    return sum(map(text.count, brackets))


def _chunks_without_strings(body: bytes) -> Iterator[bytes]:
    """Yields the text in chunks of the same length with blanks in place of strings."""
    start, is_in_string = 0, False
    while start < len(body):
        end = _chunk_end(body, start)
        pieces = ESCAPE.sub(b"  ", body[start:end]).split(b'"')
        first = 0 if is_in_string else 1
        pieces[first::2] = map(b" ".__mul__, map(len, pieces[first::2]))
        yield b'"'.join(pieces)
        is_in_string ^= len(pieces) % 2 == 0
        start = end


def _chunk_end(body: bytes, start: int) -> int:
    """Returns the index behind a chunk, which does not end within an escape."""
    end = min(len(body), start + CHUNK_BYTES)
    if not body.endswith(b"\\", start, end):
        return end
    rest = REST_OF_ESCAPE.match(body, end)
    return rest.end() if rest else end
