"""Typed messages of the link, as the schema in wire.capnp defines them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Union

from wasabimux.decisions.rate import GrantDecision, GrantReport
from wasabimux.errors import ErrorCode, Ran, Refusal
from wasabimux.ports import Headers

PROTOCOL_VERSION = 1

STATUS_SLOT_GRANTED = 100
STATUS_FIRST_IN_QUEUE = 102
STATUS_OK = 200


class Operation(Enum):
    """What a stream asks its receiver to do."""

    RESERVE = "reserve"
    PREFILL = "prefill"
    CALL = "call"


class Hello(NamedTuple):
    """First item of each side: who it is, and in which life."""

    role: str
    name: str
    incarnation: int
    protocol_version: int = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Opens a stream.

    Attributes:
        operation: What is asked.
        request_id: Request that the stream belongs to.
        attempt: Number of the attempt, from 0.
        workspace: Workspace that the request runs for.
        budget_ms: Time left until the deadline.
        age_ms: Time since the request was accepted.
        incarnation: Life of the receiver that must answer, 0 for any.
        method: HTTP method of a call.
        target: HTTP target of a call, or path of a completion.
        headers: HTTP headers of a call.
        body: Body of the request.
        patient: True for work that may wait.
        repeatable: True if the call may run more than once.
        weight: Share of the workspace when the upstream is full.
        cost: Tokens that the request is expected to take.
        slot_budget_ms: Longest useful wait for a slot.
    """

    operation: Operation
    request_id: str
    attempt: int = 0
    workspace: str = ""
    budget_ms: int = 0
    age_ms: int = 0
    incarnation: int = 0
    method: str = ""
    target: str = ""
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    patient: bool = False
    repeatable: bool = False
    weight: float = 1.0
    cost: float = 1.0
    slot_budget_ms: int = 0


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """First answer on a stream.

    A reservation is answered with STATUS_NEXT if it waits and becomes the first to
    wait, with STATUS_GRANTED once it holds a slot, and with STATUS_OK once the KV
    cache is imported and the answer starts.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


class Data(NamedTuple):
    """A piece of a stream's body; `sequence` counts from 0 in each direction."""

    sequence: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class EndStream:
    """Last item of a stream in one direction.

    Attributes:
        refusal: Why the stream failed, None after success.
        prompt_tokens: Tokens of the prompt, where known.
        output_tokens: Tokens of the answer, where known.
    """

    refusal: Refusal | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0


class Credit(NamedTuple):
    """Lets the peer send as many more bytes on the stream."""

    size: int


class KvSource(NamedTuple):
    """Where the KV cache of a prompt lies; the answer to a prefill.

    Attributes:
        address: Engine that holds it, as `IP:PORT`.
        handle: Name of the result there.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Tokens that came from the prefix cache.
    """

    address: str
    handle: str
    prompt_tokens: int
    cached_tokens: int


class Cancel(NamedTuple):
    """Ends a stream at once; its receiver frees what the stream holds."""


class Ping(NamedTuple):
    """Keeps an idle link alive."""


class SettingsUpdate(NamedTuple):
    """The sender's version of the settings and the part for the receiver.

    Attributes:
        version: Version in force at the sender.
        value: The settings, empty to announce the version only.
        age_ms: Time since the version was proved the newest.
    """

    version: int
    value: bytes = b""
    age_ms: int = 0


class SettingsRequest(NamedTuple):
    """Asks a peer for its settings."""


class GrantRequest(NamedTuple):
    """Asks the holder of a workspace's shard for tokens, and reports.

    Attributes:
        correlation_id: Number that the reply repeats; 0 for a report without an ask.
        workspace: Workspace concerned.
        needed: Tokens without which the ask is refused.
        wanted: Tokens that can be used within the hold time.
        report: What was spent and refunded since the last ask.
    """

    correlation_id: int
    workspace: str
    needed: float
    wanted: float
    report: GrantReport


class GrantReply(NamedTuple):
    """A holder's answer to an ask."""

    correlation_id: int
    decision: GrantDecision


class ShardHolderRequest(NamedTuple):
    """Asks a peer who holds a shard; for entries cut off from the store."""

    shard: int


class ShardHolderHint(NamedTuple):
    """Who holds a shard, as far as the sender knows."""

    shard: int
    name: str
    incarnation: int
    address: str


class ShardClaim(NamedTuple):
    """Tells the former holder of a shard that the sender holds it now."""

    shard: int
    epoch: int


