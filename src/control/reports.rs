//! What children report: endpoint sets and versions in force.

use {
    super::config::Report,
    crate::{
        endpoints::{EndpointDelta, Epoch, LEASE, OwnSet, SetError},
        hub::Hub,
        model::{DaemonName, DataCentre, Region, Version},
        operator_api::{DataCentreStatus, Lagging},
    },
    indexmap::IndexMap,
    std::time::Instant,
};

/// Lagging daemons that are named for each data centre.
const MAX_LAGGING: usize = 8;

#[derive(Debug)]
struct Reported {
    data_centre: DataCentre,
    region: Region,
    in_force: Option<Version>,
    valid_until: Instant,
}

/// Reports of all children.
#[derive(Debug, Default)]
pub struct Reports {
    sets: IndexMap<DataCentre, OwnSet>,
    daemons: IndexMap<DaemonName, Reported>,
}

impl Reports {
    /// Takes a report; returns the changes of endpoint sets.
    pub(super) fn take(
        &mut self,
        report: &Report,
        epoch: Epoch,
        hub: &Hub,
        now: Instant,
    ) -> Result<Vec<EndpointDelta>, SetError> {
        let set = self
            .sets
            .entry(report.data_centre.clone())
            .or_insert_with(|| {
                OwnSet::take_over(&hub.content().directory, &report.data_centre, epoch, now)
            });
        set.report(&report.daemon, report.stamp, &report.endpoints, now)?;
        self.daemons.insert(
            report.daemon.clone(),
            Reported {
                data_centre: report.data_centre.clone(),
                region: report.region.clone(),
                in_force: report.in_force,
                valid_until: now + LEASE,
            },
        );
        Ok(self.unpublished(hub))
    }

    /// Ends leases; returns the changes of endpoint sets.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<EndpointDelta> {
        self.daemons.retain(|_, daemon| daemon.valid_until > now);
        let mut deltas = Vec::new();
        for set in self.sets.values_mut() {
            let before = set.position();
            if set.expire(now) {
                deltas.extend(set.delta_since(before.epoch, before.seq));
            }
        }
        deltas
    }

    fn unpublished(&self, hub: &Hub) -> Vec<EndpointDelta> {
        let content = hub.content();
        let missing = self.sets.values().filter_map(|set| {
            let own = set.position();
            match content.directory.position(&own.data_centre) {
                Some(held) => set.delta_since(held.epoch, held.seq),
                None => set.delta_since(Epoch::default(), 0),
            }
        });
        missing.collect()
    }

    /// Versions in force by data centre, against the version `current`.
    pub(super) fn status(&self, current: Version) -> Vec<DataCentreStatus> {
        let mut found: IndexMap<DataCentre, DataCentreStatus> = IndexMap::new();
        for (name, daemon) in &self.daemons {
            let in_force = daemon.in_force.unwrap_or_default();
            let status =
                found
                    .entry(daemon.data_centre.clone())
                    .or_insert_with(|| DataCentreStatus {
                        data_centre: daemon.data_centre.to_string(),
                        region: daemon.region.to_string(),
                        daemons: 0,
                        in_force_min: in_force.0,
                        in_force_max: in_force.0,
                        lagging: Vec::new(),
                    });
            status.daemons += 1;
            status.in_force_min = status.in_force_min.min(in_force.0);
            status.in_force_max = status.in_force_max.max(in_force.0);
            if in_force < current && status.lagging.len() < MAX_LAGGING {
                status.lagging.push(Lagging {
                    daemon: name.to_string(),
                    version: in_force.0,
                    reason: "reports an older version".to_owned(),
                });
            }
        }
        found.into_values().collect()
    }
}
