//! Invariants checked after each tick, and queries of the tests.

use {
    super::{Node, Tree},
    anvilbeam::{model::Version, relays::Uplink, versions::digest_of},
};

impl Tree {
    pub fn running_daemons(&self) -> impl Iterator<Item = (usize, &Uplink)> {
        self.daemons
            .iter()
            .enumerate()
            .filter_map(|(n, uplink)| Some((n, uplink.as_ref()?)))
    }

    pub fn newest_version(&self) -> Version {
        self.newest_state().store().version()
    }

    /// Returns the running daemons that don't have the newest version in force.
    pub fn lagging(&self) -> Vec<usize> {
        let newest = self.newest_version();
        let current = |uplink: &Uplink| {
            let in_force = uplink.in_force().map_or(Version(0), |cfg| cfg.version);
            in_force == newest
        };
        self.running_daemons()
            .filter(|(_, uplink)| !current(uplink))
            .map(|(n, _)| n)
            .collect()
    }

    /// Returns the daemons of the endpoints in the directory of `daemon`, sorted.
    pub fn known_daemons(&self, daemon: usize) -> Vec<usize> {
        let uplink = self.daemons[daemon].as_ref().unwrap();
        let mut known: Vec<_> = uplink
            .directory()
            .iter()
            .map(|endpoint| match Node::named(&endpoint.daemon) {
                Node::Daemon(n) | Node::Control(n) => n,
            })
            .collect();
        known.sort_unstable();
        known
    }

    pub fn check_invariants(&mut self) {
        // Large trees are checked in turns.
        let turns = self.daemons.len().div_ceil(100);
        for n in 0..self.daemons.len() {
            let Some(uplink) = &self.daemons[n] else {
                continue;
            };
            if n % turns == self.ticks % turns {
                self.check_no_cycle(n);
            }
            let Some(cfg) = uplink.in_force() else {
                continue;
            };
            if cfg.version == self.last_version[n] {
                continue;
            }
            assert_eq!(
                self.accepted.get(&cfg.version),
                Some(&digest_of(cfg)),
                "daemon {n} has a configuration in force that was not accepted as version {}",
                cfg.version
            );
            assert!(
                cfg.grants
                    .keys()
                    .all(|key| cfg.plans.contains_key(&key.plan)),
                "daemon {n} has a grant without its plan"
            );
            assert!(
                !self.check_monotonic[n] || cfg.version >= self.last_version[n],
                "daemon {n} went back from version {} to {}",
                self.last_version[n],
                cfg.version
            );
            // A daemon that started while message loss or an outage hid the floor may begin lower.
            // From then on its version must not go back under any fault.
            self.last_version[n] = cfg.version;
            self.check_monotonic[n] = true;
        }
    }

    fn check_no_cycle(&self, first: usize) {
        let mut current = first;
        for _ in 0..=self.shape.daemons {
            match self.source_of(current) {
                Some(Node::Daemon(source)) => current = source,
                _ => return,
            }
        }
        panic!("daemon {first} is its own ancestor");
    }
}
