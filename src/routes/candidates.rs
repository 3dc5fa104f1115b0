//! Backend servers of a route, grouped by network distance.

use {
    crate::model::{DataCentre, Endpoint, Region, ServerState},
    std::sync::Arc,
    strum::{Display, EnumCount, EnumIter, IntoEnumIterator},
};

/// Network distance of a backend server from the daemon.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumCount, EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Distance {
    /// In the data centre of the daemon.
    OwnDataCentre,
    /// In another data centre of the daemon's region.
    OwnRegion,
    /// In another region.
    OtherRegion,
}

/// The data centre and region of the daemon that builds a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Region of the daemon.
    pub region: Region,
}

impl Location {
    /// Returns the distance from this location to `endpoint`.
    pub fn distance(&self, endpoint: &Endpoint) -> Distance {
        if endpoint.data_centre == self.data_centre {
            Distance::OwnDataCentre
        } else if endpoint.region == self.region {
            Distance::OwnRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Backend servers that accept new calls, grouped by distance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Candidates {
    serving: Vec<Arc<Endpoint>>,
    /// End of each distance group in `serving`.
    ends: [usize; Distance::COUNT],
}

impl Candidates {
    /// Groups the serving `endpoints` by their distance from `location`; skips draining ones.
    ///
    /// ```
    /// use anvilbeam::{model::{DataCentre, Region}, routes::{Candidates, Location}};
    /// let location = Location { data_centre: DataCentre::from("a1"), region: Region::from("a") };
    /// assert!(Candidates::new(&location, &[]).is_empty());
    /// ```
    pub fn new(location: &Location, endpoints: &[Arc<Endpoint>]) -> Self {
        let mut candidates = Self::default();
        for distance in Distance::iter() {
            let group = endpoints.iter().filter(|endpoint| {
                endpoint.state == ServerState::Serving && location.distance(endpoint) == distance
            });
            candidates.serving.extend(group.cloned());
            candidates.ends[distance as usize] = candidates.serving.len();
        }
        candidates
    }

    /// Returns the servers at `distance`.
    pub fn group(&self, distance: Distance) -> &[Arc<Endpoint>] {
        let index = distance as usize;
        let start = if index == 0 { 0 } else { self.ends[index - 1] };
        &self.serving[start..self.ends[index]]
    }

    /// Returns all servers, nearest first.
    pub fn all(&self) -> &[Arc<Endpoint>] {
        &self.serving
    }

    /// Returns the servers for which `keep` holds.
    #[must_use]
    pub fn filtered(&self, keep: impl Fn(&Endpoint) -> bool) -> Self {
        let mut kept = Self::default();
        for distance in Distance::iter() {
            let group = self.group(distance).iter();
            kept.serving
                .extend(group.filter(|endpoint| keep(endpoint)).cloned());
            kept.ends[distance as usize] = kept.serving.len();
        }
        kept
    }

    /// Returns true if no backend server accepts new calls.
    pub fn is_empty(&self) -> bool {
        self.serving.is_empty()
    }
}
