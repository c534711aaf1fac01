# Messages between two daemons. The first message in each direction of a link
# is a Hello. A daemon closes the link if it does not support the version.
@0xd3a1f0c27b5e9a44;

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Hello {
  version @0 :UInt16;
  instanceId @1 :Text;
  incarnation @2 :Text;
  failureDomain @3 :Text;
  region @4 :Text;
  peerAddress @5 :Text;
  isLeaving @6 :Bool;
}

struct Open {
  requestId @0 :Text;
  method @1 :Text;
  target @2 :Text;
  headers @3 :List(Header);
  route @4 :Text;
  generation @5 :UInt64;
  remainingMs @6 :UInt32;
  team @7 :Text;
  traceparent @8 :Text;
  hops @9 :UInt8;
  bodyLength @10 :Int64;   # -1 if unknown
  priority @11 :Int32;
  idempotencyKey @12 :Text;
  isService @13 :Bool;
}

struct ResponseHead {
  status @0 :UInt16;
  headers @1 :List(Header);
}

struct Failed {
  code @0 :Text;
  message @1 :Text;
  verdict @2 :Text;
  httpStatus @3 :UInt16;
}

struct PoolLoad {
  pool @0 :Text;
  free @1 :UInt32;
  queued @2 :UInt32;
  latencyMs @3 :UInt32;
}

struct Load {
  pools @0 :List(PoolLoad);
}

struct Leaving {
  upstreams @0 :List(Text);
}

struct Message {
  xid @0 :UInt64;
  union {
    hello @1 :Hello;
    heartbeat @2 :UInt64;
    heartbeatAck @3 :UInt64;
    open @4 :Open;
    accepted @5 :Void;
    bodyChunk @6 :Data;
    bodyEnd @7 :Void;
    responseHead @8 :ResponseHead;
    responseChunk @9 :Data;
    responseEnd @10 :Void;
    failed @11 :Failed;
    cancel @12 :Void;
    credit @13 :UInt32;
    load @14 :Load;
    tables @15 :Data;        # configuration document, zlib-compressed JSON
    leaving @16 :Leaving;
  }
}
