@0xc3f1a0b7d2e94856;

# Messages between entries and agents. Each TCP frame is a 4-byte big-endian
# length followed by one Frame.

struct Frame {
  clock @0 :UInt64;       # hybrid logical clock of the sender, see timeline.py
  items @1 :List(Item);
}

struct Item {
  stream @0 :UInt32;      # 0 for items that concern the whole link
  union {
    hello @1 :Hello;
    open @2 :Open;
    head @3 :Head;
    data @4 :Chunk;
    end @5 :End;
    credit @6 :UInt32;    # bytes that the receiver has consumed
    cancel @7 :Void;
    ping @8 :Void;
    settings @9 :Settings;
    load @10 :Load;
    kvSource @11 :KvSource;
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
  reserve @0;             # decode slot, held for the life of the stream
  prefill @1;
  call @2;                # plain service
  grant @3;               # rate tokens, asked of the holder of a shard
  fetch @4;               # settings, asked of a peer
}

struct Open {
  operation @0 :Operation;
  requestId @1 :Text;
  attempt @2 :UInt16;
  workspace @3 :Text;
  budgetMs @4 :UInt32;    # time left until the request's deadline
  ageMs @5 :UInt32;       # time since the request was accepted
  incarnation @6 :UInt64; # of the agent that must answer, 0 for any
  method @7 :Text;
  target @8 :Text;
  headers @9 :List(Header);
  body @10 :Data;
  patient @11 :Bool;
  repeatable @12 :Bool;   # the call may run more than once
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
  value @1 :Data;
}

struct Load {
  limit @0 :UInt16;       # requests that the upstream may run now
  running @1 :UInt16;
  waiting @2 :UInt16;
  accepting @3 :Bool;
}

struct KvSource {
  address @0 :Text;       # engine that holds the KV cache of the prompt
  handle @1 :Text;
  promptTokens @2 :UInt32;
  cachedTokens @3 :UInt32;
}
