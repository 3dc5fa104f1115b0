//! Power failures and kills on a simulated disk. Bytes that were not synced are kept, lost or zeroed. Each
//! creation, rename or removal of a file since the last sync of its folder is kept or lost at
//! random.

use {
    super::*,
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{cell::RefCell, collections::BTreeMap, fs::File, os::unix::fs::MetadataExt as _},
};

/// Contents that survive a power failure. It is thread-local, since each test has its own thread.
#[derive(Debug, Default)]
struct Disk {
    /// Number of synced bytes of each file, by inode.
    synced: BTreeMap<u64, u64>,
    /// Files at the last sync of the folder, with inode and contents.
    names: BTreeMap<PathBuf, (u64, Vec<u8>)>,
    /// Whether the process is killed at its next sync.
    killed: bool,
}

thread_local! {
    static DISK: RefCell<Disk> = RefCell::default();
}

fn sync_file(file: &File) -> io::Result<()> {
    if DISK.with_borrow(|disk| disk.killed) {
        return Err(io::Error::other("killed"));
    }
    let data = file.metadata()?;
    DISK.with_borrow_mut(|disk| disk.synced.insert(data.ino(), data.len()));
    Ok(())
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    let names = names_in(folder)?;
    DISK.with_borrow_mut(|disk| disk.names = names);
    Ok(())
}

fn names_in(folder: &Path) -> io::Result<BTreeMap<PathBuf, (u64, Vec<u8>)>> {
    let mut names = BTreeMap::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some() {
            let inode = fs::metadata(&path)?.ino();
            let contents = fs::read(&path)?;
            names.insert(path, (inode, contents));
        }
    }
    Ok(names)
}

fn disk_options() -> Options {
    Options {
        sync: sync_file,
        sync_folder,
        ..options()
    }
}

/// Simulates a power failure: the folder keeps what was synced and a random part of the rest.
fn simulate_power_failure(folder: &Path, rng: &mut StdRng) {
    let now = names_in(folder).unwrap();
    let disk = DISK.take();
    for (path, (inode, contents)) in &now {
        let is_synced = disk.names.get(path).is_some_and(|(held, _)| held == inode);
        if !is_synced && rng.random_bool(0.5) {
            fs::remove_file(path).unwrap();
            continue;
        }
        let synced = disk.synced.get(inode).copied().unwrap_or(0) as usize;
        let synced = synced.min(contents.len());
        let kept = rng.random_range(synced..=contents.len());
        let mut torn = contents[..kept].to_vec();
        if kept > synced && rng.random_bool(0.5) {
            torn[synced..].fill(0);
        }
        fs::write(path, torn).unwrap();
    }
    let removed = disk
        .names
        .iter()
        .filter(|(path, _)| !now.contains_key(*path));
    for (path, (inode, contents)) in removed {
        if rng.random_bool(0.5) {
            let synced = disk.synced.get(inode).copied().unwrap_or(0) as usize;
            fs::write(path, &contents[..synced.min(contents.len())]).unwrap();
        }
    }
    // All that is left counts as synced.
    let names = names_in(folder).unwrap();
    let synced = names
        .values()
        .map(|(inode, data)| (*inode, data.len() as u64));
    let synced = synced.collect();
    DISK.set(Disk {
        synced,
        names,
        killed: false,
    });
}

/// Returns a smaller snapshot than those of the other tests, since many are taken here.
fn small_snapshot(at: Position) -> Snapshot {
    Snapshot {
        at,
        members: Vec::new(),
        data: Bytes::from(vec![at.index as u8; 300]),
    }
}

/// State that was acknowledged.
#[derive(Debug)]
struct Acknowledged {
    hard: HardState,
    last_index: u64,
}

fn check_recovered(recovered: &Stored, acknowledged: &Acknowledged, seed: u64) {
    assert_eq!(
        recovered.hard, acknowledged.hard,
        "seed {seed}: term and vote"
    );
    let base = recovered.snapshot.as_ref().map_or(0, |held| held.at.index);
    let indexes = recovered.entries.iter().map(|entry| entry.at.index);
    let last = indexes.max().unwrap_or(0).max(base);
    assert!(
        last >= acknowledged.last_index,
        "seed {seed}: {last} < {acknowledged:?}"
    );
}

/// Writes a batch of entries and is killed before it is synced.
fn kill_during_sync(mut wal: Wal, first: u64, last: u64) {
    DISK.with_borrow_mut(|disk| disk.killed = true);
    let saved = wal.save(Batch {
        entries: &entries(first, last, 1),
        ..Batch::default()
    });
    assert!(saved.is_err(), "the batch is not acknowledged");
    drop(wal);
    DISK.with_borrow_mut(|disk| disk.killed = false);
}

/// Guards against the loss of acknowledged entries, votes and snapshots, and against a folder that
/// cannot be opened, after power failures at any moment.
#[test]
fn acknowledged_writes_survive_power_failures() {
    for seed in 0..150 {
        run_with_failures(seed, 10);
    }
}

/// Guards against the loss of entries that a replica has read from its log after it was killed before
/// their sync, and has acknowledged since.
#[test]
fn recovered_entries_survive_power_failures() {
    for seed in 0..150 {
        run_with_failures(seed, 13);
    }
}

/// Runs random writes and failures; a kill occurs if `kinds` is more than 10.
fn run_with_failures(seed: u64, kinds: u32) {
    DISK.take();
    let mut rng = StdRng::seed_from_u64(seed);
    let folder = TempDir::new().unwrap();
    let open = || {
        let opened = Wal::open(folder.path(), disk_options(), ID);
        opened.unwrap_or_else(|e| panic!("seed {seed}: {e}"))
    };
    let (mut wal, _) = open();
    // The entries are of term 1.
    let mut acknowledged = Acknowledged {
        hard: HardState {
            term: 1,
            ..HardState::default()
        },
        last_index: 0,
    };
    wal.save(Batch {
        hard: Some(acknowledged.hard),
        ..Batch::default()
    })
    .unwrap();
    for _ in 0..60 {
        match rng.random_range(0..kinds) {
            0 => {
                drop(wal);
                simulate_power_failure(folder.path(), &mut rng);
                let (opened, recovered) = open();
                check_recovered(&recovered.stored, &acknowledged, seed);
                wal = opened;
            }
            10.. => {
                let first = acknowledged.last_index + 1;
                kill_during_sync(wal, first, first + 2);
                let (opened, recovered) = open();
                // The replica acknowledges to its leader what it has read.
                let last = recovered.stored.entries.last();
                acknowledged.last_index =
                    last.map_or(acknowledged.last_index, |entry| entry.at.index);
                wal = opened;
            }
            1 if acknowledged.last_index > 0 => {
                let index = acknowledged.last_index;
                wal.compact(&small_snapshot(Position { index, term: 1 }))
                    .unwrap();
            }
            2 => {
                acknowledged.hard = HardState {
                    term: acknowledged.hard.term + 1,
                    ..acknowledged.hard
                };
                wal.save(Batch {
                    hard: Some(acknowledged.hard),
                    ..Batch::default()
                })
                .unwrap();
            }
            _ => {
                let first = acknowledged.last_index + 1;
                acknowledged.last_index += rng.random_range(1..4);
                save(&mut wal, &entries(first, acknowledged.last_index, 1));
            }
        }
    }
}
