//! Identity of a replica, and the bootstrap of a group.
//!
//! A replica that lost its disk restarts with a new identity. It must not create the group again,
//! so it first asks all other replicas, and does not if one of them belongs to a group without it.

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

/// Path of the peer port that returns the [`Identity`] of a replica.
pub const IDENTITY_PATH: &str = "/identity";
/// Timeout of one request for an identity.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a replica that did not answer is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time within which all replicas of a new group must answer.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_mins(1);

/// Identity of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Random id of the data folder.
    pub id: ReplicaId,
    /// Name from the settings.
    pub name: String,
    /// Ids of the members of its group; empty while it belongs to none.
    pub members: Vec<ReplicaId>,
    /// Address of the operator port; `None` if there is none.
    pub operator_address: Option<SocketAddr>,
}

/// Asks the replica at `address` for its identity.
///
/// # Errors
/// [`Error::Peer`] if it does not answer in time.
pub(super) async fn fetch(client: &Client, address: SocketAddr) -> Result<Identity> {
    let deadline = Instant::now() + FETCH_TIMEOUT;
    client
        .request("ask identity", address, IDENTITY_PATH, &(), deadline)
        .await
}

/// Returns the id of a data folder and whether it belongs to a group. The folder is created if it
/// is missing.
///
/// # Errors
/// [`Error::File`] or [`Error::Corrupt`].
pub(super) fn open_or_create(folder: &std::path::Path) -> Result<(ReplicaId, bool)> {
    let fresh = ReplicaId(rand::random::<u64>().max(1));
    let (_wal, recovered) = wal::Wal::open(folder, wal::Options::default(), fresh)?;
    let in_group =
        recovered.stored.hard != HardState::default() || recovered.stored.snapshot.is_some();
    Ok((recovered.id, in_group))
}

/// Creates the group from the list of replicas in the settings; each of them must do so.
///
/// # Errors
/// [`Error::Invalid`] when one of them belongs to a group without this replica, [`Error::Peer`]
/// when one does not answer within a minute.
pub(super) async fn bootstrap(
    cfg: &settings::Control,
    client: &Client,
    id: ReplicaId,
    address: SocketAddr,
) -> Result<()> {
    let deadline = Instant::now() + BOOTSTRAP_TIMEOUT;
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

/// Creates the group from the seed addresses in the settings; the names and ids come from the
/// replicas at these addresses. Does nothing if one of them already belongs to a group without
/// this replica.
///
/// # Errors
/// A replica does not answer within a minute, or the folder cannot be written.
pub(super) async fn bootstrap_with_seeds(
    cfg: &settings::Control,
    client: &Client,
    own_id: ReplicaId,
    address: SocketAddr,
) -> Result<()> {
    let deadline = Instant::now() + BOOTSTRAP_TIMEOUT;
    let mut members = Vec::new();
    for seed in &cfg.seeds {
        let (id, name) = if *seed == address {
            (own_id, cfg.name.clone())
        } else {
            let identity = loop {
                match fetch(client, *seed).await {
                    Ok(identity) => break identity,
                    Err(e) if Instant::now() > deadline => return Err(e),
                    Err(_starting) => sleep(RETRY_PAUSE).await,
                }
            };
            if !identity.members.is_empty() && !identity.members.contains(&own_id) {
                // The group already exists, so this replica joins it later instead.
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
    // All seeds must store the same list.
    members.sort_by_key(|member| member.address);
    wal::bootstrap(&cfg.data_folder, &members)
}

/// Waits until `replica` answers, and returns its id.
async fn await_identity(
    client: &Client,
    replica: &settings::Replica,
    own_id: ReplicaId,
    deadline: Instant,
) -> Result<ReplicaId> {
    loop {
        match fetch(client, replica.address).await {
            Ok(identity) if identity.members.is_empty() || identity.members.contains(&own_id) => {
                return check_name(replica, &identity);
            }
            Ok(identity) => {
                return Err(Error::Invalid {
                    location: format!("replica {} at {}", replica.name, replica.address),
                    reason: format!(
                        "belongs to a group without this replica ({own_id}); start without \
                         --bootstrap and add this replica with `anvilbeam members add`. Its members: {:?}",
                        identity.members
                    ),
                });
            }
            Err(e) if Instant::now() > deadline => return Err(e),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

fn check_name(replica: &settings::Replica, identity: &Identity) -> Result<ReplicaId> {
    if identity.name != replica.name {
        return Err(Error::Invalid {
            location: format!("bootstrap address {}", replica.address),
            reason: format!("is replica {:?}, not {:?}", identity.name, replica.name),
        });
    }
    Ok(identity.id)
}
