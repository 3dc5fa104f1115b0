//! Metrics of one process, exposed as text at `/metrics`.

mod accounts;
mod early;
mod pace;
mod speed;
#[cfg(test)]
mod tests;

pub use {
    accounts::{AccountMetrics, MAX_ACCOUNTS},
    early::EarlyMetrics,
};

use {
    self::pace::PaceMetrics,
    crate::{
        memory,
        model::{Rank, Version},
        pace::Pace,
    },
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::{Registry, Unit},
    },
    speed::SpeedMetrics,
    std::{array, time::Duration},
    strum::{Display, EnumCount, EnumIter, IntoEnumIterator},
};

/// Upper bounds of the histogram buckets of the added latency, in seconds. The target is 0.5 ms at
/// the 99th percentile.
const LATENCY_BUCKETS: [f64; 12] = [
    0.000_05, 0.000_1, 0.000_2, 0.000_3, 0.000_5, 0.000_75, 0.001, 0.002, 0.005, 0.01, 0.1, 1.0,
];

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumCount)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The backend server answered with a status below 500.
    Answered,
    /// The backend server answered with a status of 500 or above.
    Failed,
    /// The call was refused and did not run.
    NotRun,
    /// It is not known whether the call ran.
    Unknown,
    /// The deadline passed.
    Deadline,
    /// The caller disconnected.
    Cancelled,
}

/// Link that carries control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumCount)]
#[strum(serialize_all = "kebab-case")]
pub enum Link {
    /// To the parent in the distribution tree.
    Parent,
    /// To the children in the distribution tree.
    Children,
    /// From a region relay to control; counted in addition to the link to the parent.
    Region,
}

/// Direction of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumCount)]
#[strum(serialize_all = "kebab-case")]
pub enum Direction {
    /// Received by this process.
    In,
    /// Sent by this process.
    Out,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    rank: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabels {
    rank: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LinkLabels {
    link: String,
    direction: String,
}

/// All metrics of one process. Labelled metrics are stored in arrays indexed by label, so that
/// recording a call takes no lock.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: [[Counter; Outcome::COUNT]; Rank::COUNT],
    added_latency: Histogram,
    queue: [Gauge; Rank::COUNT],
    slots_used: Gauge,
    slots_total: Gauge,
    pace: PaceMetrics,
    speed: SpeedMetrics,
    retries: Counter,
    version: Gauge,
    capacity_refusals: Counter,
    capacity_waits: Counter,
    capacity_grants: Gauge,
    control_bytes: [[Counter; Direction::COUNT]; Link::COUNT],
    egress: EgressMetrics,
    accounts: AccountMetrics,
    early: EarlyMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics, with the value 0.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("anvilbeam");

        let calls = Family::<CallLabels, Counter>::default();
        registry.register("calls", "Calls by rank and outcome", calls.clone());
        let calls = array_by_key(Rank::iter(), |rank| {
            array_by_key(Outcome::iter(), |outcome| {
                calls.get_or_create_owned(&CallLabels {
                    rank: rank.to_string(),
                    outcome: outcome.to_string(),
                })
            })
        });

        let added_latency = Histogram::new(LATENCY_BUCKETS);
        registry.register_with_unit(
            "added_latency",
            "Time that the daemons add to a call, without queue and backend server",
            Unit::Seconds,
            added_latency.clone(),
        );

        let queue = Family::<RankLabels, Gauge>::default();
        registry.register("queue_length", "Calls that wait for a slot", queue.clone());
        let queue = array_by_key(Rank::iter(), |rank| {
            let rank = rank.to_string();
            queue.get_or_create_owned(&RankLabels { rank })
        });

        let slots_used = Gauge::default();
        registry.register("slots_used", "Slots in use", slots_used.clone());
        let slots_total = Gauge::default();
        registry.register("slots", "Slots of the backend server", slots_total.clone());
        let pace = PaceMetrics::register(&mut registry);
        let speed = SpeedMetrics::register(&mut registry);
        let retries = Counter::default();
        registry.register("retries", "Calls tried again", retries.clone());
        let version = Gauge::default();
        registry.register("version", "Version in force", version.clone());

        let capacity_refusals = Counter::default();
        registry.register(
            "capacity_refusals",
            "Calls beyond the capacity of their grant",
            capacity_refusals.clone(),
        );
        let capacity_waits = Counter::default();
        registry.register(
            "capacity_waits",
            "Calls that waited for a share of the capacity of their grant",
            capacity_waits.clone(),
        );
        let capacity_grants = Gauge::default();
        registry.register(
            "capacity_grants",
            "Grants whose capacity this process takes part in",
            capacity_grants.clone(),
        );

        let bytes = Family::<LinkLabels, Counter>::default();
        registry.register_with_unit(
            "control",
            "Control traffic by link and direction",
            Unit::Bytes,
            bytes.clone(),
        );
        let control_bytes = array_by_key(Link::iter(), |link| {
            array_by_key(Direction::iter(), |direction| {
                bytes.get_or_create_owned(&LinkLabels {
                    link: link.to_string(),
                    direction: direction.to_string(),
                })
            })
        });

        let egress = EgressMetrics::register(&mut registry);
        let accounts = AccountMetrics::new(&mut registry);
        let early = EarlyMetrics::new(&mut registry);

        Self {
            registry,
            calls,
            added_latency,
            queue,
            slots_used,
            slots_total,
            pace,
            speed,
            retries,
            version,
            capacity_refusals,
            capacity_waits,
            capacity_grants,
            control_bytes,
            egress,
            accounts,
            early,
        }
    }

