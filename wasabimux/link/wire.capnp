@0xc3f1a0b7d2e94856;

# Messages between entries and agents, among entries, and among relays. On TCP, each Frame is
# prefixed with its length as 4 bytes, big-endian.

struct Frame {
  clock @0 :UInt64;       # hybrid logical clock of the sender, see HybridClock in timeline.py
  items @1 :List(Item);
}

struct Item {
  stream @0 :UInt32;      # id of the stream, 0 for messages of the link itself
  union {
    hello @1 :Hello;
    open @2 :Open;
    head @3 :Head;
    data @4 :Chunk;
    end @5 :End;
    credit @6 :UInt32;    # bytes that the receiver has consumed; the peer may send as many more
    cancel @7 :Void;
    ping @8 :Void;
    settings @9 :Settings;
    load @10 :Load;
    kvSource @11 :KvSource;
    grantAsk @12 :GrantAsk;
    grantReply @13 :GrantReply;
    settingsWanted @14 :Void;
    claim @15 :Claim;
    claimReply @16 :ClaimReply;
    holderWanted @17 :UInt16; # shard whose holder is requested
    holderHint @18 :HolderHint;
    relayMembers @19 :List(Text); # no longer sent
    relayUse @20 :RelayUse;       # no longer sent
    relayObjects @21 :RelayObjects;
    relayLeaving @22 :Void; # the sender is about to shut down gracefully
    slotAsk @23 :SlotAsk;
    slotAnswer @24 :SlotAnswer;
    relayIdentity @25 :RelayIdentity;
    relayReport @26 :RelayReport;
    slotRelease @27 :UInt32; # number of the SlotAsk whose slot the sender has released
    desiredOffer @28 :Data; # document of the desired state that the sender has in force
    engineCrashes @29 :EngineCrashes;
    versionsSeen @30 :VersionsSeen;
    endedCharges @31 :List(EndedCharge);
    placeAsk @32 :PlaceAsk;
    placeAnswer @33 :PlaceAnswer;
    placeRelease @34 :PlaceRelease;
  }
}

struct Hello {
  protocol @0 :UInt16;
  role @1 :Text;
  name @2 :Text;
  incarnation @3 :UInt64;
}

struct Header {
  name @0 :Data;
  value @1 :Data;
}

enum Operation {
  reserve @0;             # decode slot, reserved until the stream ends
  prefill @1;
  call @2;                # HTTP call to a non-generation service
}

struct Open {
  operation @0 :Operation;
  requestId @1 :Text;
  attempt @2 :UInt16;
  workspace @3 :Text;
  budgetMs @4 :UInt32;    # time until the request's deadline
  ageMs @5 :UInt32;       # time since the request was accepted
  incarnation @6 :UInt64; # of the agent that must respond, 0 for any
  method @7 :Text;
  target @8 :Text;
  headers @9 :List(Header);
  body @10 :Data;
  patient @11 :Bool;      # interactive requests take precedence over this one
  repeatable @12 :Bool;   # the call may run more than once
  weight @13 :Float32 = 1; # weight of the workspace in fair queueing for slots
  cost @14 :Float32;      # expected number of tokens, the cost in fair queueing
  slotBudgetMs @15 :UInt32; # longest useful wait for a slot
}

