//! Aggregated report of the versions in force in a subtree, bounded in size.

use {
    crate::model::{DaemonName, DataCentre, Region, Version},
    serde::{Deserialize, Serialize},
};

/// Maximum number of lagging daemons that are listed for each data centre.
pub const MAX_LAGGING: usize = 8;

/// Maximum length of a reason, in characters.
pub const MAX_REASON: usize = 200;

/// Maximum number of data centres in a summary.
const MAX_DATA_CENTRES: usize = 64;

/// Daemon that may not have the newest version in force, and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// The daemon.
    pub daemon: DaemonName,
    /// Version that it has in force; 0 for none.
    pub version: Version,
    /// Last error that may make the daemon lag, at most [`MAX_REASON`] characters.
    pub reason: String,
}

/// Versions in force in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreSummary {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Number of daemons that report.
    pub daemons: u32,
    /// Lowest version in force; 0 while a daemon has none.
    pub lowest: Version,
    /// Lowest version by which a daemon routes calls; `None` while none has a version in force.
    pub lowest_routing: Option<Version>,
    /// Highest version in force.
    pub highest: Version,
    /// The daemons with the lowest versions among the lagging ones, at most [`MAX_LAGGING`].
    pub lagging: Vec<Lagging>,
}

impl DataCentreSummary {
    /// Returns the summary of one daemon with `version` in force; `reason` is why the daemon may
    /// lag, `None` if it reports no reason.
    pub fn of_daemon(
        daemon: &DaemonName,
        (data_centre, region): (&DataCentre, &Region),
        version: Version,
        reason: Option<&str>,
    ) -> Self {
        let lagging = reason.map(|reason| Lagging {
            daemon: daemon.clone(),
            version,
            reason: reason.chars().take(MAX_REASON).collect(),
        });
        Self {
            data_centre: data_centre.clone(),
            region: region.clone(),
            daemons: 1,
            lowest: version,
            lowest_routing: (version > Version(0)).then_some(version),
            highest: version,
            lagging: lagging.into_iter().collect(),
        }
    }

    fn merge(&mut self, other: &Self) {
        self.daemons = self.daemons.saturating_add(other.daemons);
        self.lowest = self.lowest.min(other.lowest);
        let routing = [self.lowest_routing, other.lowest_routing];
        self.lowest_routing = routing.into_iter().flatten().min();
        self.highest = self.highest.max(other.highest);
        self.lagging
            .extend(other.lagging.iter().take(MAX_LAGGING).cloned());
        self.lagging.sort_by_key(|lagging| lagging.version);
        self.lagging.truncate(MAX_LAGGING);
    }
}

/// Versions in force in the subtree of one process, by data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// One entry for each data centre.
    pub data_centres: Vec<DataCentreSummary>,
}

impl Summary {
    /// Adds the daemons of one data centre; merges them with those of the same data centre. Omits
    /// a new data centre if the summary is full.
    pub fn add(&mut self, part: &DataCentreSummary) {
        let has_room = self.data_centres.len() < MAX_DATA_CENTRES;
        let mut known = self.data_centres.iter_mut();
        match known.find(|known| known.data_centre == part.data_centre) {
            Some(known) => known.merge(part),
            None if has_room => self.data_centres.push(part.clone()),
            None => {}
        }
    }

    /// Adds all data centres of another summary.
    pub fn merge(&mut self, other: &Self) {
        other.data_centres.iter().for_each(|part| self.add(part));
    }

    /// Returns the number of daemons that report.
    pub fn daemons(&self) -> u32 {
        self.data_centres
            .iter()
            .fold(0, |sum, part| sum.saturating_add(part.daemons))
    }

    /// Returns the lowest version in force; `None` if no daemon reports.
    pub fn lowest(&self) -> Option<Version> {
        self.data_centres.iter().map(|part| part.lowest).min()
    }

    /// Returns the lowest version by which a daemon routes calls; `None` if none does.
    pub fn lowest_routing(&self) -> Option<Version> {
        let parts = self.data_centres.iter();
        parts.filter_map(|part| part.lowest_routing).min()
    }
}
