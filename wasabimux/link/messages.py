"""Typed messages of the link protocol, whose wire format wire.capnp defines."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated, NamedTuple, Union

from pydantic import Field

from wasabimux.decisions.aggregation import UsageReport
from wasabimux.decisions.crash_attribution import CrashEvidence
from wasabimux.decisions.ended_charges import EndedCharge
from wasabimux.decisions.rate import GrantDecision, GrantReport
from wasabimux.decisions.stream_versions import StreamVersion
from wasabimux.decisions.told_load import ToldLoad
from wasabimux.errors import ErrorCode, Ran, Refusal
from wasabimux.ids import NO_REVISION, StoreRevision
from wasabimux.ports import Headers

PROTOCOL_VERSION = 1

#: Statuses of ResponseHead for a slot reservation.
STATUS_SLOT_GRANTED = 100
STATUS_FIRST_IN_QUEUE = 102
STATUS_OK = 200

#: Number of tokens as messages carry it; to be checked where an engine names it.
TokenCount = Annotated[int, Field(ge=0, le=2**32 - 1)]


class Operation(Enum):
    """Operation that a stream requests from the process that accepts it."""

    RESERVE = "reserve"
    PREFILL = "prefill"
    CALL = "call"


class Hello(NamedTuple):
    """First message of each side of a link; identifies the process.

    Attributes:
        role: Role of the process, such as `entry`.
        name: Name of the process.
        incarnation: Number of this run of the process, new after each restart.
        protocol: Version of the link protocol that the process uses.
    """

    role: str
    name: str
    incarnation: int
    protocol: int = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Opens a stream and carries the request.

    Attributes:
        operation: Requested operation.
        request_id: Request that the stream belongs to.
        attempt: Number of the attempt, from 0.
        workspace: Workspace that the request runs for.
        budget_ms: Time in ms until the request's deadline.
        age_ms: Time in ms since the request was accepted.
        incarnation: Incarnation of the receiver that must respond, 0 for any.
        method: HTTP method of a call.
        target: HTTP target of a call, or path of a completion request.
        headers: HTTP headers of a call.
        body: Body of the request.
        patient: True if interactive requests take precedence over this one.
        repeatable: True if the call may run more than once.
        weight: Weight of the workspace in fair queueing for slots.
        cost: Expected number of tokens, the cost in fair queueing.
        slot_budget_ms: Longest useful wait for a slot, in ms.
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
    """Status and headers of a response on a stream.

    A slot reservation receives several: STATUS_FIRST_IN_QUEUE if it has to wait and
    reaches the front of the queue, STATUS_SLOT_GRANTED once it holds a slot, and
    STATUS_OK once the KV cache is imported and the response starts.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


class Data(NamedTuple):
    """A chunk of a stream's body; `sequence` counts from 0 in each direction."""

    sequence: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class EndStream:
    """Last message of a stream in one direction.

    Attributes:
        refusal: Reason for which the stream failed, None on success.
        prompt_tokens: Tokens of the prompt, 0 if unknown.
        output_tokens: Tokens of the response, 0 if unknown.
    """

    refusal: Refusal | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0


class Credit(NamedTuple):
    """Flow-control credit: lets the peer send `size` more bytes on the stream."""

    size: int


class KvSource(NamedTuple):
    """Location of the KV cache of a prompt; the response to a prefill request.

    Attributes:
        address: Address of the engine that holds the KV cache, as `IP:PORT`.
        handle: KV cache handle at that engine.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Tokens that came from the prefix cache.
    """

    address: str
    handle: str
    prompt_tokens: int
    cached_tokens: int


class Cancel(NamedTuple):
    """Aborts a stream; the receiver releases the resources of the stream."""


class Ping(NamedTuple):
    """Heartbeat of a link that sends nothing else."""


class SettingsUpdate(NamedTuple):
    """Version of the sender's settings, and the settings that the receiver needs.

    Attributes:
        version: Version in force at the sender.
        value: Settings as JSON, empty to announce only the version.
        age_ms: Time in ms since the version was last confirmed to be the newest.
    """

    version: int
    value: bytes = b""
    age_ms: int = 0


