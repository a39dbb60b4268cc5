"""Reads and edits the fleet's settings in the platform's store."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from wasabimux.entry.feed import SETTINGS_KIND, SETTINGS_NAME
from wasabimux.json_documents import DocumentError, decode_document
from wasabimux.ports import Store, StoreConflict, StoreUnavailable
from wasabimux.settings.check import check_fleet
from wasabimux.settings.findings import Finding

Document = dict[str, Any]
Edit = Callable[[Document], None]


class EditRefused(Exception):
    """The settings cannot be changed as requested.

    Args:
        findings: Problems, each with its place in the document.
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


@dataclass(frozen=True, slots=True)
class VersionedSettings:
    """Settings document with the version of its object in the store.

    Attributes:
        version: Version of the object, 0 if no settings are stored.
        document: Complete settings document.
    """

    version: int
    document: Document


class SettingsEditor:
    """Reads settings and changes them with conditional writes.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self) -> VersionedSettings:
        """Returns the stored settings. Raises StoreUnavailable."""
        stored = await self._store.get(SETTINGS_KIND, SETTINGS_NAME)
        if stored is None:
            return VersionedSettings(0, {})
        try:
            document = decode_document(stored.value)
        except DocumentError as error:
            raise StoreUnavailable(f"settings that cannot be read: {error}") from error
        return VersionedSettings(stored.version, document)

    async def edit(self, edit: Edit) -> Result[VersionedSettings, list[Finding]]:
        """Applies one change to the latest version.

        Args:
            edit: Changes a document in place; raises EditRefused.

        Returns:
            The accepted version, or the findings that prevent the change.

        Raises:
            StoreUnavailable: It is unknown whether the change took effect.
        """
        latest = await self.read()
        changed_document = copy.deepcopy(latest.document)
        try:
            edit(changed_document)
        except EditRefused as refusal:
            return Error(refusal.findings)
        return await self.apply(changed_document, latest.version)

    async def apply(
        self, document: Document, expected_version: int
    ) -> Result[VersionedSettings, list[Finding]]:
        """Stores a document unless the settings have changed since a version.

        Args:
            document: Complete settings document.
            expected_version: Version that the change is based on.

        Returns:
            The accepted version, or all findings.

        Raises:
            StoreUnavailable: It is unknown whether the change took effect.
        """
        checked = check_fleet(document)
        if checked.is_error():
            return Error(checked.error)
        value = json.dumps(document).encode()
        try:
            version = await self._store.put(
                SETTINGS_KIND, SETTINGS_NAME, value, expected_version
            )
        except StoreConflict as conflict:
            return Error([_conflict_finding(expected_version, conflict.current)])
        except StoreUnavailable:
            return await self._check_lost_write(document, expected_version)
        return Ok(VersionedSettings(version, document))

    async def _check_lost_write(
        self, document: Document, expected_version: int
    ) -> Result[VersionedSettings, list[Finding]]:
        """Checks whether a write took effect although its response was lost."""
        latest = await self.read()
        if latest.document == document and latest.version > expected_version:
            return Ok(latest)
        if latest.version != expected_version:
            return Error([_conflict_finding(expected_version, latest.version)])
        raise StoreUnavailable("the change did not take effect")


def _conflict_finding(expected_version: int, current_version: int) -> Finding:
    return Finding(
        "$",
        f"version {current_version}",
        f"version {expected_version}, on which the change is based",
    )