class ShardClaimReply(NamedTuple):
    """Confirms that the sender grants nothing in epochs before this one."""

    shard: int
    epoch: int


class LoadReport(NamedTuple):
    """Load of the agent's upstream at the time of sending."""

    limit: int
    running: int
    waiting: int
    accepting: bool


class WorkspaceUsage(NamedTuple):
    """Tokens that a relay has used of a workspace's share.

    Attributes:
        workspace: Identity of the workspace.
        charged: Tokens of requests that have run, since the sender's start.
        reserved: Tokens of requests under way.
    """

    workspace: str
    charged: float
    reserved: float


class UpstreamUsage(NamedTuple):
    """Requests that a relay has at an upstream, and the memory they take.

    Attributes:
        upstream: Its identity.
        running: Requests there.
        memory_forecast: Memory that they take now and at later points in time.
        changing_phase: True if the sender has ordered it to change its phase.
        backing_off: True if the sender leaves it alone after failures.
    """

    upstream: str
    running: int
    memory_forecast: tuple[float, ...]
    changing_phase: bool = False
    backing_off: bool = False


class KindRevision(NamedTuple):
    """How far a relay follows a kind of the platform's objects."""

    kind: str
    revision: int


class RelayAddresses(NamedTuple):
    """Addresses of the relays that the sender knows."""

    addresses: tuple[str, ...]


class RelayUsage(NamedTuple):
    """What a relay uses at present; sent at short intervals.

    Attributes:
        workspaces: What it uses of their shares.
        upstreams: Requests at upstreams.
        revisions: How far the sender follows the platform.
        waiting: Requests that wait for a decode slot.
        age_s: Time since the start of the sender.
        store_reachable: True if the platform's store answers the sender.
    """

    workspaces: tuple[WorkspaceUsage, ...]
    upstreams: tuple[UpstreamUsage, ...]
    revisions: tuple[KindRevision, ...]
    waiting: int
    age_s: float
    store_reachable: bool


class ForwardedObject(NamedTuple):
    """An object of the platform, passed on by a relay that has read it."""

    name: str
    revision: int
    deleted: bool
    value: bytes


class ForwardedObjects(NamedTuple):
    """Objects of one kind, passed on to a relay that is behind.

    Attributes:
        kind: Kind of the objects.
        revision: Revision of the store up to which these are complete.
        is_snapshot: True if these are all objects of the kind.
        objects: The objects.
    """

    kind: str
    revision: int
    is_snapshot: bool
    objects: tuple[ForwardedObject, ...]


class RelayLeaving(NamedTuple):
    """Tells peers that the sender is about to end in good order."""


class SlotGrantRequest(NamedTuple):
    """A relay asks the owner of an engine for a slot.

    Attributes:
        correlation_id: Tells the answer to it from others.
        upstream: The engine.
        memory_forecast: Memory that the stream takes now and at later points in time.
    """

    correlation_id: int
    upstream: str
    memory_forecast: tuple[float, ...]


class SlotGrantReply(NamedTuple):
    """An owner's answer to a relay that asked for a slot."""

    correlation_id: int
    granted: bool


Message = Union[
    Hello,
    OpenStream,
    ResponseHead,
    Data,
    EndStream,
    KvSource,
    Credit,
    Cancel,
    Ping,
    SettingsUpdate,
    SettingsRequest,
    LoadReport,
    GrantRequest,
    GrantReply,
    ShardClaim,
    ShardClaimReply,
    ShardHolderRequest,
    ShardHolderHint,
    RelayAddresses,
    RelayUsage,
    ForwardedObjects,
    RelayLeaving,
    SlotGrantRequest,
    SlotGrantReply,
]


class FrameItem(NamedTuple):
    """A message with the stream that it belongs to, 0 for the link itself."""

    stream_id: int
    message: Message


def refusal_from_wire(code: str, message: str, ran: str, retry_ms: int) -> Refusal:
    """Rebuilds a refusal; unknown words of a newer peer become cautious ones."""
    try:
        parsed_code = ErrorCode(code)
    except ValueError:
        parsed_code = ErrorCode.INTERNAL
    try:
        parsed_ran = Ran(ran)
    except ValueError:
        parsed_ran = Ran.UNKNOWN
    retry_after_s = retry_ms / 1000 if retry_ms else None
    return Refusal(parsed_code, message, parsed_ran, retry_after_s)
