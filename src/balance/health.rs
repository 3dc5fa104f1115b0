//! What the daemon has seen of one backend server.

use {
    super::pick::Tier,
    crate::{
        load::Load,
        model::{Endpoint, Rank},
    },
    std::time::{Duration, Instant},
    strum::EnumCount,
};

/// Time until a new or returned server gets its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share of the full weight at the start; zero would never warm a server up.
const COLD_WEIGHT: f64 = 0.1;
/// Weight of one call in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Seconds below which latencies are not told apart: the resolution of the timers.
const MIN_LATENCY: f64 = 1e-4;
/// Weight of one call in the smoothed share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Factor over the estimate at which a sample is cut off.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// Time after which an unused latency estimate counts half, so that a slow server is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Least weight of a failing server that cannot be ejected.
const MIN_RELIABILITY: f64 = 0.005;
/// Failures in a row that raise a suspicion.
const STREAK: u32 = 3;
/// Failures above the median peer's share that eject a server.
const FAILURE_MARGIN: f64 = 0.35;
/// Factor over the better peers' latency that counts as slow by far.
const SLOW_FACTOR: f64 = 5.0;
/// Seconds above the better peers' latency that count as slow: two round trips between regions,
/// so that distance alone ejects nobody.
const SLOW_MARGIN: f64 = 0.05;
/// Calls before a latency is compared.
const SLOW_SAMPLES: u32 = 5;
/// First ejection; doubles with each repeat.
const EJECTION: Duration = Duration::from_secs(5);
/// Repeats after which the ejection grows no further: 160 s.
const MAX_REPEATS: u32 = 5;
/// Time in service after which earlier ejections are forgotten.
const FORGIVEN_AFTER: Duration = Duration::from_mins(2);
/// Successful probes in a row that end an ejection.
const PROBES: u32 = 3;
/// Time for which a load report counts.
const HINT_LIFE: Duration = Duration::from_secs(3);
/// Part of the weight that a report of full load takes away.
const HINT_FACTOR: f64 = 0.5;
/// Limit of a retry-after hint, which comes from another process.
const MAX_REFUSAL: Duration = Duration::from_secs(2);
/// Calls without an answer that make silence suspicious; one may just take long.
const QUIET_CALLS: u32 = 3;
/// Shortest silence that is suspicious.
const MIN_QUIET: Duration = Duration::from_millis(300);
/// Multiple of the usual latency that the silence must exceed.
const QUIET_FACTOR: f64 = 3.0;
/// Time for which a reported load says something: some calls.
const LOAD_LIFE: Duration = Duration::from_secs(1);
/// Share of the slots up to which a server answers as fast as an idle one.
const BUSY_SHARE: f64 = 0.7;
/// Growth of the time until the answer when the load exceeds that share by all slots. A full
/// server with a queue as long as its slots answers after about two service times.
const BUSY_COST: f64 = 1.0;

/// State of one backend server.
#[derive(Debug)]
pub(super) struct Health {
    incarnation: u64,
    slots: u32,
    /// Start of slow start; `None` if the server was there before the daemon.
    ramp_start: Option<Instant>,
    outstanding: u32,
    /// Seconds, with the time of the last sample.
    latency: Option<(f64, Instant)>,
    samples: u32,
    failures: f64,
    streak: u32,
    refusing_until: [Option<Instant>; Rank::COUNT],
    ejected_until: Option<Instant>,
    repeats: u32,
    readmitted: Instant,
    probes: u32,
    hint: Option<(f64, Instant)>,
    /// Calls that ran or waited at the server, and when it was reported.
    load: Option<(f64, Instant)>,
    /// Smoothed time of a call at the server, without waiting, in seconds.
    service_time: Option<(f64, Instant)>,
    /// When it last answered, or was sent a call while it had none.
    active: Instant,
}

impl Health {
    pub(super) fn new(endpoint: &Endpoint, ramp_start: Option<Instant>, now: Instant) -> Self {
        Self {
            incarnation: endpoint.incarnation,
            slots: endpoint.slots,
            ramp_start,
            outstanding: 0,
            latency: None,
            samples: 0,
            failures: 0.0,
            streak: 0,
            refusing_until: [None; Rank::COUNT],
            ejected_until: None,
            repeats: 0,
            readmitted: now,
            probes: 0,
            hint: None,
            load: None,
            service_time: None,
            active: now,
        }
    }

    /// Takes over a new announcement; a new incarnation starts from nothing but its repeats, so
    /// that a server cannot shorten its ejections by restarting.
    pub(super) fn refresh(&mut self, endpoint: &Endpoint, now: Instant) {
        if self.incarnation != endpoint.incarnation {
            *self = Self {
                repeats: self.repeats,
                ..Self::new(endpoint, Some(now), now)
            };
        }
        self.slots = endpoint.slots;
    }

