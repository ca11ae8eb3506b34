//! Decoders under arbitrary and damaged bytes.

use mulberry_state::{Command, FleetState, StateError, StateLimits};
use proptest::prelude::*;

use crate::common::{cases, change, commands, put_workspace};

/// A snapshot header with a right length and checksum.
fn sealed(body: &[u8]) -> Vec<u8> {
    let mut data = b"MLST\x01\0\0\0".to_vec();
    data.extend((body.len() as u64).to_le_bytes());
    data.extend(crc32c::crc32c(body).to_le_bytes());
    data.extend(body);
    data
}

fn state_after(commands: &[Command]) -> FleetState {
    let mut state = FleetState::new(StateLimits { audit_records: 3, ..StateLimits::default() });
    for (position, command) in commands.iter().enumerate() {
        state.apply(position as u64 + 1, command);
    }
    state
}

proptest! {
    #![proptest_config(cases(512))]

    /// Guards against a panic of a decoder.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Command::decode(&bytes);
        prop_assert!(FleetState::from_snapshot(&bytes).is_err());
        let _ = FleetState::from_snapshot(&sealed(&bytes));
    }

    /// Guards against a state that is accepted from changed contents with a right checksum and then
    /// panics when it is used.
    #[test]
    fn changed_contents_never_panic_later(
        commands in commands(),
        later in commands(),
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 1..4),
    ) {
        let mut body = state_after(&commands).to_snapshot().split_off(20);
        for (position, value) in changes {
            let position = position % body.len();
            body[position] = value;
        }
        if let Ok(mut state) = FleetState::from_snapshot(&sealed(&body)) {
            let start = state.applied_index();
            for (position, command) in later.iter().enumerate() {
                state.apply(start.saturating_add(position as u64 + 1), command);
            }
            let version = state.version().0;
            state.update_since(mulberry_types::ConfigurationVersion(version.saturating_sub(1)));
            state.to_snapshot();
        }
    }

    /// Guards against damage that passes the checksum.
    #[test]
    fn flipped_bit_is_refused(commands in commands(), position in any::<usize>(), bit in 0u8..8) {
        let mut data = state_after(&commands).to_snapshot();
        let position = position % data.len();
        data[position] ^= 1u8 << bit;
        prop_assert!(FleetState::from_snapshot(&data).is_err());
    }

    /// Guards against a command that reads back differently, or is read from a part of itself.
    #[test]
    fn commands_read_back(commands in commands()) {
        for command in &commands {
            let bytes = command.encode().expect("short");
            prop_assert_eq!(Command::decode(&bytes).expect("own bytes"), command.clone());
            prop_assert!(Command::decode(&bytes[..bytes.len() - 1]).is_err());
            let longer = [&bytes[..], &[0]].concat();
            prop_assert!(Command::decode(&longer).is_err());
        }
    }
}

/// Texts of the decoding errors.
#[test]
fn error_texts() {
    let snapshot = FleetState::default().to_snapshot();
    let with = |position: usize, value: u8| {
        let mut data = snapshot.clone();
        data[position] = value;
        data
    };
    let mut texts: Vec<String> =
        [vec![], with(0, b'x'), with(4, 9), with(8, 1), with(16, snapshot[16] ^ 1), sealed(&[])]
            .iter()
            .filter_map(|data| FleetState::from_snapshot(data).err())
            .map(|error| error.to_string())
            .collect();
    let long = change("1", 0, &[put_workspace(&"x".repeat(5 << 20), 1)], 0);
    texts.extend(long.encode().err().map(|error| error.to_string()));
    let error: Option<StateError> = Command::decode(&[99]).err();
    texts.extend(error.map(|error| error.to_string()));
    insta::assert_debug_snapshot!(texts);
}
