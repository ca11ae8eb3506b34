//! The frame decoder against arbitrary and changed bytes.

use mulberry_peers::{
    ConnectionKey, Direction, FrameError, FrameOpener, FrameSealer, MAX_BODY_BYTES,
};
use proptest::prelude::*;

fn seal_all(bodies: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let mut sealer = FrameSealer::new(ConnectionKey::new(b"key"), Direction::ToServer);
    bodies
        .iter()
        .map(|body| {
            let mut frame = Vec::new();
            sealer.seal(body, &mut frame);
            frame
        })
        .collect()
}

/// Bodies that are accepted, and whether the bytes ended properly.
fn open_all(direction: Direction, key: &[u8], mut bytes: &[u8]) -> (Vec<Vec<u8>>, bool) {
    let mut opener = FrameOpener::new(ConnectionKey::new(key), direction);
    let mut bodies = Vec::new();
    loop {
        match opener.read(&mut bytes) {
            Ok(Some(body)) => bodies.push(body),
            Ok(None) => return (bodies, true),
            Err(_) => return (bodies, false),
        }
    }
}

fn bodies() -> impl Strategy<Value = Vec<Vec<u8>>> {
    prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 2..6)
}

proptest! {
    /// Guards against frames that are lost or changed without an attacker.
    #[test]
    fn sealed_frames_open(bodies in bodies()) {
        let (opened, ended) = open_all(Direction::ToServer, b"key", &seal_all(&bodies).concat());
        prop_assert_eq!(opened, bodies);
        prop_assert!(ended);
    }

    /// Guards against a panic or an accepted frame on foreign bytes.
    #[test]
    fn arbitrary_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 1..500)) {
        let (opened, ended) = open_all(Direction::ToServer, b"key", &bytes);
        prop_assert!(opened.is_empty() && !ended);
    }

    /// Guards against a header field or a body byte that the HMAC does not cover.
    #[test]
    fn a_flipped_bit_is_refused(bodies in bodies(), place in any::<prop::sample::Index>()) {
        let frames = seal_all(&bodies);
        let mut bytes = frames.concat();
        let bit = place.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        let mut end = 0;
        let intact = frames.iter().take_while(|frame| { end += frame.len(); end <= bit / 8 }).count();
        let (opened, ended) = open_all(Direction::ToServer, b"key", &bytes);
        prop_assert_eq!(opened, &bodies[..intact]);
        prop_assert!(!ended);
    }

    /// Guards against a partial frame that counts as a message or as a proper end.
    #[test]
    fn a_cut_is_noticed(bodies in bodies(), place in any::<prop::sample::Index>()) {
        let frames = seal_all(&bodies);
        let bytes = frames.concat();
        let cut = place.index(bytes.len());
        let mut end = 0;
        let whole = frames.iter().take_while(|frame| { end += frame.len(); end <= cut }).count();
        let at_boundary = frames[..whole].concat().len() == cut;
        let (opened, ended) = open_all(Direction::ToServer, b"key", &bytes[..cut]);
        prop_assert_eq!(opened, &bodies[..whole]);
        prop_assert_eq!(ended, at_boundary);
    }

    /// Guards against replay and reordering: a frame is valid only at its own place.
    #[test]
    fn a_frame_elsewhere_is_refused(
        bodies in bodies(),
        from in any::<prop::sample::Index>(),
        to in any::<prop::sample::Index>(),
    ) {
        let frames = seal_all(&bodies);
        let (from, to) = (from.index(frames.len()), to.index(frames.len() + 1));
        prop_assume!(from != to);
        let mut replayed = frames.clone();
        replayed.insert(to, frames[from].clone());
        let (opened, ended) = open_all(Direction::ToServer, b"key", &replayed.concat());
        prop_assert_eq!(opened, &bodies[..to]);
        prop_assert!(!ended);
    }
}

/// Guards against frames that are reflected to their sender or come from another connection.
#[test]
fn another_direction_or_key_is_refused() {
    let bytes = seal_all(&[b"body".to_vec()]).concat();
    assert_eq!(open_all(Direction::ToClient, b"key", &bytes), (vec![], false));
    assert_eq!(open_all(Direction::ToServer, b"other", &bytes), (vec![], false));
}

/// Guards against an allocation of the announced size before the bytes have come.
#[test]
fn an_oversized_length_is_refused_by_its_header() {
    let mut header = seal_all(&[vec![]]).concat();
    header[..4].copy_from_slice(&(MAX_BODY_BYTES as u32 + 1).to_le_bytes());
    let mut opener = FrameOpener::new(ConnectionKey::new(b"key"), Direction::ToServer);
    let error = opener.read(&mut &*header).unwrap_err();
    assert!(matches!(error, FrameError::Oversized { bytes } if bytes == MAX_BODY_BYTES + 1));
}