    pub(super) fn started(&mut self, now: Instant) {
        if self.outstanding == 0 {
            self.active = now;
        }
        self.outstanding += 1;
    }

    /// Whether several calls wait for a server that has answered none of them for long. Its VM
    /// may be gone, which connections show only after seconds.
    fn is_quiet(&self, now: Instant) -> bool {
        let usual = self.latency().unwrap_or(0.0) * QUIET_FACTOR;
        let silence = now.saturating_duration_since(self.active);
        self.outstanding >= QUIET_CALLS && silence > MIN_QUIET.max(Duration::from_secs_f64(usual))
    }

    /// Counts a call as ended; false if it ran on another incarnation.
    pub(super) fn finished(&mut self, incarnation: u64) -> bool {
        if self.incarnation != incarnation {
            return false;
        }
        self.outstanding = self.outstanding.saturating_sub(1);
        true
    }

    pub(super) fn refused(&mut self, rank: Rank, retry_after: Duration, now: Instant) {
        let until = now + retry_after.min(MAX_REFUSAL);
        let slot = &mut self.refusing_until[rank.index()];
        *slot = (*slot).max(Some(until));
    }

    pub(super) fn record(&mut self, success: bool, latency: Duration, now: Instant) {
        let failure = if success { 0.0 } else { 1.0 };
        self.failures += (failure - self.failures) * FAILURE_WEIGHT;
        self.streak = if success { 0 } else { self.streak + 1 };
        let sample = latency.as_secs_f64();
        // A quick failure says nothing about the speed, or it would attract traffic.
        if success || self.latency.is_some_and(|(known, _)| sample > known) {
            self.smooth(sample, now);
        }
    }

    fn smooth(&mut self, sample: f64, now: Instant) {
        self.samples = self.samples.saturating_add(1);
        let Some((known, at)) = self.latency else {
            self.latency = Some((sample, now));
            return;
        };
        // One long call, such as an upload, must not make its server look slow: a server that is
        // slow shows it in several calls.
        let sample = sample.min(known * MAX_SAMPLE_FACTOR);
        // An estimate that has not been used for long gives way to the new sample.
        let weight = LATENCY_WEIGHT.max(1.0 - halving(at, now));
        self.latency = Some((known + (sample - known) * weight, now));
    }

    pub(super) fn tier(&self, rank: Rank, now: Instant) -> Tier {
        if self.ejected_until.is_some() {
            Tier::Ejected
        } else if self.refusing_until[rank.index()].is_some_and(|until| until > now) {
            Tier::Refusing
        } else if self.outstanding >= self.slots.max(1) || self.is_quiet(now) {
            Tier::Full
        } else {
            Tier::Usable
        }
    }

    /// Whether the ejection is over and no probe is running.
    pub(super) fn wants_probe(&self, now: Instant) -> bool {
        self.outstanding == 0 && self.ejected_until.is_some_and(|until| until <= now)
    }

    /// Weight in the draw: grows during slow start, falls with failures and reported load.
    pub(super) fn weight(&self, now: Instant) -> f64 {
        let load = self.hint.filter(|(_, until)| *until > now);
        let load = load.map_or(0.0, |(load, _)| load * HINT_FACTOR);
        self.ramp(now) * self.reliability() * (1.0 - load)
    }

    /// Share of the full weight during slow start.
    pub(super) fn ramp(&self, now: Instant) -> f64 {
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        let age = now.saturating_duration_since(start);
        let ramp = age.as_secs_f64() / SLOW_START.as_secs_f64();
        ramp.clamp(COLD_WEIGHT, 1.0)
    }

    fn reliability(&self) -> f64 {
        (1.0 - self.failures).powi(4).max(MIN_RELIABILITY)
    }

    /// Calls ahead of and including one more.
    ///
    /// Failures and reports count in the weight only: counted here too, they would keep an idle
    /// server from all comparisons, and so from ever being judged by its outcomes.
    pub(super) fn queue(&self) -> f64 {
        f64::from(self.outstanding + 1)
    }

    /// Seconds for one call, lower the longer the estimate has not been used.
    pub(super) fn expected_latency(&self, now: Instant) -> Option<f64> {
        let (latency, at) = self.latency?;
        Some(latency.max(MIN_LATENCY) * halving(at, now))
    }

    pub(super) fn latency(&self) -> Option<f64> {
        self.latency.map(|(latency, _)| latency)
    }

