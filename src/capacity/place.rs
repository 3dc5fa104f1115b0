//! Place of a daemon among the processes that distribute the capacity of grants.

use {
    super::Tier,
    crate::{
        model::{DaemonName, DataCentre, Endpoint, Region},
        relays::{ReplicaRef, rendezvous_hash},
    },
    indexmap::IndexMap,
    std::net::SocketAddr,
};

/// Highest tier at which a daemon runs a reducer, and its parent.
///
/// The relay of a data centre is the daemon with the lowest rendezvous hash among those that have
/// announced an endpoint there. The relay of a region is one of the relays of its data centres. All
/// daemons compute the same relays from the same endpoints; while these differ, the reducers bound
/// the capacity as they do during a change of relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Highest tier.
    pub tier: Tier,
    /// Peer address of the parent; `None` if it is unknown.
    pub parent: Option<SocketAddr>,
}

impl Place {
    /// Returns the place of daemon `own` in a data centre and region.
    ///
    /// ```
    /// use anvilbeam::capacity::{Place, Tier};
    /// let place = Place::new(&"daemon-1".into(), &"dc-1".into(), &"fukuoka".into(), [].iter(), &[]);
    /// assert_eq!(place, Place { tier: Tier::Region, parent: None });
    /// ```
    pub fn new<'a>(
        own: &DaemonName,
        data_centre: &DataCentre,
        region: &Region,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        replicas: &[ReplicaRef],
    ) -> Self {
        let mut relays: IndexMap<&DataCentre, &Endpoint> = IndexMap::new();
        for endpoint in endpoints.filter(|endpoint| endpoint.region == *region) {
            let hash = |daemon: &DaemonName| {
                rendezvous_hash(endpoint.data_centre.as_str(), daemon.as_str())
            };
            let relay = relays.entry(&endpoint.data_centre).or_insert(endpoint);
            if hash(&endpoint.daemon) < hash(&relay.daemon) {
                *relay = endpoint;
            }
        }
        let hash =
            |endpoint: &&&Endpoint| rendezvous_hash(region.as_str(), endpoint.daemon.as_str());
        let region_relay = relays.values().min_by_key(hash).copied();
        let others = |relay: &&Endpoint| relay.daemon != *own;
        if let Some(relay) = relays.get(data_centre).copied().filter(others) {
            return Self {
                tier: Tier::Daemon,
                parent: Some(relay.address),
            };
        }
        if let Some(relay) = region_relay.filter(others) {
            return Self {
                tier: Tier::DataCentre,
                parent: Some(relay.address),
            };
        }
        let leader = replicas.iter().find(|replica| replica.leads);
        Self {
            tier: Tier::Region,
            parent: leader.map(|leader| leader.address),
        }
    }
}
