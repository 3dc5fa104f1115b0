//! Tests of the data folder.

mod power;

use {
    super::{
        Batch, Options, Wal,
        frame::{Frame, HEADER_BYTES, Record, encode_frames, frame_at},
    },
    crate::{
        error::Error,
        raft::{Entry, HardState, Payload, Position, ReplicaId, Snapshot, Stored},
        wire,
    },
    bytes::Bytes,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config as ProptestConfig, RngSeed},
    },
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
    tempfile::TempDir,
};

const ID: ReplicaId = ReplicaId(7);

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        at: Position { index, term },
        payload: Payload::Command(Bytes::from(vec![index as u8; 40])),
    }
}

fn entries(first: u64, last: u64, term: u64) -> Vec<Entry> {
    (first..=last).map(|index| entry(index, term)).collect()
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        at: Position { index, term },
        members: Vec::new(),
        data: Bytes::from(vec![index as u8; 3_000_000]),
    }
}

fn options() -> Options {
    Options {
        segment_bytes: 500,
        ..Options::default()
    }
}

fn open(folder: &Path) -> (Wal, Stored) {
    let (wal, recovered) = Wal::open(folder, options(), ReplicaId(8)).unwrap();
    assert_eq!(recovered.id, ID, "the identity changed");
    (wal, recovered.stored)
}

fn create() -> (TempDir, Wal) {
    let folder = TempDir::new().unwrap();
    let (wal, _) = Wal::open(folder.path(), options(), ID).unwrap();
    (folder, wal)
}

fn save(wal: &mut Wal, entries: &[Entry]) {
    wal.save(Batch {
        entries,
        ..Batch::default()
    })
    .unwrap();
}

fn files(folder: &Path, suffix: &str) -> Vec<PathBuf> {
    super::snapshot::files(folder, suffix).unwrap()
}

/// Guards against a restart that returns wrong entries or votes, or entries that were overwritten.
#[test]
fn restart_returns_what_was_saved() {
    let (folder, mut wal) = create();
    let hard = HardState {
        term: 2,
        vote: Some(ID),
        group: 3,
    };
    wal.save(Batch {
        hard: Some(hard),
        entries: &entries(1, 30, 1),
        ..Batch::default()
    })
    .unwrap();
    save(&mut wal, &entries(21, 25, 2));
    drop(wal);
    for _ in 0..3 {
        let (_, stored) = open(folder.path());
        assert_eq!(stored.hard, hard);
        assert_eq!(
            stored.entries,
            [entries(1, 20, 1), entries(21, 25, 2)].concat()
        );
    }
}

/// Guards against segments that are never removed, or removed with entries that are still needed.
#[test]
fn snapshot_replaces_old_segments() {
    let (folder, mut wal) = create();
    for index in 1..=100 {
        save(&mut wal, &[entry(index, 1)]);
    }
    let before = files(folder.path(), "log").len();
    wal.compact(&snapshot(50, 1)).unwrap();
    wal.compact(&snapshot(90, 1)).unwrap();
    assert!(files(folder.path(), "log").len() < before);
    let oldest = wal.segments.front().map(|segment| segment.last_index);
    assert!(oldest.is_some_and(|last| last >= 90), "{oldest:?}");
    assert_eq!(files(folder.path(), "snapshot").len(), 1);
    drop(wal);
    let (mut wal, stored) = open(folder.path());
    assert_eq!(stored.snapshot, Some(snapshot(90, 1)));
    assert_eq!(stored.entries, entries(91, 100, 1));
    wal.compact(&snapshot(100, 1)).unwrap();
    save(&mut wal, &[entry(101, 1)]);
    drop(wal);
    assert_eq!(open(folder.path()).1.entries, entries(101, 101, 1));
}