    /// Whether a comparison with the peers is worth its cost.
    pub(super) fn is_suspicious(&self, failed: bool) -> bool {
        if failed && (self.streak >= STREAK || self.failures > 0.5) {
            return true;
        }
        let slow = self.latency().is_some_and(|latency| latency > SLOW_MARGIN);
        slow && self.samples >= SLOW_SAMPLES && self.samples.is_multiple_of(4)
    }

    /// Whether the last calls all failed.
    pub(super) const fn has_streak(&self) -> bool {
        self.streak >= STREAK
    }

    pub(super) fn fails_against(&self, peers: &Peers) -> bool {
        self.failures > peers.failures + FAILURE_MARGIN
    }

    /// Ejects the server and returns the deadline.
    pub(super) fn eject(&mut self, now: Instant) -> Instant {
        let in_service = now.saturating_duration_since(self.readmitted);
        if self.ejected_until.is_none() && in_service > FORGIVEN_AFTER {
            self.repeats = 0;
        }
        let until = now + EJECTION * 2u32.pow(self.repeats.min(MAX_REPEATS));
        self.repeats += 1;
        self.probes = 0;
        self.ejected_until = Some(until);
        until
    }

    /// Counts a good probe; true if it ends the ejection.
    pub(super) fn probe_succeeded(&mut self, now: Instant) -> bool {
        self.probes += 1;
        if self.probes < PROBES {
            return false;
        }
        self.release();
        self.failures = 0.0;
        self.ramp_start = Some(now);
        self.readmitted = now;
        true
    }

    /// Ends the ejection.
    pub(super) fn release(&mut self) {
        self.ejected_until = None;
        self.probes = 0;
        self.streak = 0;
    }

    pub(super) fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    pub(super) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    pub(super) fn report(&mut self, incarnation: u64, load: &Load, now: Instant) {
        if self.incarnation != incarnation {
            return;
        }
        self.active = now;
        self.load = Some((f64::from(load.running + load.waiting), now));
        if let Some(took) = load.took {
            let sample = took.as_secs_f64();
            let known = self.service_time(now).unwrap_or(sample);
            let sample = sample.min(known * MAX_SAMPLE_FACTOR);
            self.service_time = Some((known + (sample - known) * LATENCY_WEIGHT, now));
        }
    }

    /// Time of a call at the server without waiting, in seconds, if it has reported.
    /// An estimate that is not renewed shrinks, so that a server that was slow is tried again.
    pub(super) fn service_time(&self, now: Instant) -> Option<f64> {
        let (time, at) = self.service_time?;
        Some(time.max(MIN_LATENCY) * halving(at, now))
    }

    /// Expected time until the answer of one more call, in seconds, with `service_time` for a
    /// server that has not reported one. A report that is not recent counts as half the slots.
    pub(super) fn completion(&self, service_time: f64, now: Instant) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let recent = self.load.filter(|(_, at)| now < *at + LOAD_LIFE);
        let reported = recent.map_or(slots / 2.0, |(load, _)| load);
        let load = reported.max(f64::from(self.outstanding)) + 1.0;
        let busy = (load / slots - BUSY_SHARE).max(0.0);
        self.service_time(now).unwrap_or(service_time) * (1.0 + busy * BUSY_COST)
    }

    pub(super) fn hint(&mut self, load: f64, now: Instant) {
        if load.is_finite() {
            self.hint = Some((load.clamp(0.0, 1.0), now + HINT_LIFE));
        }
    }
}

/// What is left of an estimate made at `at`.
fn halving(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    // Estimates in use are young; the power is computed only for the others.
    if age < Duration::from_secs(1) {
        return 1.0;
    }
    (-(age.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64())).exp2()
}

/// The peers of a server. Its failures are compared with the median, since a fault common to all is
/// seen in unequal parts, and its latency with the lower quartile, so that a majority of slow peers
/// does not hide a slow server.
#[derive(Debug)]
pub(super) struct Peers {
    failures: f64,
    latency: Option<f64>,
}

impl Peers {
    pub(super) fn new<'a>(peers: impl Iterator<Item = &'a Health>) -> Self {
        let (failures, latencies): (Vec<_>, Vec<_>) =
            peers.map(|peer| (peer.failures, peer.latency())).unzip();
        let latencies = latencies.into_iter().flatten().collect();
        Self {
            failures: median(failures).unwrap_or(0.0),
            latency: lower_quartile(latencies),
        }
    }
}

impl Peers {
    /// Latency of the quicker ones.
    pub(super) fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// Whether a server with `latency` in seconds is slower than its peers by far.
    pub(super) fn are_faster_than(&self, latency: Option<f64>) -> bool {
        let (Some(latency), Some(peers)) = (latency, self.latency) else {
            return false;
        };
        latency > peers * SLOW_FACTOR && latency > peers + SLOW_MARGIN
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

fn lower_quartile(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 4).copied()
}
