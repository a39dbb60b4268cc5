"""Errors in a settings document, each with its location, reported together."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from wasabimux.json_documents import DocumentError, decode_document

UNQUOTED_NAME = re.compile(r"[A-Za-z0-9_-]+")

ModelType = TypeVar("ModelType", bound=BaseModel)


class Finding(NamedTuple):
    """One error in a settings document.

    Attributes:
        location: JSON path of the faulty value, such as `$.routes[2].group`.
        found: Description of the value that was found.
        expected: Description of the values that are valid.
    """

    location: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.location}: found {self.found}, expected {self.expected}"


def member_path(location: str, name: str) -> str:
    """Returns the JSON path of an object member.

    Args:
        location: JSON path of the object.
        name: Name of the member, quoted unless UNQUOTED_NAME matches it.
    """
    if UNQUOTED_NAME.fullmatch(name):
        return f"{location}.{name}"
    return f"{location}[{json.dumps(name)}]"


def format_json_path(parts: tuple[int | str, ...]) -> str:
    """Formats list indexes and member names as a JSON path."""
    path = "$"
    for part in parts:
        path = f"{path}[{part}]" if isinstance(part, int) else member_path(path, part)
    return path


def check_document(
    model: type[ModelType], document: Any
) -> Result[ModelType, list[Finding]]:
    """Validates a decoded JSON document with a pydantic model.

    Args:
        model: Model of the whole document.
        document: The decoded JSON value.

    Returns:
        The validated model, or all findings.
    """
    try:
        return Ok(model.model_validate(document))
    except ValidationError as error:
        return Error([_to_finding(item) for item in error.errors()])


def read_document(
    model: type[ModelType], path: Path, defaults: Mapping[str, str] | None = None
) -> Result[ModelType, list[Finding]]:
    """Reads a JSON file and validates it.

    Args:
        model: Model of the whole document.
        path: Path of the file.
        defaults: Fields that hold where the document does not have them.

    Returns:
        The validated model, or all findings.
    """
    try:
        document = decode_document(path.read_bytes())
    except OSError as error:
        return Error([Finding("$", error.strerror or "an error", "a readable file")])
    except DocumentError as error:
        return Error([Finding("$", str(error), "a JSON document")])
    if defaults and isinstance(document, dict):
        document = {**defaults, **document}
    return check_document(model, document)


def _to_finding(item: Any) -> Finding:
    """Converts an error of pydantic into a finding."""
    found = repr(item["input"])
    if item["type"] == "missing":
        found = "nothing"
    elif item["type"] == "extra_forbidden":
        return Finding(
            format_json_path(item["loc"]), "an unknown field", "no such field"
        )
    return Finding(format_json_path(item["loc"]), _shorten(found), item["msg"])


def _shorten(text: str, limit: int = 80) -> str:
    return text if len(text) <= limit else text[: limit - 3] + "..."
