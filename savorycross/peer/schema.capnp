@0xd3b1f0a1c2e49577;

struct Frame {
  stamp @0 :UInt64;
  union {
    hello @1 :Hello;
    part @2 :Part;
    answer @3 :PartAnswer;
    cancel @4 :UInt64;
    inventories @5 :List(Inventory);
    forward @6 :Forward;
    reply @7 :Reply;
    pull @8 :Pull;
    push @9 :Push;
    released @10 :Released;
    joining @11 :Member;
  }
}

struct Hello {
  protocol @0 :UInt32;
  name @1 :Text;
  incarnation @2 :UInt64;
}

struct Part {
  partId @0 :UInt64;
  requestId @1 :Text;
  replicaSets @2 :List(Text);
  shards @3 :List(Text);
  version @4 :UInt64;
  epoch @5 :UInt64;
  priority @6 :UInt8;
  deadlineMs @7 :Float64;
  flushMs @8 :Float64;
  payload @9 :Data;
  repeatable @10 :Bool;
}

struct ShardResult {
  shard @0 :Text;
  cause @1 :Text;
  body @2 :Data;
  ran @3 :Int8;
}

struct PartAnswer {
  partId @0 :UInt64;
  results @1 :List(ShardResult);
  final @2 :Bool;
  waitMs @3 :Float64;
}

struct Holding {
  version @0 :UInt64;
  epoch @1 :UInt64;
  total @2 :UInt32;
  shards @3 :List(UInt32);
}

struct Inventory {
  target @0 :Text;
  boot @1 :Text;
  warm @2 :Bool;
  draining @3 :Bool;
  holdings @4 :List(Holding);
  stamp @5 :UInt64;
  # Requests a second that the target takes; below 0 if it states no limit.
  ratePerS @6 :Float64 = -1;
}

struct Forward {
  callId @0 :UInt64;
  ticket @1 :Text;
  workload @2 :Text;
  key @3 :Text;
  deadlineMs @4 :Float64;
  payload @5 :Data;
  requestId @6 :Text;
}

struct Reply {
  callId @0 :UInt64;
  code @1 :Text;
  message @2 :Text;
  body @3 :Data;
}

struct Pull {
  what @0 :Text;
  have @1 :UInt64;
}

struct Push {
  what @0 :Text;
  version @1 :UInt64;
  data @2 :Data;
}

struct Released {
  epoch @0 :UInt64;
  name @1 :Text;
}

struct Member {
  name @0 :Text;
  dataCentre @1 :Text;
  host @2 :Text;
  httpPort @3 :UInt16;
  peerPort @4 :UInt16;
  incarnation @5 :UInt64;
}

struct Rumour {
  name @0 :Text;
  incarnation @1 :UInt64;
  status @2 :Text;
}

struct Datagram {
  kind @0 :Text;
  sender @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  subject @4 :Text;
  viewEpoch @5 :UInt64;
  configVersion @6 :UInt64;
  stamp @7 :UInt64;
  load @8 :Float32;
  leaving @9 :Bool;
  rumours @10 :List(Rumour);
  confirmedAgeMs @11 :Int64 = -1;
}
