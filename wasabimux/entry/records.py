"""Reads records that entries keep in the platform's store."""

from __future__ import annotations

from typing import TypeVar

from pydantic import BaseModel

from wasabimux.json_documents import decode_document
from wasabimux.ports import StoredObject, StoreUnavailable

RecordType = TypeVar("RecordType", bound=BaseModel)


def read_record(model: type[RecordType], item: StoredObject) -> RecordType:
    """Returns the record in an object of the store.

    Args:
        model: Model of the record.
        item: Object that contains it.

    Raises:
        StoreUnavailable: The record cannot be read.
    """
    try:
        return model.model_validate(decode_document(item.value))
    except ValueError as error:
        raise StoreUnavailable(f"{item.name}: a record that cannot be read") from error
