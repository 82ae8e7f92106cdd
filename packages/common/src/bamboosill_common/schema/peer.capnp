@0xd1c3a5f0b7e24601;
# Frames of the protocol between instances.

enum FrameKind {
  hello @0;
  request @1;
  reply @2;
  error @3;
  ping @4;
  pong @5;
}

struct Frame {
  # One frame on a peer connection.
  kind @0 :FrameKind;
  correlation @1 :UInt64;
  clock @2 :UInt64;
  type @3 :Text;
  body @4 :Data;
}

struct Tagged {
  # A message with the name of its type, as stored in replicated logs.
  type @0 :Text;
  body @1 :Data;
}

struct Hello {
  # First frame in each direction of a peer connection.
  protocol @0 :UInt32;
  instance @1 :Text;
  incarnation @2 :UInt64;
  zone @3 :Text;
  token @4 :Text;
}

struct Failure {
  # Body of an error frame.
  code @0 :Text;
  detail @1 :Text;
}

struct Ping {
  # Reserved for ping and pong frames, whose body is empty.
  sentMs @0 :UInt64;
}
