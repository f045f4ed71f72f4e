@0xb7a4f1c09d3e5826;
# Datagrams between routers on the platform: what each has sent to which target, and for which team.

struct LoadReport {
  sender @0 :Text;                  # name of the router
  incarnation @1 :UInt64;           # start of the router, in milliseconds since 1970
  seq @2 :UInt64;
  targets @3 :List(TargetLoad);
  teams @4 :List(TeamUse);
  services @5 :List(ServiceUse);
  kept @6 :List(KeptPart);
  isFull @7 :Bool;                  # targets that aren't listed have no load of the sender
  configOffset @8 :UInt64;          # offset behind the last record read of the configuration
  targetsOffset @9 :UInt64;         # the same of the targets
  toZone @10 :Bool;                 # the receiver passes it on to the other routers of its zone
}

struct TargetLoad {
  target @0 :UInt64;                # hash of the target's incarnation
  unreadTokens @1 :UInt32;          # prompt tokens sent whose request has no event yet
  runningCount @2 :UInt32;          # requests in flight
}

struct TeamUse {
  team @0 :UInt64;                  # hash of the team's name
  askedTokens @1 :UInt32;           # tokens asked for within the window
  begunTokens @2 :UInt32;           # tokens of requests that were sent within the window
}

struct ServiceUse {
  service @0 :UInt64;               # hash of the service's name
  requestCount @1 :UInt32;          # requests within the window
  repeatCount @2 :UInt32;           # attempts beyond each request's first within the window
}

struct KeptPart {
  target @0 :UInt64;                # hash of the target's incarnation
  part @1 :UInt64;                  # last shared part of a prompt that the target has read
}
