//! Losses of power over a model of a disk: what was not synced is kept, lost or torn, and names that
//! were made, renamed or removed since the last sync of their folder are kept or lost one by one.

use {
    super::*,
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{cell::RefCell, collections::BTreeMap, fs::File, os::unix::fs::MetadataExt as _},
};

/// What the disk is sure to hold. Each test runs in a thread of its own.
#[derive(Debug, Default)]
struct Disk {
    /// Synced bytes of each file, by inode.
    synced: BTreeMap<u64, u64>,
    /// Names at the last sync of the folder, with inode and contents.
    names: BTreeMap<PathBuf, (u64, Vec<u8>)>,
}

thread_local! {
    static DISK: RefCell<Disk> = RefCell::default();
}

fn sync_file(file: &File) -> io::Result<()> {
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

fn on_disk() -> Options {
    Options {
        sync: sync_file,
        sync_folder,
        ..options()
    }
}

/// Takes the power away: the folder holds what the disk is sure to hold, and of the rest what
/// chance leaves.
fn lose_power(folder: &Path, rng: &mut StdRng) {
    let now = names_in(folder).unwrap();
    let disk = DISK.take();
    for (path, (inode, contents)) in &now {
        let known = disk.names.get(path).is_some_and(|(held, _)| held == inode);
        if !known && rng.random_bool(0.5) {
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
    // What is left now is on the disk.
    let names = names_in(folder).unwrap();
    let synced = names
        .values()
        .map(|(inode, data)| (*inode, data.len() as u64));
    let synced = synced.collect();
    DISK.set(Disk { synced, names });
}

/// A snapshot that is smaller than those of the other tests, since many are taken here.
fn small_snapshot(at: Position) -> Snapshot {
    Snapshot {
        at,
        members: Vec::new(),
        data: Bytes::from(vec![at.index as u8; 300]),
    }
}

/// What was acknowledged.
#[derive(Debug)]
struct Acknowledged {
    hard: HardState,
    last: u64,
}

fn check(recovered: &Stored, acknowledged: &Acknowledged, seed: u64) {
    assert_eq!(
        recovered.hard, acknowledged.hard,
        "seed {seed}: term and vote"
    );
    let base = recovered.snapshot.as_ref().map_or(0, |held| held.at.index);
    let indexes = recovered.entries.iter().map(|entry| entry.at.index);
    let last = indexes.max().unwrap_or(0).max(base);
    assert!(
        last >= acknowledged.last,
        "seed {seed}: {last} < {acknowledged:?}"
    );
}

/// Guards against entries, votes and snapshots that were acknowledged and are gone, and against a
/// folder that can't be opened any more, after losses of power at any moment.
#[test]
fn what_was_acknowledged_outlives_losses_of_power() {
    for seed in 0..150 {
        DISK.take();
        let mut rng = StdRng::seed_from_u64(seed);
        let folder = TempDir::new().unwrap();
        let open = || {
            let opened = Wal::open(folder.path(), on_disk(), ID);
            opened.unwrap_or_else(|e| panic!("seed {seed}: {e}"))
        };
        let (mut wal, _) = open();
        // The entries are of term 1.
        let mut acknowledged = Acknowledged {
            hard: HardState {
                term: 1,
                ..HardState::default()
            },
            last: 0,
        };
        wal.save(Batch {
            hard: Some(acknowledged.hard),
            ..Batch::default()
        })
        .unwrap();
        for _ in 0..60 {
            match rng.random_range(0..10) {
                0 => {
                    drop(wal);
                    lose_power(folder.path(), &mut rng);
                    let (opened, recovered) = open();
                    check(&recovered.stored, &acknowledged, seed);
                    wal = opened;
                }
                1 if acknowledged.last > 0 => {
                    let index = acknowledged.last;
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
                    let first = acknowledged.last + 1;
                    acknowledged.last += rng.random_range(1..4);
                    save(&mut wal, &entries(first, acknowledged.last, 1));
                }
            }
        }
    }
}
