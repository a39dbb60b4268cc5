"""Changes the fleet's settings in the platform's store."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from wasabimux.entry.feed import SETTINGS_KIND, SETTINGS_NAME
from wasabimux.ports import Store, StoreConflict, StoreUnavailable
from wasabimux.settings.check import check_fleet
from wasabimux.settings.findings import Finding

Document = dict[str, Any]
Edit = Callable[[Document], None]


class EditRefused(Exception):
    """The change is not possible.

    Args:
        findings: What is wrong, each with its place.
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


@dataclass(frozen=True, slots=True)
class VersionedSettings:
    """The settings with the version of their object."""

    version: int
    document: Document


class SettingsEditor:
    """Reads settings and changes them by conditional updates.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self) -> VersionedSettings:
        """Returns the accepted settings. Raises StoreUnavailable."""
        item = await self._store.get(SETTINGS_KIND, SETTINGS_NAME)
        if item is None:
            return VersionedSettings(0, {})
        return VersionedSettings(item.version, json.loads(item.value))

    async def edit(self, edit: Edit) -> Result[VersionedSettings, list[Finding]]:
        """Makes one change on the newest version.

        Args:
            edit: Changes a document in place; raises EditRefused.

        Returns:
            The accepted version, or what stands against the change.

        Raises:
            StoreUnavailable: It is not known whether the change was accepted.
        """
        current = await self.read()
        changed = json.loads(json.dumps(current.document))
        try:
            edit(changed)
        except EditRefused as refusal:
            return Error(refusal.findings)
        return await self.apply(changed, current.version)

    async def apply(
        self, document: Document, expected: int
    ) -> Result[VersionedSettings, list[Finding]]:
        """Accepts a document if nobody has changed the settings since.

        Args:
            document: The whole document.
            expected: Version that the change was made on.

        Returns:
            The accepted version, or all findings.

        Raises:
            StoreUnavailable: It is not known whether the change was accepted.
        """
        checked = check_fleet(document)
        if checked.is_error():
            return Error(checked.error)
        value = json.dumps(document).encode()
        try:
            number = await self._store.put(
                SETTINGS_KIND, SETTINGS_NAME, value, expected
            )
        except StoreConflict as conflict:
            return Error([_conflict(expected, conflict.current)])
        except StoreUnavailable:
            return await self._read_back(document, expected)
        return Ok(VersionedSettings(number, document))

    async def _read_back(
        self, document: Document, expected: int
    ) -> Result[VersionedSettings, list[Finding]]:
        """Finds out whether a change whose answer was lost took effect."""
        current = await self.read()
        if current.document == document and current.version > expected:
            return Ok(current)
        if current.version != expected:
            return Error([_conflict(expected, current.version)])
        raise StoreUnavailable("the change did not take effect")


def _conflict(expected: int, current: int) -> Finding:
    return Finding("$", f"version {current}", f"version {expected}, as it was read")
