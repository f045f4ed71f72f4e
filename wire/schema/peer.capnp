@0xb7a3c4d5e6f70819;
# Messages between routers. Units are part of each field's name.

struct RouterId {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Demand {
  team @0 :Text;
  class @1 :Text;
  waitingCount @2 :UInt32;          # capped by the sender
  oldestDeadlineMs @3 :UInt64;      # time left, relative to the sending
  preferredTargets @4 :List(Text);
}

struct InFlight {
  grantId @0 :UInt64;
  team @1 :Text;
  class @2 :Text;
  target @3 :Text;
}

struct Account {
  team @0 :Text;
  deliveredCost @1 :Float64;        # cumulative for this router incarnation
  pendingCost @2 :Float64;          # expected remainder of what is running
}

struct Report {
  router @0 :RouterId;
  cell @1 :Text;
  seq @2 :UInt64;
  full @3 :Bool;                    # replaces all earlier state if set
  demand @4 :List(Demand);          # changed lines only unless full
  finishedGrants @5 :List(UInt64);
  declinedGrants @6 :List(UInt64);
  inFlight @7 :List(InFlight);      # only if full
  accounts @8 :List(Account);       # changed lines only unless full
  virtualTimes @9 :List(TeamVirtualTime);  # only if full: last heard
  failedGrants @11 :List(UInt64);   # those finished whose target couldn't be connected to
  ackedSeq @10 :UInt64;             # last grant batch that this report takes account of
}

struct TeamVirtualTime {
  team @0 :Text;
  cost @1 :Float64;                 # charged service per weight
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

struct TeamSummary {
  team @0 :Text;
  serviceCost @1 :Float64;
  waitingCount @2 :UInt32;
}

struct CellSummary {
  cell @0 :Text;
  dispatcher @1 :RouterId;
  seq @2 :UInt64;
  freeSlots @3 :UInt32;
  teams @4 :List(TeamSummary);
}

struct GrantBatch {
  dispatcher @0 :RouterId;
  cell @1 :Text;
  seq @2 :UInt64;
  grants @3 :List(Grant);
  virtualTimes @4 :List(TeamVirtualTime);
  moves @5 :List(Move);
}

interface GrantSink {
  # Implemented by the router that has demand.
  grants @0 (batch :GrantBatch) -> ();
}

interface Session {
  # One router's view of one cell's dispatcher. Dropped to leave the cell.
  report @0 (report :Report) -> ();
}

interface Peer {
  # Bootstrap interface of each router.
  join @0 (router :RouterId, cell :Text, proof :Data, sink :GrantSink) -> (session :Session, dispatcher :RouterId);
  ping @1 () -> (router :RouterId);
}