/// Guards against old entries that reappear after the snapshot that the leader sent.
#[test]
fn installed_snapshot_replaces_the_log() {
    let (folder, mut wal) = create();
    save(&mut wal, &entries(1, 30, 1));
    let new = snapshot(20, 5);
    let reset = Some(new.at);
    wal.save(Batch {
        install: Some(&new),
        reset,
        entries: &entries(21, 22, 5),
        hard: None,
    })
    .unwrap();
    drop(wal);
    let (_, stored) = open(folder.path());
    assert_eq!(stored.snapshot, Some(new));
    assert_eq!(stored.entries, entries(21, 22, 5));
}

/// Guards against old entries that follow a new snapshot after a crash before the log was reset.
#[test]
fn crash_between_snapshot_and_reset_drops_the_old_log() {
    let (folder, mut wal) = create();
    save(&mut wal, &entries(1, 30, 1));
    super::snapshot::store(folder.path(), &options(), &snapshot(20, 5)).unwrap();
    drop(wal);
    let (mut wal, stored) = open(folder.path());
    assert_eq!((stored.entries, stored.hard.term), (Vec::new(), 5));
    save(&mut wal, &entries(21, 22, 5));
    drop(wal);
    assert_eq!(open(folder.path()).1.entries, entries(21, 22, 5));
}

/// Guards against a failure to start after a crash that interrupted a write at any byte.
#[test]
fn torn_tail_is_cut_off() {
    let (folder, mut wal) = create();
    save(&mut wal, &entries(1, 2, 1));
    let path = files(folder.path(), "log").pop().unwrap();
    let intact = fs::read(&path).unwrap();
    save(&mut wal, &entries(3, 4, 1));
    let whole = fs::read(&path).unwrap();
    drop(wal);
    for size in intact.len()..whole.len() {
        for zeros in [0, whole.len() - size] {
            let copy = TempDir::new().unwrap();
            let torn = [&whole[..size], &*vec![0; zeros]].concat();
            fs::write(copy.path().join(path.file_name().unwrap()), torn).unwrap();
            assert_eq!(
                open(copy.path()).1.entries,
                entries(1, 2, 1),
                "cut at {size}"
            );
            assert_eq!(
                open(copy.path()).1.entries,
                entries(1, 2, 1),
                "opened again"
            );
        }
    }
}

/// Guards against damage before the last batch that is not reported, or that truncates batches
/// which were synced.
#[test]
fn damage_before_the_tail_is_reported_with_its_place() {
    let (folder, mut wal) = create();
    save(&mut wal, &entries(1, 2, 1));
    let path = files(folder.path(), "log").pop().unwrap();
    let synced = fs::read(&path).unwrap();
    save(&mut wal, &entries(3, 4, 1));
    drop(wal);
    let whole = fs::read(&path).unwrap();
    let Frame::Intact(head) = frame_at(&whole, 0) else {
        panic!("the first frame is intact");
    };
    let second = HEADER_BYTES + head.len();
    for byte in 0..synced.len() {
        let mut damaged = whole.clone();
        damaged[byte] ^= 0x10;
        fs::write(&path, damaged).unwrap();
        let expected = if byte < second { 0 } else { second };
        let result = Wal::open(folder.path(), options(), ID);
        let Err(Error::Corrupt {
            path: named,
            offset,
            ..
        }) = result
        else {
            panic!("damage at byte {byte} is not reported: {result:?}");
        };
        assert_eq!((named, offset), (path.clone(), expected as u64));
    }
}

/// Guards against a missing segment or a damaged snapshot that is read as a shorter log.
#[test]
fn missing_segment_and_damaged_snapshot_are_reported() {
    let (folder, mut wal) = create();
    for index in 1..=40 {
        save(&mut wal, &[entry(index, 1)]);
    }
    let middle = files(folder.path(), "log")[2].clone();
    let kept = fs::read(&middle).unwrap();
    fs::remove_file(&middle).unwrap();
    drop(wal);
    let corrupt = || {
        matches!(
            Wal::open(folder.path(), options(), ID),
            Err(Error::Corrupt { .. })
        )
    };
    assert!(corrupt());
    fs::write(&middle, kept).unwrap();
    let (mut wal, _) = open(folder.path());
    wal.compact(&snapshot(40, 1)).unwrap();
    drop(wal);
    let path = files(folder.path(), "snapshot").pop().unwrap();
    let mut damaged = fs::read(&path).unwrap();
    let last = damaged.len() - 1;
    damaged[last] ^= 1;
    fs::write(&path, damaged).unwrap();
    assert!(corrupt());
}

