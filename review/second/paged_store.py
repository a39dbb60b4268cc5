"""The platform's store with the bounds of its sheet: pages, and 20 s of history."""

from __future__ import annotations

import json
import time
from typing import Any

from wasabimux.adapters.http_server import HttpResponse, json_response
from wasabimux.platform.standins.store import MAX_PAGE_ITEMS, StandInStore

PAGE_BYTES = 1_000_000
HISTORY_S = 20.0


class PagedStore(StandInStore):
    """Lists objects in pages that are bounded in size too; one object always fits.

    A watch from before the history that is kept gets 410.
    """

    def __init__(self) -> None:
        super().__init__()
        self._written_s: list[tuple[float, int]] = []

    async def _record_change(
        self, kind: str, stored: dict[str, Any], deleted: bool
    ) -> None:
        now = time.monotonic()
        self._written_s.append((now, self.revision))
        await super()._record_change(kind, stored, deleted)

    def _drop_old_history(self) -> None:
        until_s = time.monotonic() - HISTORY_S
        while self._written_s and self._written_s[0][0] < until_s:
            self._discarded_revision = self._written_s.pop(0)[1]
        self._history = [
            item for item in self._history if item.revision > self._discarded_revision
        ]

    async def _handle_read(self, kind: str, query: dict[str, str]) -> HttpResponse:
        self._drop_old_history()
        if "watch" in query:
            return await super()._handle_read(kind, query)
        objects = self._objects_by_kind.get(kind, {})
        names = sorted(name for name in objects if name > query.get("after", ""))
        items, size = [], 0
        for name in names[:MAX_PAGE_ITEMS]:
            size += len(json.dumps(objects[name]))
            if items and size > PAGE_BYTES:
                break
            items.append(objects[name])
        more = len(items) < len(names)
        found = {"items": items, "more": more, "storeRevision": self.revision}
        return json_response(200, found)
