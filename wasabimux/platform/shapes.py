"""Decodes just the fields of a document that are read, within a bound on their size.

Any writer may put documents into the store. The memory that one takes is bounded by the
fields that relays read, whatever else it has.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from wasabimux.json_documents import DocumentError, decode_document
from wasabimux.json_parts import members
from wasabimux.texts import shorten

#: Size in bytes up to which a document is decoded whole before its fields are picked.
SMALL_BYTES = 4_096

#: Longest text of an error.
MAX_ERROR_LENGTH = 200


class DocumentShape(NamedTuple):
    """What is read of a kind of documents.

    Attributes:
        fields: Names of the fields that are read; None for all.
        max_bytes: Most bytes of these fields as JSON.
        schema: Types of the fields, for documents with lists; a document of another
            type is found out before it takes memory.
    """

    fields: tuple[str, ...] | None
    max_bytes: int
    schema: type[msgspec.Struct] | None = None

    def read(self, document: bytes) -> Any:
        """Decodes the fields that are read.

        Args:
            document: The document as JSON.

        Returns:
            An object with these fields, or another value if the document is none.

        Raises:
            DocumentError: The document is not JSON, or the fields are too large or of
                other types.
        """
        if self.fields == ():
            return {}
        if self.fields is None:
            return decode_document(_check_size(document, self.max_bytes))
        if len(document) <= SMALL_BYTES:
            return _pick(decode_document(document), self.fields)
        raw_by_field = members(document, *self.fields)
        size = sum(map(len, raw_by_field.values()))
        if size > self.max_bytes:
            raise DocumentError(f"fields of {size} bytes")
        if self.schema is not None:
            _check_types(document, self.schema)
        return {name: decode_document(raw) for name, raw in raw_by_field.items()}


#: Shape of documents of which only the name and the revision count.
NOTHING = DocumentShape((), max_bytes=0)


def _pick(value: Any, fields: tuple[str, ...]) -> Any:
    if not isinstance(value, dict):
        return value
    return {name: value[name] for name in fields if name in value}


def _check_size(document: bytes, max_bytes: int) -> bytes:
    if len(document) > max_bytes:
        raise DocumentError(f"a document of {len(document)} bytes")
    return document


def _check_types(document: bytes, schema: type[msgspec.Struct]) -> None:
    try:
        msgspec.json.decode(document, type=schema)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DocumentError(shorten(str(error), MAX_ERROR_LENGTH)) from None
