"""Interfaces between the relay and the platform that it runs on."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple, Protocol

from expression import Result

from wasabimux.decisions.answers import ResponseMetadata
from wasabimux.ids import RequestId, StoreRevision, UpstreamId
from wasabimux.ports import Headers
from wasabimux.relay.model import (
    DesiredState,
    RequestMetadata,
    RolloutRecord,
    SendOptions,
    UpstreamNotice,
    UpstreamRecord,
)
from wasabimux.settings.findings import Finding


class PlatformObject(NamedTuple):
    """A versioned object of the platform's store.

    Attributes:
        name: Name, unique within the object's kind.
        revision: Store revision of the object's last change.
        value: Decoded document, which has just the fields that are read.
    """

    name: str
    revision: StoreRevision
    value: Any


class ObjectChange(NamedTuple):
    """A change of an object.

    Attributes:
        platform_object: The object, with its last value if it was deleted.
        deleted: True if the object was deleted.
    """

    platform_object: PlatformObject
    deleted: bool


class ListedObjects(NamedTuple):
    """All objects of one kind at a revision of the store."""

    objects: list[PlatformObject]
    revision: StoreRevision


class ObjectChanges(NamedTuple):
    """Changes of the objects of one kind up to a revision of the store."""

    changes: list[ObjectChange]
    revision: StoreRevision


class HistoryLost(Exception):
    """The store no longer has the requested changes; list all objects again.

    The store has dropped its history, or was restored from a copy.
    """


class ObjectStore(Protocol):
    """Client of the platform's store, whose calls are billed and rate limited.

    A context manager that closes its connections. Every method raises StoreUnavailable
    if the store does not respond.

    Attributes:
        on_call: Called after each call with the method and the outcome.
        era: Highest era of the store in any response so far.
        answered_s: Loop time in s of the last response to any call.
    """

    on_call: Callable[[str, str], None]
    era: int
    answered_s: float

    async def __aenter__(self) -> ObjectStore:
        """Enters the context."""

    async def __aexit__(self, *exc_info: object) -> None:
        """Closes the connections."""

    async def list(self, kind: str, allow_stale: bool = False) -> ListedObjects:
        """Lists all objects of a kind.

        Args:
            kind: Kind of the objects.
            allow_stale: True if the list may be some seconds old, which costs less.
        """

    def pages(
        self, kind: str, allow_stale: bool = False
    ) -> AsyncIterator[ListedObjects]:
        """Lists all objects of a kind, and yields some at a time.

        Each part has the revision at which the listing began.

        Args:
            kind: Kind of the objects.
            allow_stale: As for list.
        """

    async def watch(
        self, kind: str, after: StoreRevision, wait_s: float
    ) -> ObjectChanges:
        """Waits for changes after a revision.

        Args:
            kind: Kind of the objects.
            after: Revision after which changes are returned.
            wait_s: Longest wait, in s.

        Raises:
            HistoryLost: The store no longer has the changes after the revision.
        """

    async def create(self, kind: str, name: str, value: Any) -> StoreRevision:
        """Creates an object and returns its revision.

        Raises:
            StoreConflict: The object exists already.
        """

    async def replace(
        self, kind: str, name: str, value: Any, revision: StoreRevision
    ) -> StoreRevision:
        """Replaces an object and returns its new revision.

        Raises:
            StoreConflict: The object does not have the given revision, or the store was
                restored since; the write may then have replaced another one.
        """

    async def write_status(
        self, kind: str, name: str, status: Any, revision: StoreRevision
    ) -> StoreRevision:
        """Replaces the status of an object and returns its new revision.

        Raises:
            StoreConflict: The object does not have the given revision, or the store was
                restored since.
        """

    async def delete(self, kind: str, name: str, revision: StoreRevision) -> None:
        """Deletes an object.

        Raises:
            StoreConflict: The object does not have the given revision.
        """


class ObjectKinds(NamedTuple):
    """Names of the kinds of store objects that a relay uses.

    Attributes:
        desired_state: Kind of the desired states.
        desired_state_name: Name of the only desired state that is in force.
        upstreams: Kind of the upstreams' entries, each named by its identity.
        evacuations: Kind of the evacuations, each named by a failure domain that
            receives no requests.
        rollouts: Kind of the roll-outs, each named by its service.
        relays: Kind of the relays' entries.
        leases: Kind of the leases of tasks that one relay performs at a time.
        quarantines: Kind of the quarantines.
        streams: Kind of the relays' records of running streams.
    """

    desired_state: str
    desired_state_name: str
    upstreams: str
    evacuations: str
    rollouts: str
    relays: str
    leases: str
    quarantines: str
    streams: str


class DocumentDecoder(Protocol):
    """Decodes the documents in the platform's store."""

    @property
    def kinds(self) -> ObjectKinds:
        """Returns the names of the kinds of objects."""

    def read(self, kind: str, name: str, document: bytes) -> Any:
        """Decodes what is read of an object's document as JSON.

        Raises:
            DocumentError: The document cannot be read.
        """

    def desired_state(self, value: Any) -> Result[DesiredState, list[Finding]]:
        """Decodes a desired state."""

    def rollout(self, value: Any) -> Result[RolloutRecord, list[Finding]]:
        """Decodes a roll-out, whose value holds its order and its status."""

    def rollout_status(self, record: RolloutRecord, reason: str) -> dict[str, Any]:
        """Encodes the status of a roll-out."""

    def upstream(self, name: str, value: Any) -> Result[UpstreamRecord, list[Finding]]:
        """Decodes the entry of an upstream."""


