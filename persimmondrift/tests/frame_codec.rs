//! Frame codec: frames round-trip, and malformed or oversized bytes are refused with an error.

use std::io::Cursor;

use persimmondrift::unit::{Boot, Node, Sequence, Version};
use persimmondrift::wire::{self, Body, Error, FORMAT, Frame, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};

fn frame() -> Frame {
    Frame {
        node: Node::try_from("entry-0").expect("valid"),
        boot: Boot(7),
        sequence: Sequence(3),
        body: Body::Fetch(Version(9)),
    }
}

#[test]
fn frames_round_trip() {
    let mut bytes = Vec::new();
    wire::write(&mut bytes, &frame()).expect("written");
    wire::write(&mut bytes, &frame()).expect("written");
    let mut from = Cursor::new(bytes);
    assert_eq!(wire::read(&mut from).expect("first"), frame());
    assert_eq!(wire::read(&mut from).expect("second"), frame());
    assert!(matches!(wire::read(&mut from), Err(Error::Connection(_))));
}

#[test]
fn malformed_frames_are_refused() {
    let good = wire::encode(&frame(), MAX_DATAGRAM_BYTES).expect("encoded");
    let mut other = good.clone();
    other[0] = FORMAT + 1;
    let mut longer = good.clone();
    longer.push(0);
    let cases: [(&str, &[u8]); 5] = [
        ("empty", &[]),
        ("format", &other),
        ("cut", &good[..good.len() - 1]),
        ("trailing", &longer),
        ("random", &[FORMAT, 0xff, 0xff, 0xff, 0xff, 0xff]),
    ];
    for (name, bytes) in cases {
        assert!(wire::decode(bytes).is_err(), "{name}");
    }
}

#[test]
fn frame_sizes_are_bounded() {
    assert!(matches!(wire::encode(&frame(), 4), Err(Error::Size { limit: 4, .. })));
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("fits").to_be_bytes();
    assert!(matches!(wire::read(Cursor::new(length)), Err(Error::Size { .. })));
}
