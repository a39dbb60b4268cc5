"""A stand-in for the platform's object API.

It offers versioned objects, conditional updates, watches and a delayed list of
instances, and counts reads and writes. Tests can inject outages, slow responses, and
responses that are lost after the change took effect.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field

from wasabimux.adapters.http_server import HttpRequest, HttpResponse, json_response
from wasabimux.ports import (
    InstanceRecord,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
)

MAX_VALUE_BYTES = 1024 * 1024

#: A watch returns when no more than this time in s remains.
MIN_WAIT_S = 0.001


@dataclass(slots=True)
class PlatformFaults:
    """Faults injected into the platform.

    Attributes:
        down: True during an outage: every call fails without effect.
        delay_s: Delay in s of every call.
        lose_answers: True if puts take effect but their responses are lost.
        list_lag_s: Age in s of the list of instances.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    list_lag_s: float = 1.0


@dataclass(slots=True)
class MemoryPlatform:
    """The platform's state in memory; implements the Store protocol.

    Attributes:
        faults: Faults injected now.
        reads: Number of read calls, watches included.
        writes: Number of put and delete calls.
    """

    faults: PlatformFaults = field(default_factory=PlatformFaults)
    reads: int = 0
    writes: int = 0
    _objects_by_key: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    _instances_by_id: dict[str, InstanceRecord] = field(default_factory=dict)
    _instance_history: list[tuple[float, list[InstanceRecord]]] = field(
        default_factory=list
    )
    _version: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Reads an object."""
        self.reads += 1
        await self._apply_faults()
        return self._objects_by_key.get((kind, name))

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Writes an object if its version is `expected`; returns the new version.

        Raises:
            StoreConflict: The object has another version.
            StoreUnavailable: The platform is down, or the response was lost.
            ValueError: The value exceeds the size limit.
        """
        self.writes += 1
        await self._apply_faults()
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError("the value exceeds the size limit")
        current = self._objects_by_key.get((kind, name))
        current_version = current.version if current else 0
        if current_version != expected:
            raise StoreConflict(current_version)
        self._version += 1
        self._objects_by_key[kind, name] = StoredObject(name, self._version, value)
        self._wake_watches()
        if self.faults.lose_answers:
            raise StoreUnavailable("the response was lost")
        return self._version

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if it exists."""
        self.writes += 1
        await self._apply_faults()
        self._objects_by_key.pop((kind, name), None)

    async def watch(self, kind: str, after: int, wait_s: float) -> list[StoredObject]:
        """Waits up to `wait_s` for objects of a kind that changed after a version."""
        self.reads += 1
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            await self._apply_faults()
            found = [
                item
                for (item_kind, _), item in self._objects_by_key.items()
                if item_kind == kind and item.version > after
            ]
            remaining_s = deadline - loop.time()
            if found or remaining_s <= MIN_WAIT_S:
                return sorted(found, key=lambda item: item.version)
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                pass

    async def instances(self) -> list[InstanceRecord]:
        """Returns the list of instances as it was `list_lag_s` ago."""
        self.reads += 1
        await self._apply_faults()
        as_of_s = asyncio.get_running_loop().time() - self.faults.list_lag_s
        instances: list[InstanceRecord] = []
        for changed_s, records in self._instance_history:
            if changed_s <= as_of_s:
                instances = records
        return instances

    def set_instance(self, record: InstanceRecord) -> None:
        """Adds an instance to the list or replaces its record."""
        self._instances_by_id[record.instance] = record
        now = asyncio.get_running_loop().time()
        self._instance_history.append((now, list(self._instances_by_id.values())))

    def remove_instance(self, name: str) -> None:
        """Removes an instance from the list."""
        self._instances_by_id.pop(name, None)
        now = asyncio.get_running_loop().time()
        self._instance_history.append((now, list(self._instances_by_id.values())))

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; an outage fails waiting watches at once."""
        self.faults.down = down
        self._wake_watches()

    async def _apply_faults(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise StoreUnavailable("the platform is down")

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class PlatformServer:
    """Serves the platform's API over HTTP.

    Args:
        platform: State that is served.
        token: Bearer token that every call must carry, None for no check.
    """

    def __init__(self, platform: MemoryPlatform, token: str | None = None) -> None:
        self.platform = platform
        self._token = token

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles an HTTP request: an API call, or one for the stand-in itself."""
        if request.path.startswith("/_standin/"):
            return await self._handle_control_call(request)
        if self._token is not None:
            expected = f"Bearer {self._token}".encode()
            if request.header(b"authorization") != expected:
                return json_response(401, {})
        parts = request.path.strip("/").split("/")
        try:
            return await self._handle_call(request, parts)
        except StoreConflict as conflict:
            return json_response(412, {"current": conflict.current})
        except StoreUnavailable:
            return json_response(503, {})
        except ValueError as error:
            return json_response(413, {"error": str(error)})

    async def _handle_call(
        self, request: HttpRequest, parts: list[str]
    ) -> HttpResponse:
        match request.method, parts:
            case "GET", ["v1", "objects", kind, name]:
                item = await self.platform.get(kind, name)
                if item is None:
                    return json_response(404, {})
                return json_response(200, _object_document(item))
            case "GET", ["v1", "objects", kind]:
                query = request.query
                after = int(query.get("after", "0"))
                wait_s = float(query.get("wait_s", "0"))
                found = await self.platform.watch(kind, after, wait_s)
                return json_response(200, [_object_document(item) for item in found])
            case "PUT", ["v1", "objects", kind, name]:
                expected = int(request.header(b"if-match") or b"0")
                body = await request.body()
                version = await self.platform.put(kind, name, body, expected)
                return json_response(200, {"version": version})
            case "DELETE", ["v1", "objects", kind, name]:
                await self.platform.delete(kind, name)
                return json_response(200, {})
            case "GET", ["v1", "instances"]:
                instances = await self.platform.instances()
                return json_response(200, [item._asdict() for item in instances])
        return json_response(404, {})

    async def _handle_control_call(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/_standin/instances":
            for record in json.loads(await request.body()):
                self.platform.set_instance(InstanceRecord(**record))
        elif request.method == "POST":
            faults = json.loads(await request.body())
            down = faults.pop("down", self.platform.faults.down)
            for name, value in faults.items():
                setattr(self.platform.faults, name, value)
            self.platform.set_down(down)
        counts = {"reads": self.platform.reads, "writes": self.platform.writes}
        return json_response(200, counts)


def _object_document(item: StoredObject) -> dict[str, object]:
    return {
        "name": item.name,
        "version": item.version,
        "value": item.value.decode(),
    }