class HeaderCodec(Protocol):
    """Decodes and encodes the platform's headers of requests and responses."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Decodes the metadata of a client's request."""

    def request_headers(self, headers: Headers, options: SendOptions) -> Headers:
        """Returns the headers for forwarding a request to an upstream."""

    def read_response(self, headers: Headers) -> ResponseMetadata:
        """Decodes the metadata of an upstream's response."""

    def read_notice(self, status: int, headers: Headers) -> UpstreamNotice:
        """Decodes what a response says of its upstream."""

    def response_headers(self, headers: Headers) -> Headers:
        """Returns the headers for forwarding a response to the client."""

    def relay_response_headers(self, request_id: RequestId) -> Headers:
        """Returns the headers of a response that the relay itself generates."""


class PhaseChangeCommand(NamedTuple):
    """Command to an engine to change its phase.

    Attributes:
        upstream: Incarnation of the engine that the command is valid for.
        to_prefill: True to change to prefill, False to change to decode.
        lease_holder: Relay that sends the command.
        fencing_token: Fencing token of that relay's lease.
        expected_command_count: Number of commands that the engine must have accepted
            before.
    """

    upstream: UpstreamId
    to_prefill: bool
    lease_holder: str
    fencing_token: int
    expected_command_count: int


class EngineReport(NamedTuple):
    """Load report of an engine, which lags the engine by some hundred ms.

    Attributes:
        running: Number of running requests.
        waiting: Number of queued requests.
        used_tokens: KV cache memory in use that cannot be evicted, in tokens.
        held_tokens: KV cache memory that is reserved, in tokens.
        busy: True while the engine executes a command.
        command_count: Number of commands that the engine has accepted.
    """

    running: int
    waiting: int
    used_tokens: int
    held_tokens: int
    busy: bool
    command_count: int


class StoppedStream(NamedTuple):
    """A stream that an engine has stopped for migration to another engine.

    Attributes:
        handle: Handle of the stream's KV cache at the engine that stopped it.
        copied: True if the target engine has a copy of the KV cache; otherwise the
            stream can only be resumed at the engine that stopped it.
    """

    handle: str
    copied: bool


class EngineCall(NamedTuple):
    """An HTTP request to the control API of an engine.

    Answers of control calls bear no identity, and an engine may write one again where
    the next answer is due.

    Attributes:
        method: HTTP method.
        target: HTTP target.
        headers: Headers.
        body: Whole body.
        identity_header: Header that only answers to requests of clients have.
        needs_new_connection: True if the answer of an earlier call would do harm.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    identity_header: bytes
    needs_new_connection: bool = False


class EngineCodec(Protocol):
    """Encodes control calls to engines and decodes the responses."""

    def reserve_slot(self, tokens: int, ttl_s: float) -> EngineCall:
        """Encodes the reservation of a slot and KV cache memory.

        Args:
            tokens: KV cache memory to reserve, in tokens.
            ttl_s: Time after which the reservation expires, in s.
        """

    def read_reservation(self, status: int, body: bytes) -> str | None:
        """Returns the identity of the reservation, None if it was refused."""

    def release_reservation(self, reservation: str) -> EngineCall:
        """Encodes the release of a reservation."""

    def read_kv_cache_handle(self, status: int, body: bytes) -> str | None:
        """Returns the KV cache handle in a prefill response, None without one."""

    def free_kv_cache(self, handle: str) -> EngineCall:
        """Encodes the deletion of a retained KV cache."""

    def migrate_stream(self, request: RequestId, to: str) -> EngineCall:
        """Encodes a call that stops a stream and copies its KV cache.

        Args:
            request: Identity of the stream's request.
            to: Address of the engine that receives the copy.
        """

    def read_migration(self, status: int, body: bytes) -> StoppedStream | None:
        """Returns the stopped stream, None if it still runs or has ended."""

    def phase_change(self, command: PhaseChangeCommand) -> EngineCall:
        """Encodes a command to change the phase of an engine."""

    def report(self) -> EngineCall:
        """Encodes the request for a load report."""

    def read_report(self, status: int, body: bytes) -> EngineReport | None:
        """Decodes a load report, None if the response has none."""
