@0xb7a3c4d5e6f70819;
# Messages between routers. Field names include their unit. A session belongs to one cell and one pair
# of routers, so its messages contain neither.

struct RouterId {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Demand {
  team @0 :Text;
  class @1 :Text;
  waitingCount @2 :UInt32;          # capped by the sender
  oldestDeadlineMs @3 :UInt32;      # remaining time when sent
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
  cost @1 :Float64;                 # cost so far, before the class's price factor
}

struct Account {
  team @0 :Text;
  deliveredCost @1 :Float64;        # cumulative in this incarnation of the router
}

struct TeamVirtualTime {
  team @0 :Text;
  cost @1 :Float64;                 # charged cost divided by the team's weight
}

struct Report {
  seq @0 :UInt32;
  ackedSeq @1 :UInt32;              # seq of the last grant batch reflected in this report
  full @2 :Bool;                    # if set, replaces all earlier state
  demand @3 :List(Demand);          # only changed entries unless full
  progress @4 :List(Progress);
  finishedGrants @5 :List(UInt64);
  declinedGrants @6 :List(UInt64);
  inFlight @7 :List(InFlight);      # only if full
  accounts @8 :List(Account);       # only if full
  virtualTimes @9 :List(TeamVirtualTime);  # only if full: as last received
  failedGrants @10 :List(UInt64);   # finished grants whose target couldn't be reached
  lineage @11 :UInt64;              # series of dispatchers whose virtual times are comparable
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
  lineage @4 :UInt64;               # series of dispatchers whose virtual times are comparable
}

struct Frame {
  # Sent on the connection next to RPC calls. An RPC call per report and grant batch would add more
  # bytes than the messages themselves have.

  session @0 :UInt32;               # session number chosen by the joining router
  union {
    report @1 :Report;
    grants @2 :GrantBatch;
  }
}

interface Lease {
  # Membership of a router in a cell. The router leaves by dropping the lease.
}

interface Peer {
  # Calls that an authenticated router may make.

  join @0 (cell :Text, session :UInt32) -> (accepted :Bool, lease :Lease);
  # Joins a cell. Only the router that considers itself the cell's dispatcher accepts.

  ping @1 () -> ();
}

interface Login {
  prove @0 (proof :Data) -> (peer :Peer);
  # Authenticates the client by a keyed hash of its role, both nonces and both router ids.
}

interface Gate {
  # Bootstrap interface of a router's listener.

  hello @0 (router :RouterId, nonce :Data) -> (router :RouterId, nonce :Data, proof :Data, login :Login);
  # The reply proves that the server knows the secret; the client then proves the same with `prove`.
}