/// Guards against a folder that keeps its identity after its log was lost.
#[test]
fn identity_is_lost_with_the_log() {
    let (folder, wal) = create();
    drop(wal);
    for path in files(folder.path(), "log") {
        fs::remove_file(path).unwrap();
    }
    let (_, recovered) = Wal::open(folder.path(), options(), ReplicaId(9)).unwrap();
    assert_eq!(recovered.id, ReplicaId(9));
}

/// Guards against two replicas that write to the same folder.
#[test]
fn folder_is_locked() {
    let (folder, _wal) = create();
    let second = Wal::open(folder.path(), options(), ID);
    assert!(
        matches!(
            second,
            Err(Error::File {
                step: "lock folder",
                ..
            })
        ),
        "{second:?}"
    );
}

/// Guards against batches that are accepted after a failed sync, when the contents of the file are
/// unknown.
#[test]
fn batches_are_refused_after_a_failed_sync() {
    let (folder, mut wal) = create();
    wal.options.sync = |_| Err(io::Error::from(io::ErrorKind::StorageFull));
    let batch = entries(1, 1, 1);
    let batch = Batch {
        entries: &batch,
        ..Batch::default()
    };
    let first = wal.save(batch);
    assert!(
        matches!(
            first,
            Err(Error::File {
                step: "sync segment",
                ..
            })
        ),
        "{first:?}"
    );
    wal.options = options();
    assert!(matches!(wal.save(batch), Err(Error::File { .. })));
    drop(wal);
    drop(open(folder.path()));
}

fn cases() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(300),
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases())]

    /// Guards against a decoder that panics or allocates without bound on arbitrary bytes.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in vec(any::<u8>(), 0..400), framed: bool) {
        let folder = TempDir::new().unwrap();
        let mut file = encode_frames(&[Record::State(ID, HardState::default())]).unwrap();
        if framed {
            // A frame with a valid checksum, so that the arbitrary bytes reach the record decoder.
            super::frame::put_frame(&mut file, &bytes);
        } else {
            file.extend_from_slice(&bytes);
        }
        fs::write(folder.path().join(format!("{:020}.log", 1)), &file).unwrap();
        match Wal::open(folder.path(), options(), ReplicaId(8)) {
            Ok((_, recovered)) => prop_assert_eq!(recovered.id, ID),
            Err(Error::Corrupt { offset, .. }) => prop_assert!(offset <= file.len() as u64),
            Err(e) => prop_assert!(false, "{e}"),
        }
    }

    /// Guards against records that change between writing and reading.
    #[test]
    fn frames_return_their_records(sizes in vec(0_usize..1_000_000, 0..6)) {
        let payload = |size| Payload::Command(Bytes::from(vec![1; size]));
        let records: Vec<_> = sizes
            .iter()
            .zip(1..)
            .map(|(size, index)| Record::Entry(Entry {
                at: Position { index, term: 1 },
                payload: payload(*size),
            }))
            .collect();
        let file = encode_frames(&records).unwrap();
        let (mut read, mut offset) = (Vec::new(), 0);
        while let Frame::Intact(bytes) = frame_at(&file, offset) {
            read.extend(wire::decode::<Vec<Record>>(bytes).unwrap());
            offset += HEADER_BYTES + bytes.len();
        }
        prop_assert_eq!(frame_at(&file, offset), Frame::End);
        prop_assert_eq!(read, records);
    }
}
