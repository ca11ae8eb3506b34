//! Compatibility with the files of a data folder written by an earlier build.
//!
//! The encoding of records depends on the order of fields and variants. Files of an earlier build
//! reveal a change of that order.

use mulberry_consensus::{
    DurableState, Entry, HardState, MemberId, Members, Payload, Snapshot, Writes,
};

use crate::common::{entry, open};
use crate::fake_disk::FakeDisk;

/// Name and hexadecimal contents of each file.
const FILES: &str = include_str!("files_of_an_earlier_build.txt");

fn members() -> Members {
    Members { voters: vec![MemberId(1), MemberId(300)], learners: vec![MemberId(3)] }
}

fn snapshot() -> Snapshot {
    Snapshot { index: 2, term: 1, members: members(), data: vec![1, 2, 3] }
}

/// Writes that together produce every kind of record item.
fn all_writes() -> [Writes; 3] {
    let hard_state = HardState { term: 2, voted_for: Some(MemberId(300)) };
    [
        Writes { entries: (1..=5).map(|index| entry(index, 1, 4)).collect(), ..Writes::default() },
        Writes {
            hard_state: Some(hard_state),
            truncate_from: Some(4),
            entries: vec![
                Entry { index: 4, term: 2, payload: Payload::Members(members()) },
                Entry { index: 5, term: 2, payload: Payload::Noop },
            ],
            ..Writes::default()
        },
        Writes {
            entries: (6..=30).map(|index| entry(index, 2, 20)).collect(),
            ..Writes::default()
        },
    ]
}

fn bytes_of(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ascii"), 16);
    pairs.map(|pair| byte(pair).expect("hexadecimal digits")).collect()
}

/// Guards against a build that cannot read the log, snapshot or identity file of an earlier build, or that
/// writes them differently.
#[test]
fn files_of_an_earlier_build_are_read_and_written_alike() {
    let files: Vec<(&str, Vec<u8>)> = FILES
        .lines()
        .filter_map(|line| line.split_once(' '))
        .map(|(name, digits)| (name, bytes_of(digits)))
        .collect();
    let earlier = FakeDisk::new(1);
    files.iter().for_each(|(name, contents)| earlier.put(name, contents));
    let (_, state) = open(&earlier).expect("the files of an earlier build");
    let [_, second, third] = all_writes();
    let entries = [vec![entry(3, 1, 4)], second.entries, third.entries].concat();
    let hard_state = HardState { term: 2, voted_for: Some(MemberId(300)) };
    assert_eq!(state, DurableState { hard_state, snapshot: Some(snapshot()), entries });

    // The same identity and the same writes must produce the same files.
    let (identity, contents) =
        files.iter().find(|(name, _)| !name.contains('-')).expect("an identity");
    let disk = FakeDisk::new(1);
    disk.put(identity, contents);
    write_all(&disk);
    let written: Vec<(String, Vec<u8>)> =
        disk.names().into_iter().map(|name| (name.clone(), disk.contents(&name))).collect();
    let expected: Vec<(String, Vec<u8>)> =
        files.into_iter().map(|(name, contents)| (name.to_owned(), contents)).collect();
    assert_eq!(written, expected);
}

fn write_all(disk: &FakeDisk) {
    let (mut folder, _) = open(disk).expect("opens");
    let [first, second, third] = all_writes();
    folder.write(&first).expect("writes");
    folder.write(&second).expect("writes");
    folder.save_snapshot(&snapshot()).expect("saves");
    folder.write(&third).expect("writes");
}
