"""Interfaces to external systems: link channels, store, engines and services."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from wasabimux.ids import InstanceId

Headers = list[tuple[bytes, bytes]]


class Channel(Protocol):
    """Connection that delivers whole frames in order, or fails."""

    async def send(self, frame: bytes) -> None:
        """Sends a frame; waits while the connection's buffers are full."""

    async def receive(self) -> bytes | None:
        """Returns the next frame, or None if the connection is lost."""

    async def flush(self, stall_timeout_s: float) -> bool:
        """Waits until the peer has all frames sent so far, or the connection is lost.

        Args:
            stall_timeout_s: Longest time in s in which nothing arrives.

        Returns:
            False if that time was over.
        """

    async def end(self, stall_timeout_s: float) -> bool:
        """Tells the peer that no frame follows; it closes the connection then.

        Waits and returns as `flush` does.
        """

    def close(self) -> None:
        """Closes the connection immediately."""

    def peer_has_role(self, role: str) -> bool:
        """Returns whether the peer may act in a role; True without authentication."""


class StoredObject(NamedTuple):
    """Object of the platform's store with the version of its last change."""

    name: str
    version: int
    value: bytes


class InstanceRecord(NamedTuple):
    """Item of the platform's list of instances.

    Attributes:
        instance: Name of the instance.
        role: Role of the process on the instance, such as `entry`.
        address: Address for links from peers, as `IP:PORT`.
        leaving: True if the platform is about to remove the instance.
    """

    instance: InstanceId
    role: str
    address: str
    leaving: bool


class StoreUnavailable(Exception):
    """The store did not respond; a write may have taken effect."""


class StoreChannelLost(StoreUnavailable):
    """An open channel to the store ended or went silent before the response.

    That tells nothing of the store, which may answer on a new channel at once.
    """


class AnswerTooLarge(StoreUnavailable):
    """The store responds, but its response has more than can be read at once.

    The same call would be answered alike, so less is to be asked for.
    """


class StoreConflict(Exception):
    """A conditional write failed because the object has another version.

    Args:
        current: Current version of the object, 0 if it does not exist.
    """

    def __init__(self, current: int) -> None:
        super().__init__(f"object has version {current}")
        self.current = current


class Store(Protocol):
    """Object API of the platform. Each call counts against its rate limits."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if it does not exist. Raises StoreUnavailable."""

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Writes an object if its version is `expected`, 0 for a new object.

        Returns:
            The new version.

        Raises:
            StoreConflict: The object has another version; nothing was written.
            StoreUnavailable: The write may or may not have taken effect.
        """

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if it exists. Raises StoreUnavailable."""

    async def watch(self, kind: str, after: int, wait_s: float) -> list[StoredObject]:
        """Waits up to `wait_s` for objects of a kind that changed after a version.

        Returns:
            The changed objects; empty on timeout.

        Raises:
            StoreUnavailable: The store did not respond.
        """

    async def instances(self) -> list[InstanceRecord]:
        """Returns the platform's list of instances, which may lag behind."""


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """Location of a prompt's KV cache, from which a decode engine fetches it.

    Attributes:
        source: Address of the engine that holds the KV cache, as `IP:PORT`.
        handle: KV cache handle at that engine; valid for less than a second.
        prompt_tokens: Number of prompt tokens.
        cached_tokens: Number of prompt tokens found in the prefix cache.
    """

    source: str
    handle: str
    prompt_tokens: int
    cached_tokens: int


class EngineRefused(Exception):
    """The engine rejected a request.

    Args:
        status: HTTP status of the engine's response.
        message: Error text of the engine's response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(f"{status}: {message}")
        self.status = status
        self.message = message


class UpstreamLost(Exception):
    """The upstream cannot be reached or stopped responding.

    Args:
        message: Description of the failure.
        sent: True if the upstream may have received the request.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ResponseTooLarge(UpstreamLost):
    """The response has more bytes than its reader takes, or than there is room for."""


class UpstreamStalled(UpstreamLost):
    """The upstream sends nothing, while its connection holds."""


class StreamMismatch(UpstreamLost):
    """The upstream responds, but not with what follows in the stream."""


@dataclass(frozen=True, slots=True)
class PlainCall:
    """HTTP request to a plain service, one that does not generate text.

    Attributes:
        method: HTTP method.
        target: HTTP request target.
        headers: Headers without framing headers and API keys.
        body: Complete body.
        repeatable: True if the call may run more than once.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    repeatable: bool


class PlainResponse(Protocol):
    """HTTP response of a plain service with a streamed body."""

    @property
    def status(self) -> int:
        """HTTP status code."""

    @property
    def headers(self) -> Headers:
        """Response headers, including framing headers."""

    def pieces(self) -> AsyncIterator[bytes]:
        """Yields chunks of the body. Raises UpstreamLost if it ends early."""


class PlainUpstream(Protocol):
    """Plain service that an agent serves calls for."""

    def call(self, call: PlainCall) -> AbstractAsyncContextManager[PlainResponse]:
        """Sends a call. Entering raises UpstreamLost if there is no response."""


class Engine(Protocol):
    """Model engine that an agent controls."""

    async def prefill(self, run: str, body: bytes, patient: bool) -> PrefillResult:
        """Computes the KV cache of a prompt; `patient` work may wait for other work."""

    async def import_kv(self, run: str, source: str, handle: str) -> None:
        """Fetches a KV cache from another engine into a decode slot for `run`."""

    def decode(self, run: str, body: bytes, chat: bool) -> AsyncGenerator[bytes, None]:
        """Streams the response for an imported prompt in the client's format."""

    async def cancel(self, run: str) -> None:
        """Ends a run and frees its memory. Returns once the engine confirms it."""

    async def runs(self) -> list[str]:
        """Returns the IDs of the runs that hold memory."""

    async def is_cold(self) -> bool:
        """Returns whether the engine reports that it is in cold start."""
