use {
    super::*,
    crate::{
        relays::{AttachReply, Report, Subscribe},
        seeded::seeded,
        tree_wire::Frame,
    },
    proptest::prelude::*,
};

const SEED: u64 = 0x0F1A_3E55;

/// Reads all whole frames; returns them and whether the rest is bad.
fn read(bytes: &[u8]) -> (Vec<(u32, String)>, bool) {
    let mut buf = BytesMut::from(bytes);
    let mut messages = Vec::new();
    loop {
        match next_frame(&mut buf) {
            Ok(Some(message)) => messages.push(message),
            Ok(None) => return (messages, false),
            Err(_) => return (messages, true),
        }
    }
}

proptest! {
    #![proptest_config(seeded(SEED))]

    /// Guards against a panic or a large allocation on bytes of another program.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        read(&bytes);
        drop(decode::<Frame>(&bytes));
        drop(decode::<Report>(&bytes));
        drop(decode::<Subscribe>(&bytes));
        drop(decode::<AttachReply>(&bytes));
    }

    /// Guards against messages that are lost or changed when frames arrive in pieces.
    #[test]
    fn frames_survive_any_split(
        messages in prop::collection::vec((any::<u32>(), ".{0,40}"), 0..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = Vec::new();
        for message in &messages {
            bytes.extend_from_slice(&encode_frame(message).unwrap());
        }
        let at = cut.index(bytes.len() + 1);
        let mut buf = BytesMut::from(&bytes[..at]);
        let mut seen = Vec::new();
        while let Some(message) = next_frame::<(u32, String)>(&mut buf).unwrap() {
            seen.push(message);
        }
        buf.extend_from_slice(&bytes[at..]);
        while let Some(message) = next_frame::<(u32, String)>(&mut buf).unwrap() {
            seen.push(message);
        }
        prop_assert_eq!(seen, messages);
    }

    /// Guards against a damaged frame that is taken for another message.
    #[test]
    fn a_changed_byte_is_noticed(
        message in (any::<u32>(), ".{0,40}"),
        position in any::<prop::sample::Index>(),
        change in 1..=u8::MAX,
    ) {
        let mut bytes = encode_frame(&message).unwrap().to_vec();
        let at = position.index(bytes.len());
        bytes[at] ^= change;
        let (messages, _) = read(&bytes);
        prop_assert!(messages.is_empty(), "{messages:?} of a damaged frame");
    }
}

/// Guards against an allocation of the size that a frame claims.
#[test]
fn a_frame_above_the_limit_is_refused() {
    let mut buf = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    buf.extend_from_slice(&[0; 4]);
    let e = next_frame::<u32>(&mut buf).unwrap_err();
    assert!(
        matches!(
            e,
            Error::TooLarge {
                limit: MAX_MESSAGE,
                ..
            }
        ),
        "{e}"
    );
}
