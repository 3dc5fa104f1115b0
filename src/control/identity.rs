//! Who a replica is, and how replicas found their group.
//!
//! A replica whose disk was lost comes back with a new identity. It must not found the group
//! again, so it asks all others first and stops when one of them belongs to a group without it.

use {
    crate::{
        error::{Error, Result},
        peer::Client,
        raft::{HardState, Member, MemberRole, ReplicaId},
        settings, wal,
    },
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Path of the peer port that tells who a replica is.
pub const IDENTITY_PATH: &str = "/identity";
/// Longest wait for one answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two questions to a replica that is not there yet.
const PAUSE: Duration = Duration::from_millis(50);
/// Time in which all replicas of a new group must be there.
const FOUND_TIMEOUT: Duration = Duration::from_mins(1);

/// Who a replica is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Identity of the data folder.
    pub id: ReplicaId,
    /// Name from the settings.
    pub name: String,
    /// Members of its group; empty while it belongs to none.
    pub members: Vec<ReplicaId>,
    /// Where operators connect.
    pub operator_address: Option<SocketAddr>,
}

/// Asks the replica at `address` who it is.
///
/// # Errors
/// [`Error::Peer`].
pub(super) async fn ask(client: &Client, address: SocketAddr) -> Result<Identity> {
    let deadline = Instant::now() + ASK_TIMEOUT;
    client
        .request("ask identity", address, IDENTITY_PATH, &(), deadline)
        .await
}

/// Identity of a data folder, and whether it belongs to a group. The folder is created if it is
/// missing.
///
/// # Errors
/// [`Error::File`] or [`Error::Corrupt`].
pub(super) fn of_folder(folder: &std::path::Path) -> Result<(ReplicaId, bool)> {
    let fresh = ReplicaId(rand::random::<u64>().max(1));
    let (_wal, recovered) = wal::Wal::open(folder, wal::Options::default(), fresh)?;
    let joined =
        recovered.stored.hard != HardState::default() || recovered.stored.snapshot.is_some();
    Ok((recovered.id, joined))
}

/// Founds the group of the settings, together with the other replicas that they name.
///
/// # Errors
/// [`Error::Invalid`] when one of them belongs to a group without this replica, [`Error::Peer`]
/// when one does not answer within a minute.
pub(super) async fn found(
    cfg: &settings::Control,
    client: &Client,
    id: ReplicaId,
    address: SocketAddr,
) -> Result<()> {
    let deadline = Instant::now() + FOUND_TIMEOUT;
    let mut members = Vec::new();
    for replica in &cfg.bootstrap {
        let (id, address) = if replica.name == cfg.name {
            (id, address)
        } else {
            (
                await_identity(client, replica, id, deadline).await?,
                replica.address,
            )
        };
        members.push(Member {
            id,
            name: replica.name.clone(),
            address,
            role: MemberRole::Voter,
        });
    }
    wal::bootstrap(&cfg.data_folder, &members)
}

/// Founds the group with the replicas at the addresses of the settings, whose names and identities
/// they tell themselves.
///
/// # Errors
/// A replica does not answer in time, belongs to another group, or the folder can't be written.
pub(super) async fn found_with_seeds(
    cfg: &settings::Control,
    client: &Client,
    own: ReplicaId,
    address: SocketAddr,
) -> Result<()> {
    let deadline = Instant::now() + FOUND_TIMEOUT;
    let mut members = Vec::new();
    for seed in &cfg.seeds {
        let (id, name) = if *seed == address {
            (own, cfg.name.clone())
        } else {
            let identity = loop {
                match ask(client, *seed).await {
                    Ok(identity) => break identity,
                    Err(e) if Instant::now() > deadline => return Err(e),
                    Err(_starting) => sleep(PAUSE).await,
                }
            };
            if !identity.members.is_empty() && !identity.members.contains(&own) {
                // The group exists already, so this replica asks to join it.
                return Ok(());
            }
            (identity.id, identity.name)
        };
        members.push(Member {
            id,
            name,
            address: *seed,
            role: MemberRole::Voter,
        });
    }
    // All founders must write the same list.
    members.sort_by_key(|member| member.address);
    wal::bootstrap(&cfg.data_folder, &members)
}

async fn await_identity(
    client: &Client,
    replica: &settings::Replica,
    own: ReplicaId,
    deadline: Instant,
) -> Result<ReplicaId> {
    loop {
        match ask(client, replica.address).await {
            Ok(identity) if identity.members.is_empty() || identity.members.contains(&own) => {
                return check_name(replica, &identity);
            }
            Ok(identity) => {
                return Err(Error::Invalid {
                    place: format!("replica {} at {}", replica.name, replica.address),
                    reason: format!(
                        "belongs to a group without this replica ({own}); start without \
                         --bootstrap and add this replica with `anvilbeam members add`. Its members: {:?}",
                        identity.members
                    ),
                });
            }
            Err(e) if Instant::now() > deadline => return Err(e),
            Err(_) => sleep(PAUSE).await,
        }
    }
}

fn check_name(replica: &settings::Replica, identity: &Identity) -> Result<ReplicaId> {
    if identity.name != replica.name {
        return Err(Error::Invalid {
            place: format!("bootstrap address {}", replica.address),
            reason: format!("is replica {:?}, not {:?}", identity.name, replica.name),
        });
    }
    Ok(identity.id)
}
