@0xb7a3c4d5e6f70819;
# Messages between routers. Units are part of each field's name. A session belongs to one cell of one
# pair of routers, so its messages name neither.

struct RouterId {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Demand {
  team @0 :Text;
  class @1 :Text;
  waitingCount @2 :UInt32;          # capped by the sender
  oldestDeadlineMs @3 :UInt32;      # time left, relative to the sending
  newestDeadlineMs @4 :UInt32;
  preferredTargets @5 :List(Text);
}

struct InFlight {
  grantId @0 :UInt64;
  team @1 :Text;
  class @2 :Text;
  target @3 :Text;
  cost @4 :Float64;
}

struct Progress {
  grantId @0 :UInt64;
  cost @1 :Float64;                 # so far, before the class's price
}

struct Account {
  team @0 :Text;
  deliveredCost @1 :Float64;        # cumulative for this router incarnation
}

struct TeamVirtualTime {
  team @0 :Text;
  cost @1 :Float64;                 # charged service per weight
}

struct Report {
  seq @0 :UInt32;
  ackedSeq @1 :UInt32;              # last grant batch that this report takes account of
  full @2 :Bool;                    # replaces all earlier state if set
  demand @3 :List(Demand);          # changed lines only unless full
  progress @4 :List(Progress);
  finishedGrants @5 :List(UInt64);
  declinedGrants @6 :List(UInt64);
  inFlight @7 :List(InFlight);      # only if full
  accounts @8 :List(Account);       # only if full
  virtualTimes @9 :List(TeamVirtualTime);  # only if full: last heard
  failedGrants @10 :List(UInt64);   # those finished whose target couldn't be connected to
  lineage @11 :UInt64;              # count of service that the virtual times belong to
}

struct Grant {
  id @0 :UInt64;
  team @1 :Text;
  class @2 :Text;
  target @3 :Text;
}

struct Move {
  team @0 :Text;
  class @1 :Text;
  requestCount @2 :UInt32;
  toCell @3 :Text;
}

struct GrantBatch {
  seq @0 :UInt32;
  grants @1 :List(Grant);
  moves @2 :List(Move);
  virtualTimes @3 :List(TeamVirtualTime);
  lineage @4 :UInt64;               # count of service that they belong to
}

struct Frame {
  # Travels beside the calls of the same connection: a call for each report and grant would cost more
  # bytes than the messages themselves.

  session @0 :UInt32;               # number that the joining router chose
  union {
    report @1 :Report;
    grants @2 :GrantBatch;
  }
}

interface Lease {
  # A router's place in a cell. Dropped to leave.
}

interface Peer {
  # What an authenticated router may ask of another.

  join @0 (cell :Text, session :UInt32) -> (accepted :Bool, lease :Lease);
  # Joins a cell. Not accepted by a router that doesn't take itself for the cell's dispatcher.

  ping @1 () -> ();
}

interface Login {
  prove @0 (proof :Data) -> (peer :Peer);
  # Keyed hash over both nonces and names, in the client's turn.
}

interface Gate {
  # Bootstrap interface of each router's listener.

  hello @0 (router :RouterId, nonce :Data) -> (router :RouterId, nonce :Data, proof :Data, login :Login);
  # The answer proves that the server knows the secret; then the client proves it, too.
}