    /// Adds the metrics of the limits on memory and connections.
    pub fn register_memory(&mut self, counters: &memory::Counters) {
        counters.register(&mut self.registry);
    }

    /// Returns the metrics of requests that are rejected early.
    pub const fn early(&self) -> &EarlyMetrics {
        &self.early
    }

    /// Returns the metrics of client accounts.
    pub const fn accounts(&self) -> &AccountMetrics {
        &self.accounts
    }

    /// Counts a finished call.
    pub fn record_call(&self, rank: Rank, outcome: Outcome) {
        self.calls[rank.index()][outcome as usize].inc();
    }

    /// Records the time that the daemons added to a call, without queueing and the backend server.
    pub fn record_added_latency(&self, added: Duration) {
        self.added_latency.observe(added.as_secs_f64());
    }

    /// Sets the number of calls of `rank` that are queued for a slot.
    pub fn set_queue_length(&self, rank: Rank, length: usize) {
        self.queue[rank.index()].set(to_gauge(length as u64));
    }

    /// Sets the number of slots in use and the total number of slots of the backend server.
    pub fn set_slots(&self, used: u32, total: u32) {
        self.slots_used.set(used.into());
        self.slots_total.set(total.into());
    }

    /// Sets the slots that the backend server announces, and its pace; `None` without one.
    pub fn set_pace(&self, announced: u32, pace: Option<&Pace>) {
        self.pace.set(announced, pace);
    }

    /// Sets the speed of the backend server in percent of its past, and the number of its changes so
    /// far.
    pub fn set_speed(&self, percent: u32, changes: u64) {
        self.speed.set(percent, changes);
    }

    /// Counts a retry of a call.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Sets the version in force.
    pub fn set_version(&self, version: Version) {
        self.version.set(to_gauge(version.0));
    }

    /// Counts a call that is refused because it exceeds the capacity of its grant.
    pub fn record_capacity_refusal(&self) {
        self.capacity_refusals.inc();
    }

    /// Counts a call that has to wait for a share of the capacity of its grant.
    pub fn record_capacity_wait(&self) {
        self.capacity_waits.inc();
    }

    /// Sets the number of grants whose capacity this process helps to distribute.
    pub fn set_capacity_grants(&self, grants: usize) {
        self.capacity_grants.set(to_gauge(grants as u64));
    }

    /// Sets the number of slots that are reserved for inner calls.
    pub fn set_reserved_slots(&self, slots: u32) {
        self.egress.slots_reserved.set(slots.into());
    }

    /// Counts a download that is refused because the link is full.
    pub fn record_link_refusal(&self) {
        self.egress.link_refusals.inc();
    }

    /// Sets the number of downloads admitted to the link, and their unsent bytes.
    pub fn set_link(&self, answers: usize, unsent: u64) {
        self.egress.link_answers.set(to_gauge(answers as u64));
        self.egress.link_unsent.set(to_gauge(unsent));
    }

    /// Counts `bytes` of control traffic.
    pub fn add_control_bytes(&self, link: Link, direction: Direction, bytes: u64) {
        self.control_bytes[link as usize][direction as usize].inc_by(bytes);
    }

    /// Returns the bytes of control traffic counted so far on `link` in `direction`.
    pub fn control_bytes_total(&self, link: Link, direction: Direction) -> u64 {
        self.control_bytes[link as usize][direction as usize].get()
    }

    /// Returns the metrics as `OpenMetrics` text.
    ///
    /// ```
    /// use anvilbeam::{metrics::Metrics, model::Version};
    /// let metrics = Metrics::new();
    /// metrics.set_version(Version(7));
    /// assert!(metrics.openmetrics_text().contains("anvilbeam_version 7\n"));
    /// ```
    pub fn openmetrics_text(&self) -> String {
        let mut text = String::new();
        let result = text::encode(&mut text, &self.registry);
        debug_assert!(result.is_ok(), "writing to a String cannot fail");
        text
    }
}

/// Metrics of the link for large answers and of the slots for inner calls.
#[derive(Debug)]
struct EgressMetrics {
    slots_reserved: Gauge,
    link_refusals: Counter,
    link_answers: Gauge,
    link_unsent: Gauge,
}

impl EgressMetrics {
    fn register(registry: &mut Registry) -> Self {
        let slots_reserved = Gauge::default();
        registry.register(
            "slots_reserved",
            "Slots that only inner calls may use",
            slots_reserved.clone(),
        );
        let link_refusals = Counter::default();
        registry.register(
            "link_refusals",
            "Downloads refused because the link was full",
            link_refusals.clone(),
        );
        let link_answers = Gauge::default();
        registry.register(
            "link_answers",
            "Downloads admitted to the link that have not ended",
            link_answers.clone(),
        );
        let link_unsent = Gauge::default();
        registry.register_with_unit(
            "link_unsent",
            "Unsent bytes of the downloads admitted to the link",
            Unit::Bytes,
            link_unsent.clone(),
        );
        Self {
            slots_reserved,
            link_refusals,
            link_answers,
            link_unsent,
        }
    }
}

/// Returns an array with one value for each key, in the order of `keys`.
fn array_by_key<K, T, const N: usize>(
    keys: impl Iterator<Item = K>,
    mut value: impl FnMut(K) -> T,
) -> [T; N] {
    let mut keys = keys.fuse();
    array::from_fn(|_| value(keys.next().expect("N is the number of keys")))
}

/// Converts a value for a gauge; values beyond the range of `i64` become its maximum.
fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