struct Head {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct Chunk {
  sequence @0 :UInt32;
  payload @1 :Data;
}

struct End {
  ok @0 :Bool;
  code @1 :Text;
  message @2 :Text;
  ran @3 :Text;
  retryAfterMs @4 :UInt32;
  promptTokens @5 :UInt32;
  outputTokens @6 :UInt32;
}

struct Settings {
  version @0 :UInt64;
  value @1 :Data;         # empty to announce the version only
  ageMs @2 :UInt32;       # time since the version was last confirmed to be the newest
}

struct Load {
  limit @0 :UInt16;       # requests that the upstream may run concurrently
  running @1 :UInt16;
  waiting @2 :UInt16;
  accepting @3 :Bool;
}

struct KvSource {
  address @0 :Text;       # of the engine that holds the KV cache of the prompt
  handle @1 :Text;
  promptTokens @2 :UInt32;
  cachedTokens @3 :UInt32;
}

struct Spent {
  grant @0 :UInt64;
  tokens @1 :Float64;
}

struct GrantAsk {
  askId @0 :UInt32;       # correlation id, 0 for a report that requests no tokens
  workspace @1 :Text;
  needed @2 :Float64;
  wanted @3 :Float64;
  refunded @4 :Float64;
  spent @5 :List(Spent);
}

struct GrantReply {
  askId @0 :UInt32;
  outcome @1 :Text;
  tokens @2 :Float64;
  grant @3 :UInt64;
  retryAfterMs @4 :UInt32;
}

struct Claim {
  shard @0 :UInt16;       # shard that the sender holds now
  epoch @1 :UInt64;       # first epoch in which the sender is the holder
}

struct ClaimReply {
  shard @0 :UInt16;
  epoch @1 :UInt64;       # the sender grants no more tokens in earlier epochs
}

struct HolderHint {
  shard @0 :UInt16;
  name @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Text;
}

struct WorkspaceUse {
  workspace @0 :Text;
  charged @1 :Float64;    # tokens of completed requests within the last window
  reserved @2 :Float64;   # tokens reserved for requests in flight
  asked @3 :Float64;      # tokens of all requests within the last second
  returning @4 :Float64;  # tokens of refused streams whose callers will come back
}

struct UpstreamUse {
  upstream @0 :Text;
  running @1 :UInt16;     # requests of the sender that run there
  tokens @2 :List(UInt32); # forecast of their KV cache memory, see HORIZONS_S
  changing @3 :Bool;      # the sender has commanded a phase change
  resting @4 :Bool;       # the sender sends no requests for now after failures
}

struct SlotAsk {
  number @0 :UInt32;      # correlation id
  upstream @1 :Text;
  tokens @2 :List(UInt32); # forecast of the stream's KV cache memory, see HORIZONS_S
}

struct SlotAnswer {
  number @0 :UInt32;
  granted @1 :Bool;
}

struct PlaceAsk {
  number @0 :UInt32;      # correlation id
  service @1 :Text;
  workspace @2 :Text;
  priority @3 :Int32;
  beyondShare @4 :Bool;
  cameBack @5 :Bool;
  onTimeMs @6 :Int32;     # time left until the call is late, below 0 if it is
  endMs @7 :UInt32;       # time left until the call ends
  avoid @8 :List(Text);   # upstreams to exclude
}

struct PlaceAnswer {
  number @0 :UInt32;
  state @1 :UInt8;        # 0 waits, 1 has a place, 2 refused, 3 owner lost
  upstream @2 :Text;
  retryMs @3 :UInt32;
}

struct PlaceRelease {
  number @0 :UInt32;
  tookMs @1 :Float64;     # 0 if the call was not served
  running @2 :UInt32;     # load that the upstream told with its answer
  waiting @3 :UInt32;
  slots @4 :UInt32;
  slowness @5 :Float64;   # 1 as usual, 0 if it told no load
}

struct KindRevision {
  kind @0 :Text;
  revision @1 :UInt64;
  era @2 :UInt64;         # number of the store's history
}

struct RelayUse {
  workspaces @0 :List(WorkspaceUse);
  upstreams @1 :List(UpstreamUse);
  revisions @2 :List(KindRevision); # up to which the sender has observed platform objects
  waiting @3 :UInt16;     # requests that wait for a decode slot
  ageMs @4 :UInt32;       # time since the start of the sender
  inTouch @5 :Bool;       # the platform's store answers the sender
}

struct RelayIdentity {
  address @0 :Text;       # on which the sender accepts links
  domain @1 :Text;        # failure domain of the sender
}

struct UpstreamLoad {
  upstream @0 :Text;
  running @1 :UInt32;     # requests that run there
  tokens @2 :List(UInt32); # forecast of their KV cache memory, see HORIZONS_S
  changing @3 :UInt16;    # relays that have commanded a phase change
  backingOff @4 :UInt16;  # relays that send no requests for now after failures
  largest @5 :UInt32;     # largest KV cache memory that one relay uses now, in tokens
}

enum Scope {
  relay @0;
  domain @1;
  fleet @2;
}

struct RelayReport {
  scope @0 :Scope;        # whose usage it is
  workspaces @1 :List(WorkspaceUse);
  upstreams @2 :List(UpstreamLoad);
  waiting @3 :UInt32;     # requests that wait for a decode slot
  sequence @4 :UInt32;    # number of the sender's report of its own usage
  included @5 :UInt32;    # number of the receiver's last report that the sum includes
  relays @6 :UInt32;      # relays that the sum covers
  silent @7 :UInt32;      # silent ones among them
  inTouch @8 :Bool;       # the platform's store answers the sender
  revisions @9 :List(KindRevision); # up to which the sender has observed objects
  aggregators @10 :List(Text); # of the sender's failure domain
  leads @11 :Bool;        # the sender leads its failure domain
  desiredVersion @12 :UInt64; # of the desired state that the sender has in force
  samples @13 :List(AnswerSample); # of services with a roll-out
}

struct AnswerSample {
  service @0 :Text;
  software @1 :Text;      # version of the upstreams
  upstream @2 :Text;      # empty for the old versions, which are summed up
  route @3 :Text;
  measure @4 :UInt8;      # which time: 0 to the answer, 1 between events
  answers @5 :UInt32;
  failures @6 :UInt32;
  logTime @7 :Float64;    # sum of the logarithms of the times in s
  logTimeSquared @8 :Float64;
}

struct RelayObject {
  name @0 :Text;
  revision @1 :UInt64;
  deleted @2 :Bool;
  value @3 :Data;
  era @4 :UInt64;
  keepMs @5 :UInt32; # for which the sender still keeps a deleted object
}

struct RelayObjects {
  kind @0 :Text;
  revision @1 :UInt64;
  whole @2 :Bool;         # these are all objects of the kind
  objects @3 :List(RelayObject);
  era @4 :UInt64;
  sinceRevision @5 :UInt64; # after which all changes are included
  sinceEra @6 :UInt64;
}

struct EndedCharge {
  workspace @0 :Text;
  ageMs @1 :UInt32;       # time since the tokens were charged
  tokens @2 :Float64;
}

struct EngineCrash {
  upstream @0 :Text;
  startedMs @1 :UInt64;   # start of the engine's process since the epoch, 0 if unknown
  unused2 @2 :Text;       # the service, which suspects name now
  ageMs @3 :UInt32;       # time since the crash
  suspects @4 :List(Text); # what was about to begin
  cleared @5 :List(Text); # those of them that have begun elsewhere
}

struct ServiceVersion {
  service @0 :Text;
  software @1 :Text;
}

struct VersionsSeen {
  versions @0 :List(ServiceVersion); # in service while streams last, also before a start
}

struct EngineCrashes {
  complete @0 :Bool;      # the sender also knows of the crashes before its start
  crashes @1 :List(EngineCrash);
}