class SettingsRequest(NamedTuple):
    """Requests the settings that are in force at a peer."""


class GrantRequest(NamedTuple):
    """Requests rate-limit tokens from the holder of a workspace's shard.

    Attributes:
        correlation_id: Matches the reply to the request; 0 for a report that requests
            no tokens.
        workspace: Workspace whose requests spend the tokens.
        needed: Minimum number of tokens; the request is refused below it.
        wanted: Tokens that the sender expects to use within the grant lifetime.
        report: Tokens spent and refunded since the last request.
    """

    correlation_id: int
    workspace: str
    needed: float
    wanted: float
    report: GrantReport


class GrantReply(NamedTuple):
    """Reply of a shard's holder to a grant request."""

    correlation_id: int
    decision: GrantDecision


class ShardHolderRequest(NamedTuple):
    """Asks a peer who holds a shard; sent if the store cannot be reached."""

    shard: int


class ShardHolderHint(NamedTuple):
    """Holder of a shard, as far as the sender knows."""

    shard: int
    name: str
    incarnation: int
    address: str


class ShardClaim(NamedTuple):
    """Tells the former holder of a shard that the sender is the holder now."""

    shard: int
    epoch: int


class ShardClaimReply(NamedTuple):
    """Confirms that the sender grants no more tokens in epochs before this one."""

    shard: int
    epoch: int


class LoadReport(NamedTuple):
    """Load of an agent's upstream at the time of sending.

    Attributes:
        limit: Requests that the upstream may run concurrently.
        running: Requests that hold a slot.
        waiting: Requests that wait for a slot.
        accepting: True if the agent accepts new requests.
    """

    limit: int
    running: int
    waiting: int
    accepting: bool


class KindRevision(NamedTuple):
    """Revision up to which a relay has observed the platform objects of one kind."""

    kind: str
    revision: StoreRevision


class RelayIdentity(NamedTuple):
    """Identity of the sender, the first message among relays on each link.

    Attributes:
        address: Address on which the sender accepts links.
        failure_domain: Failure domain of the sender.
    """

    address: str
    failure_domain: str


class RelayReport(NamedTuple):
    """Report of usage among relays.

    Attributes:
        report: The usage.
        revisions: Revisions up to which the sender has observed platform objects.
        aggregators: Addresses of the aggregators of the sender's failure domain.
        desired_version: Version of the desired state that the sender has in force.
    """

    report: UsageReport
    revisions: tuple[KindRevision, ...] = ()
    aggregators: tuple[str, ...] = ()
    desired_version: int = 0


class ForwardedObject(NamedTuple):
    """A platform object, forwarded by a relay that has read it from the store.

    Attributes:
        name: Name of the object.
        revision: Revision of its last change, or of its deletion.
        deleted: True if the object was deleted.
        value: Its document.
        keep_s: Time in s for which the sender still keeps a deleted object, as it may
            only have expired; 0 if it is gone.
    """

    name: str
    revision: StoreRevision
    deleted: bool
    value: bytes
    keep_s: float = 0.0


class ForwardedObjects(NamedTuple):
    """Platform objects of one kind, forwarded to a relay with an older revision.

    A receiver that misses changes up to `since` still misses them afterwards.

    Attributes:
        kind: Kind of the objects.
        revision: Store revision up to which no change after `since` is missing.
        is_snapshot: True if the names of all objects of the kind are included. Others
            have been removed, also those whose removal the sender has not heard of.
        objects: The objects; those that have not changed have an empty value.
        since: Store revision after which changes are included.
    """

    kind: str
    revision: StoreRevision
    is_snapshot: bool
    objects: tuple[ForwardedObject, ...]
    since: StoreRevision = NO_REVISION


class DesiredStateOffer(NamedTuple):
    """Desired state that the sender has in force, as an encoded document."""

    document: bytes


