"""Findings of a check, each with its place, reported together."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

UNQUOTED_NAME = re.compile(r"[A-Za-z0-9_-]+")

ModelType = TypeVar("ModelType", bound=BaseModel)


class Finding(NamedTuple):
    """One fault in a settings document.

    Attributes:
        location: JSON path of the faulty value, such as `$.routes[2].group`.
        found: What stands there.
        expected: What should stand there.
    """

    location: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.location}: found {self.found}, expected {self.expected}"


def member_path(location: str, name: str) -> str:
    """Returns the JSON path of a member; quotes names that are no plain words."""
    if UNQUOTED_NAME.fullmatch(name):
        return f"{location}.{name}"
    return f"{location}[{json.dumps(name)}]"


def format_json_path(parts: tuple[int | str, ...]) -> str:
    """Formats the parts of a place as a JSON path."""
    path = "$"
    for part in parts:
        path = f"{path}[{part}]" if isinstance(part, int) else member_path(path, part)
    return path


def check_document(
    model: type[ModelType], document: Any
) -> Result[ModelType, list[Finding]]:
    """Checks a decoded JSON document against a pydantic model.

    Args:
        model: The model of the whole document.
        document: The decoded JSON value.

    Returns:
        The checked model, or all findings.
    """
    try:
        return Ok(model.model_validate(document))
    except ValidationError as error:
        return Error([_to_finding(item) for item in error.errors()])


def read_document(
    model: type[ModelType], path: Path
) -> Result[ModelType, list[Finding]]:
    """Reads a JSON file and checks it.

    Args:
        model: The model of the whole document.
        path: File to read.

    Returns:
        The checked model, or all findings.
    """
    try:
        document = json.loads(path.read_bytes())
    except OSError as error:
        return Error([Finding("$", error.strerror or "an error", "a readable file")])
    except ValueError as error:
        return Error([Finding("$", str(error), "a JSON document")])
    return check_document(model, document)


def _to_finding(item: Any) -> Finding:
    """Turns an error of pydantic into a finding."""
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
