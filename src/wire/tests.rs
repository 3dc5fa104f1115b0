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

/// Decodes all complete frames; returns their messages and whether an invalid frame follows.
fn decode_frames(bytes: &[u8]) -> (Vec<(u32, String)>, bool) {
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

    /// Guards against a panic or a large allocation when the input is not a message of this
    /// program.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_frames(&bytes);
        drop(decode::<Frame>(&bytes));
        drop(decode::<Report>(&bytes));
        drop(decode::<Subscribe>(&bytes));
        drop(decode::<AttachReply>(&bytes));
    }

    /// Guards against lost or altered messages when a frame arrives in two reads.
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
        let mut decoded = Vec::new();
        while let Some(message) = next_frame::<(u32, String)>(&mut buf).unwrap() {
            decoded.push(message);
        }
        buf.extend_from_slice(&bytes[at..]);
        while let Some(message) = next_frame::<(u32, String)>(&mut buf).unwrap() {
            decoded.push(message);
        }
        prop_assert_eq!(decoded, messages);
    }

    /// Guards against decoding a corrupted frame as a different message.
    #[test]
    fn a_changed_byte_is_noticed(
        message in (any::<u32>(), ".{0,40}"),
        position in any::<prop::sample::Index>(),
        mask in 1..=u8::MAX,
    ) {
        let mut bytes = encode_frame(&message).unwrap().to_vec();
        let at = position.index(bytes.len());
        bytes[at] ^= mask;
        let (messages, _) = decode_frames(&bytes);
        prop_assert!(messages.is_empty(), "decoded {messages:?} from a corrupted frame");
    }
}

/// Guards against an allocation of whatever size the frame header states.
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