class EngineCrashes(NamedTuple):
    """What the sender knows of crashes of engines.

    Attributes:
        complete: True if the sender also knows of the crashes before its start.
        crashes: The crashes that are new, or all of them on a new link.
    """

    complete: bool
    crashes: tuple[CrashEvidence, ...]


class VersionsSeen(NamedTuple):
    """Software versions that may have begun streams that still run.

    Sent by relays that also know of those before their start.
    """

    versions: tuple[StreamVersion, ...]


class EndedCharges(NamedTuple):
    """Charges of relays that have ended, from one aggregator to another."""

    charges: tuple[EndedCharge, ...]


class RelayLeaving(NamedTuple):
    """Announces that the sender is about to shut down gracefully."""


class SlotGrantRequest(NamedTuple):
    """Requests a decode slot from the relay that owns an engine.

    Attributes:
        correlation_id: Matches the reply to the request.
        upstream: Id of the engine.
        memory_forecast: KV cache memory of the stream in tokens, now and at later
            times.
    """

    correlation_id: int
    upstream: str
    memory_forecast: tuple[float, ...]


class SlotGrantReply(NamedTuple):
    """Reply of an engine's owner to a slot grant request."""

    correlation_id: int
    granted: bool


class PlaceState(Enum):
    """What the owner of a line says of a call.

    Attributes:
        WAITS: It is in the line.
        HAS_PLACE: It may be sent to an upstream.
        REFUSED: It cannot be served in time.
        LOST: The owner is gone; it is to be sent without a place.
    """

    WAITS = 0
    HAS_PLACE = 1
    REFUSED = 2
    LOST = 3


class PlaceRequest(NamedTuple):
    """Requests a place at an upstream of a plain service from the owner of its line.

    Attributes:
        correlation_id: Matches replies to the request.
        service: Name of the service.
        workspace: Workspace of the call, empty without one.
        priority: Priority of the call, 0 first.
        beyond_share: True if its workspace has used up its rate limit.
        came_back: True if its caller was refused before.
        on_time_s: Time left in s until the call is late; below 0 if it is.
        end_s: Time left in s until the call ends.
        avoid: Upstreams to exclude.
    """

    correlation_id: int
    service: str
    workspace: str
    priority: int
    beyond_share: bool
    came_back: bool
    on_time_s: float
    end_s: float
    avoid: tuple[str, ...] = ()


class PlaceReply(NamedTuple):
    """Reply of the owner of a line; a call that waits gets another one later.

    Attributes:
        correlation_id: Number of the request.
        state: What becomes of the call.
        upstream: Upstream at which it has a place, else empty.
        retry_after_s: Delay after which a refused caller may come back, in s.
    """

    correlation_id: int
    state: PlaceState
    upstream: str = ""
    retry_after_s: float = 0.0


class PlaceRelease(NamedTuple):
    """Tells that a call needs no place any more.

    Attributes:
        correlation_id: Number of the request.
        took_s: Time in s that the call took, 0 if it was not served.
        load: Load that the upstream told with its answer, None if it told none.
    """

    correlation_id: int
    took_s: float = 0.0
    load: ToldLoad | None = None


class SlotRelease(NamedTuple):
    """Tells that a slot, granted or not, is no longer used.

    Attributes:
        correlation_id: Number of the slot grant request.
    """

    correlation_id: int


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
    RelayIdentity,
    RelayReport,
    ForwardedObjects,
    DesiredStateOffer,
    RelayLeaving,
    SlotGrantRequest,
    SlotGrantReply,
    SlotRelease,
    EngineCrashes,
    VersionsSeen,
    EndedCharges,
    PlaceRequest,
    PlaceReply,
    PlaceRelease,
]


class FrameItem(NamedTuple):
    """A message and the id of its stream, 0 for messages of the link itself."""

    stream_id: int
    message: Message


def refusal_from_wire(code: str, message: str, ran: str, retry_ms: int) -> Refusal:
    """Rebuilds a refusal; an unknown `code` becomes INTERNAL, an unknown `ran` UNKNOWN.

    A peer of a newer version may send values that this version does not know.
    """
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
