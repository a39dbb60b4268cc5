"""Interfaces between the relay and the platform that it runs on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from expression import Result

from wasabimux.ids import RequestId, UpstreamId
from wasabimux.ports import Headers
from wasabimux.relay.model import (
    DesiredState,
    RequestMetadata,
    ResponseMetadata,
    SendOptions,
    UpstreamRecord,
)
from wasabimux.settings.findings import Finding


class PlatformObject(NamedTuple):
    """An object of the platform's store.

    Attributes:
        name: Name within its kind.
        revision: Revision of its last change.
        value: Decoded document.
    """

    name: str
    revision: int
    value: Any


class ObjectChange(NamedTuple):
    """A change of an object; the last value where it was deleted."""

    platform_object: PlatformObject
    deleted: bool


class ListedObjects(NamedTuple):
    """All objects of a kind as of a revision of the store."""

    objects: list[PlatformObject]
    revision: int


class ObjectChanges(NamedTuple):
    """Changes of a kind up to a revision of the store."""

    changes: list[ObjectChange]
    revision: int


class HistoryLost(Exception):
    """The store no longer has the changes since a revision; list again."""


class ObjectStore(Protocol):
    """The platform's store. Each call has a price and counts against rates.

    Every call raises StoreUnavailable when there is no answer.

    Attributes:
        on_call: Called after each call with its method and outcome.
    """

    on_call: Callable[[str, str], None]

    async def list(self, kind: str) -> ListedObjects:
        """Lists all objects of a kind."""

    async def watch(self, kind: str, after: int, wait_s: float) -> ObjectChanges:
        """Waits for changes after a revision. Raises HistoryLost."""

    async def create(self, kind: str, name: str, value: Any) -> int:
        """Creates an object; returns its revision. Raises StoreConflict."""

    async def replace(self, kind: str, name: str, value: Any, revision: int) -> int:
        """Replaces an object that has a revision. Raises StoreConflict."""

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Deletes an object that has a revision. Raises StoreConflict."""


class ObjectKinds(NamedTuple):
    """Names of the kinds of objects that a relay uses.

    Attributes:
        desired_state: Holds desired states.
        desired_state_name: The one object of that kind that counts.
        upstreams: Entries of upstreams, each named by its identity.
        evacuations: Failure domains that get nothing, by name.
        relays: Entries of relays.
        leases: Leases of duties that one relay has at a time.
    """

    desired_state: str
    desired_state_name: str
    upstreams: str
    evacuations: str
    relays: str
    leases: str


class DocumentDecoder(Protocol):
    """Decodes the platform's documents."""

    @property
    def kinds(self) -> ObjectKinds:
        """Names of the kinds of objects."""

    def desired_state(self, value: Any) -> Result[DesiredState, list[Finding]]:
        """Decodes a desired state."""

    def upstream(self, name: str, value: Any) -> Result[UpstreamRecord, list[Finding]]:
        """Decodes the entry of an upstream."""


class HeaderCodec(Protocol):
    """Reads and writes the headers of requests and answers."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Reads what a request says of itself."""

    def request_headers(self, headers: Headers, options: SendOptions) -> Headers:
        """Returns the headers of a request that is passed on."""

    def read_response(self, headers: Headers) -> ResponseMetadata:
        """Reads the head of an upstream's answer."""

    def response_headers(self, headers: Headers) -> Headers:
        """Returns the headers of an answer that is passed on."""

    def relay_response_headers(self, request_id: RequestId) -> Headers:
        """Returns the headers of an answer that the relay makes itself."""


class PhaseChangeCommand(NamedTuple):
    """An order to an engine to change what it does.

    Attributes:
        upstream: The engine; no other life of it may take the order.
        prefill: True to prefill, False to decode.
        holder: Relay that gives the order.
        fence: Fencing token of its lease.
        expected: Orders that the engine must have accepted before.
    """

    upstream: UpstreamId
    to_prefill: bool
    lease_holder: str
    fencing_token: int
    expected_command_count: int


class EngineReport(NamedTuple):
    """What an engine reports, some hundred ms late.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait.
        used_tokens: Memory that cannot be freed.
        held_tokens: Memory reserved.
        busy: True while an order is carried out.
        orders: Orders accepted.
    """

    running: int
    waiting: int
    used_tokens: int
    held_tokens: int
    busy: bool
    command_count: int


class StoppedStream(NamedTuple):
    """A stream that an engine has stopped, to go on elsewhere.

    Attributes:
        handle: Name of its memory at the engine.
        copied: True if the other engine has a copy; else it may only go on where it
            was.
    """

    handle: str
    copied: bool


class EngineCall(NamedTuple):
    """A call to an engine besides requests."""

    method: str
    target: str
    headers: Headers
    body: bytes


class EngineCodec(Protocol):
    """Encodes calls to engines and decodes their answers."""

    def reserve_slot(self, tokens: int, ttl_s: float) -> EngineCall:
        """Reserves a slot and memory."""

    def read_reservation(self, status: int, body: bytes) -> str | None:
        """Returns the reservation, None if there is no room."""

    def release_reservation(self, hold: str) -> EngineCall:
        """Gives a reservation back."""

    def read_kv_cache_handle(self, status: int, body: bytes) -> str | None:
        """Returns the handle of a prefill, None if there is none."""

    def free_kv_cache(self, handle: str) -> EngineCall:
        """Frees the KV cache of a prefill."""

    def migrate_stream(self, request: RequestId, to: str) -> EngineCall:
        """Stops a running stream and copies its memory to another engine.

        Args:
            request: Identity of the stream's request.
            to: Address of the other engine.
        """

    def read_migration(self, status: int, body: bytes) -> StoppedStream | None:
        """Returns the stopped stream, None if it runs on or has ended."""

    def phase_change(self, command: PhaseChangeCommand) -> EngineCall:
        """Orders an engine to change its phase."""

    def report(self) -> EngineCall:
        """Asks for a report."""

    def read_report(self, status: int, body: bytes) -> EngineReport | None:
        """Reads a report, None if there is none."""
