"""Types of fields in documents that other processes have written."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, Field

MAX_LABEL_LENGTH = 256

#: End of the year 9999, in ms since the epoch.
MAX_EPOCH_MS = 253_402_300_799_999


def _validate_printable(text: str) -> str:
    if not text.isprintable():
        raise ValueError("printable characters")
    return text


#: Text that can be logged as it is.
Label = Annotated[
    str, Field(max_length=MAX_LABEL_LENGTH), AfterValidator(_validate_printable)
]
Name = Annotated[Label, Field(min_length=1)]

#: Time in ms since the epoch, 0 if unknown.
EpochMs = Annotated[int, Field(ge=0, le=MAX_EPOCH_MS)]
