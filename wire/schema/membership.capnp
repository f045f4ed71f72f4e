@0xd1c8a45e7b0f3296;
# Membership messages. A datagram is a keyed hash followed by the message in packed form.

struct Member {
  enum Status {
    alive @0;
    suspect @1;
    dead @2;
    left @3;
  }

  name @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  status @3 :Status;
  draining @4 :Bool;
  appliedOffset @5 :UInt64;
  peersAddr @6 :Data;               # IP address and port in network byte order: 6 or 18 bytes
  region @7 :Text;
  zone @8 :Text;
}

struct LeavingTarget {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Datagram {
  seq @0 :UInt64;
  sender @1 :Member;
  members @2 :List(Member);
  leavingTargets @3 :List(LeavingTarget);
  union {
    ping @4 :Void;
    ack @5 :Void;
    pingRequest @6 :Data;           # address of the member to ping
    spread @7 :Void;
    sync @8 :Text;                  # requests the members with names greater than this
    page @9 :Bool;                  # whether more members follow those in this page
  }
}
