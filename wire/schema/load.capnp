@0xb7a4f1c09d3e5826;
# Load reports, sent as datagrams between routers on the platform: the load that each router has put on
# each target, and for which team.

struct LoadReport {
  sender @0 :Text;                  # name of the sending router
  incarnation @1 :UInt64;           # start time of the router, in milliseconds since the Unix epoch
  seq @2 :UInt64;
  targets @3 :List(TargetLoad);
  teams @4 :List(TeamUse);
  services @5 :List(ServiceUse);
  kept @6 :List(KeptPart);
  isFull @7 :Bool;                  # targets not listed have no load from the sender
  configOffset @8 :UInt64;          # offset after the last configuration record read
  targetsOffset @9 :UInt64;         # offset after the last target record read
  toZone @10 :Bool;                 # the receiver forwards the report to the other routers of its zone
  routersOffset @11 :UInt64;        # offset after the last router record read
  polls @12 :List(Poll);
  crashes @13 :List(Crash);
  clearedParts @14 :List(UInt64);   # parts of reported crashes that the sender has seen answered
  limits @15 :List(TargetLimit);
  storeEra @16 :UInt64;             # latest era of the store that the sender knows of
  leaving @17 :List(UInt64);        # incarnations that said to the sender that they are leaving
  ended @18 :List(EndedTarget);
  clearedRequests @19 :List(UInt64); # requests of ended targets that the sender has seen answered
  lateRecords @20 :List(LateRecord); # records of targets that have gone, which lie in the registry
  firstEvents @21 :List(FirstEvents); # first events since the last full report
  streams @22 :List(UInt64);        # begun streams: hashes of the ids of the attempts that brought the first events
  streamVersions @23 :List(UInt64); # hashes of the software versions of their targets; 0: unknown
  mixedServices @24 :List(UInt64);  # hashes of services with targets of more than one version
  mixedAgesMs @25 :List(UInt32);    # time since they were last known to have them
  knowsVersions @26 :Bool;          # whether the sender knows which versions have served lately
}

struct FirstEvents {
  target @0 :UInt64;                # hash of the target's incarnation
  expectedMs @1 :UInt32;            # time to the first event expected at the nominal speed, summed
  actualMs @2 :UInt32;              # time that it took, summed
  hostPercent @3 :UInt32;           # time that work takes on the target's host, in percent of the usual; 0 if unknown
}

struct LateRecord {
  target @0 :UInt64;                # hash of the target's incarnation
  heartbeat @1 :UInt64;             # number of the heartbeat up to which its records are late
}

struct TargetLoad {
  target @0 :UInt64;                # hash of the target's incarnation
  unreadTokens @1 :UInt32;          # prompt tokens of requests sent that have no event yet
  runningCount @2 :UInt32;          # requests in flight
}

struct TeamUse {
  team @0 :UInt64;                  # hash of the team's name
  askedTokens @1 :UInt32;           # tokens of requests that arrived within the window
  begunTokens @2 :UInt32;           # tokens of requests sent within the window
}

struct ServiceUse {
  service @0 :UInt64;               # hash of the service's name
  requestCount @1 :UInt32;          # requests within the window
  repeatCount @2 :UInt32;           # retries within the window: attempts after a request's first
}

struct Poll {
  topic @0 :Topic;
  from @1 :UInt64;                  # offset of the first record
  nextOffset @2 :UInt64;            # offset after the last record
  ageMs @3 :UInt32;                 # time since the topic ended at endOffset
  records @4 :List(Record);         # those from the first one on, without those told as heartbeats
  era @5 :UInt64;                   # era of the store
  isListing @6 :Bool;               # whether the records are the newest ones of all keys
  endOffset @7 :UInt64;             # offset at which the topic ended; 0: nextOffset
  recordOffsets @8 :List(UInt32);   # offsets of the records, from the first one; empty: successive
  heartbeatTargets @9 :List(UInt64); # records that only tell a heartbeat: hashes of the targets' incarnations
  heartbeatNumbers @10 :List(UInt64); # numbers of these heartbeats
  heartbeatColdMs @11 :List(UInt32); # 1 + how long these targets stay cold, 0: not said; empty: none says it
}

enum Topic {
  config @0;
  targets @1;
  routers @2;
}

struct Record {
  key @0 :Text;
  value @1 :Data;                   # empty if the record removes the key
}

struct Crash {
  target @0 :UInt64;                # hash of the incarnation of a target that ended as it began to answer
  team @1 :UInt64;                  # hash of the name of the team that sent the request
  ageMs @2 :UInt32;                 # time since the target ended
  parts @3 :List(UInt64);           # shared prompt parts of the request
}

struct EndedTarget {
  target @0 :UInt64;                # hash of the target's incarnation
  ageMs @1 :UInt32;                 # time since the target ended
  requests @2 :List(UInt64);        # keys of requests that it was running
}

struct TargetLimit {
  target @0 :UInt64;                # hash of the target's incarnation
  hasStatement @1 :Bool;            # whether the target stated something to the sender
  isLimited @2 :Bool;               # whether it stated a limit
  limitMilliPerS @3 :UInt32;        # requests per 1,000 seconds
  ageMs @4 :UInt32;                 # time since the statement
  sentCount @5 :UInt32;             # requests by the sender within the window of the limit
}

struct KeptPart {
  target @0 :UInt64;                # hash of the target's incarnation
  part @1 :UInt64;                  # identity of a shared prompt part that the target has read
}
