//! Health and load of one backend server, from the calls of this daemon.

use {
    super::{paced::ReportedPace, pick::Tier, speed::MeasuredSpeed},
    crate::{
        load::Load,
        model::{Endpoint, Rank},
    },
    std::time::{Duration, Instant},
    strum::EnumCount,
};

/// Duration of the slow start of a new or readmitted server.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share of the full weight at the beginning of a slow start; 0 would keep the server cold.
const MIN_SLOW_START_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the smoothed latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// Resolution of the timers in seconds; shorter latencies count as equal.
const MIN_LATENCY: f64 = 1e-4;
/// Weight of a new sample in the smoothed failure rate.
const FAILURE_EWMA_WEIGHT: f64 = 0.1;
/// Samples are clipped to this multiple of the estimate.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// Half-life of an estimate without new samples, so that a slow server is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Minimum weight factor of a failing server that cannot be ejected.
const MIN_RELIABILITY: f64 = 0.005;
/// Consecutive failures after which a server is compared with its peers.
const FAILURE_STREAK: u32 = 3;
/// Excess over the median failure rate of the peers that ejects a server.
const FAILURE_MARGIN: f64 = 0.35;
/// Multiple of the lower quartile of the peers' latencies that a slow server exceeds.
const SLOW_FACTOR: f64 = 5.0;
/// Seconds above that quartile that a slow server also exceeds: two round trips between regions, so
/// that distance alone does not cause an ejection.
const SLOW_MARGIN: f64 = 0.05;
/// Minimum number of samples before a latency is compared.
const MIN_LATENCY_SAMPLES: u32 = 5;
/// Duration of the first ejection; doubled with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);
/// Maximum number of doublings: ejections last at most 160 s.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Time without ejection after which the duration is reset to the first one.
const EJECTION_RESET_TIME: Duration = Duration::from_mins(2);
/// Consecutive successful probes that end an ejection.
const PROBES_TO_READMIT: u32 = 3;
/// Time for which a server's own load report is valid.
const HINT_TTL: Duration = Duration::from_secs(3);
/// Share of the weight that a report of full load removes.
const MAX_HINT_REDUCTION: f64 = 0.5;
/// Upper bound for a retry-after time, which another process sets.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Minimum number of unanswered calls of an unresponsive server; a single call may just take long.
const UNRESPONSIVE_CALLS: u32 = 3;
/// Minimum time without an answer from an unresponsive server.
const MIN_UNRESPONSIVE_TIME: Duration = Duration::from_millis(300);
/// Multiple of the latency that the time without an answer must also exceed.
const UNRESPONSIVE_FACTOR: f64 = 3.0;
/// Time for which a load reported by the owner daemon is valid: the duration of a few calls.
const LOAD_TTL: Duration = Duration::from_secs(1);
/// Load as a share of the slots up to which a server answers as fast as an idle one.
const CONTENTION_THRESHOLD: f64 = 0.7;
/// Relative increase of the completion time when the load exceeds that share by all slots. A full
/// server with as many waiting calls as slots answers after about two service times.
const CONTENTION_COST: f64 = 1.0;

/// State of one backend server.
#[derive(Debug)]
pub(super) struct Health {
    incarnation: u64,
    slots: u32,
    /// Beginning of the slow start; `None` if the server started before the daemon.
    ramp_start: Option<Instant>,
    /// Pace that replaces the slow start; `None` with the setting `pace: ramp`.
    pace: Option<ReportedPace>,
    pub(super) speed: MeasuredSpeed,
    outstanding: u32,
    /// Smoothed latency in seconds, and the time of the last sample.
    latency: Option<(f64, Instant)>,
    /// Number of latency samples.
    samples: u32,
    /// Smoothed share of failed calls.
    failure_rate: f64,
    failure_streak: u32,
    refusing_until: [Option<Instant>; Rank::COUNT],
    ejected_until: Option<Instant>,
    ejections: u32,
    readmitted_at: Instant,
    successful_probes: u32,
    /// Load from the server's own report, from 0 to 1, and its expiry.
    hint: Option<(f64, Instant)>,
    /// Running and waiting calls as reported by the owner daemon, and the time of the report.
    load: Option<(f64, Instant)>,
    /// Expected wait until the owner daemon would receive a large body, in seconds.
    body_wait: f64,
    /// Time that the link of the owner daemon needs for answers that wait ahead of one of a rank, in
    /// seconds.
    answer_wait: [f64; Rank::COUNT],
    /// Smoothed service time without waiting, in seconds, and the time of the last sample.
    service_time: Option<(f64, Instant)>,
    /// Time of the last answer, or of the last call sent while none was outstanding.
    last_activity: Instant,
}

impl Health {
    pub(super) fn new(
        endpoint: &Endpoint,
        ramp_start: Option<Instant>,
        paced: bool,
        now: Instant,
    ) -> Self {
        let pace = match ramp_start {
            Some(_) => ReportedPace::unknown(now),
            None => ReportedPace::full(now),
        };
        Self {
            pace: paced.then_some(pace),
            speed: MeasuredSpeed::default(),
            incarnation: endpoint.incarnation,
            slots: endpoint.slots,
            ramp_start,
            outstanding: 0,
            latency: None,
            samples: 0,
            failure_rate: 0.0,
            failure_streak: 0,
            refusing_until: [None; Rank::COUNT],
            ejected_until: None,
            ejections: 0,
            readmitted_at: now,
            successful_probes: 0,
            hint: None,
            load: None,
            body_wait: 0.0,
            answer_wait: [0.0; Rank::COUNT],
            service_time: None,
            last_activity: now,
        }
    }

    /// Applies a new announcement. A new incarnation keeps only the number of ejections, so that a
    /// server cannot shorten its ejections by restarting.
    pub(super) fn apply_announcement(&mut self, endpoint: &Endpoint, now: Instant) {
        if self.incarnation != endpoint.incarnation {
            *self = Self {
                ejections: self.ejections,
                ..Self::new(endpoint, Some(now), self.pace.is_some(), now)
            };
        }
        self.slots = endpoint.slots;
    }

    pub(super) fn call_started(&mut self, now: Instant) {
        if self.outstanding == 0 {
            self.last_activity = now;
        }
        self.outstanding += 1;
    }

    /// Whether several calls have had no answer for a long time. The VM may be lost, which the
    /// connections report only after seconds.
    fn is_unresponsive(&self, now: Instant) -> bool {
        let expected = self.latency().unwrap_or(0.0) * UNRESPONSIVE_FACTOR;
        let silence = now.saturating_duration_since(self.last_activity);
        self.outstanding >= UNRESPONSIVE_CALLS
            && silence > MIN_UNRESPONSIVE_TIME.max(Duration::from_secs_f64(expected))
    }

    pub(super) const fn is_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation
    }

    /// Records the end of a call; returns false if it ran on another incarnation.
    pub(super) fn call_finished(&mut self, incarnation: u64) -> bool {
        if self.incarnation != incarnation {
            return false;
        }
        self.outstanding = self.outstanding.saturating_sub(1);
        true
    }

    pub(super) fn record_refusal(&mut self, rank: Rank, retry_after: Duration, now: Instant) {
        let until = now + retry_after.min(MAX_RETRY_AFTER);
        let previous = &mut self.refusing_until[rank.index()];
        *previous = (*previous).max(Some(until));
    }

    pub(super) fn record(&mut self, success: bool, latency: Duration, now: Instant) {
        let failure = if success { 0.0 } else { 1.0 };
        self.failure_rate += (failure - self.failure_rate) * FAILURE_EWMA_WEIGHT;
        self.failure_streak = if success { 0 } else { self.failure_streak + 1 };
        let sample = latency.as_secs_f64();
        // Fast failures are no latency samples, or a failing server would attract calls.
        if success || self.latency.is_some_and(|(known, _)| sample > known) {
            self.update_latency(sample, now);
        }
    }

    fn update_latency(&mut self, sample: f64, now: Instant) {
        self.samples = self.samples.saturating_add(1);
        let Some((known, at)) = self.latency else {
            self.latency = Some((sample, now));
            return;
        };
        // One long call, such as an upload, must not make its server look slow; on a slow server,
        // several calls are long.
        let sample = sample.min(known * MAX_SAMPLE_FACTOR);
        // The older the last sample, the more the new one counts.
        let weight = LATENCY_EWMA_WEIGHT.max(1.0 - decay_factor(at, now));
        self.latency = Some((known + (sample - known) * weight, now));
    }

    pub(super) fn tier(&self, rank: Rank, now: Instant) -> Tier {
        if self.ejected_until.is_some() {
            Tier::Ejected
        } else if self.refusing_until[rank.index()].is_some_and(|until| until > now) {
            Tier::Refusing
        } else if self.outstanding >= self.paced_slots(now) || self.is_unresponsive(now) {
            Tier::Full
        } else {
            Tier::Usable
        }
    }

    /// Whether the ejection is over and no probe is running.
    pub(super) fn needs_probe(&self, now: Instant) -> bool {
        self.outstanding == 0 && self.ejected_until.is_some_and(|until| until <= now)
    }

    /// Weight in the draw: grows during slow start, falls with failures and the hinted load.
    pub(super) fn weight(&self, now: Instant) -> f64 {
        let load = self.hint.filter(|(_, until)| *until > now);
        let load = load.map_or(0.0, |(load, _)| load * MAX_HINT_REDUCTION);
        self.ramp(now) * self.reliability() * (1.0 - load)
    }

    /// Number of calls that the server is expected to let run, at least 1.
    fn paced_slots(&self, now: Instant) -> u32 {
        self.pace.map_or(self.slots.max(1), |pace| {
            pace.allowed(self.slots.max(1), now)
        })
    }

    /// Lets the reported pace replace the slow start, or ends that.
    pub(super) fn set_paced(&mut self, paced: bool, now: Instant) {
        let known = match self.ramp(now) {
            1.0.. => ReportedPace::full(now),
            _ => ReportedPace::unknown(now),
        };
        self.pace = paced.then_some(known);
    }

    /// Share of the full weight during slow start.
    pub(super) fn ramp(&self, now: Instant) -> f64 {
        if let Some(pace) = self.pace {
            return pace.share(now);
        }
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        let age = now.saturating_duration_since(start);
        let ramp = age.as_secs_f64() / SLOW_START.as_secs_f64();
        ramp.clamp(MIN_SLOW_START_WEIGHT, 1.0)
    }

    /// Factor on the weight for the failure rate.
    fn reliability(&self) -> f64 {
        (1.0 - self.failure_rate).powi(4).max(MIN_RELIABILITY)
    }

    /// Number of outstanding calls including a new one.
    ///
    /// Failures and load reports only affect the weight. If they counted here too, an idle server
    /// would lose all comparisons and get no calls whose outcomes could correct its weight.
    pub(super) fn queue_length(&self) -> f64 {
        f64::from(self.outstanding + 1)
    }

    /// Latency estimate in seconds, which decays without new samples.
    pub(super) fn expected_latency(&self, now: Instant) -> Option<f64> {
        let (latency, at) = self.latency?;
        Some(latency.max(MIN_LATENCY) * decay_factor(at, now))
    }

    pub(super) fn latency(&self) -> Option<f64> {
        self.latency.map(|(latency, _)| latency)
    }

    /// Whether the server may be an outlier, which makes a comparison with its peers worthwhile.
    pub(super) fn needs_peer_comparison(&self, failed: bool) -> bool {
        if failed && (self.failure_streak >= FAILURE_STREAK || self.failure_rate > 0.5) {
            return true;
        }
        let slow = self.latency().is_some_and(|latency| latency > SLOW_MARGIN);
        slow && self.samples >= MIN_LATENCY_SAMPLES && self.samples.is_multiple_of(4)
    }

    /// Whether at least the last [`FAILURE_STREAK`] calls all failed.
    pub(super) const fn has_failure_streak(&self) -> bool {
        self.failure_streak >= FAILURE_STREAK
    }

    pub(super) fn is_failure_outlier(&self, peers: &PeerStats) -> bool {
        self.failure_rate > peers.failure_rate + FAILURE_MARGIN
    }

    /// Ejects the server and returns the deadline.
    pub(super) fn eject(&mut self, now: Instant) -> Instant {
        let in_service = now.saturating_duration_since(self.readmitted_at);
        if self.ejected_until.is_none() && in_service > EJECTION_RESET_TIME {
            self.ejections = 0;
        }
        let until = now + BASE_EJECTION_TIME * 2u32.pow(self.ejections.min(MAX_EJECTION_DOUBLINGS));
        self.ejections += 1;
        self.successful_probes = 0;
        self.ejected_until = Some(until);
        until
    }

    /// Records a successful probe; returns whether it ends the ejection.
    pub(super) fn probe_succeeded(&mut self, now: Instant) -> bool {
        self.successful_probes += 1;
        if self.successful_probes < PROBES_TO_READMIT {
            return false;
        }
        self.end_ejection();
        self.failure_rate = 0.0;
        self.ramp_start = Some(now);
        self.pace = self.pace.map(|pace| pace.readmitted(now));
        self.readmitted_at = now;
        true
    }

    /// Ends the ejection.
    pub(super) fn end_ejection(&mut self) {
        self.ejected_until = None;
        self.successful_probes = 0;
        self.failure_streak = 0;
    }

    pub(super) fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    pub(super) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    pub(super) fn record_load(&mut self, incarnation: u64, load: &Load, now: Instant) {
        if self.incarnation != incarnation {
            return;
        }
        self.last_activity = now;
        self.load = Some((f64::from(load.running + load.waiting), now));
        self.body_wait = load.body_wait.as_secs_f64();
        self.answer_wait = load.answer_wait.map(|wait| wait.as_secs_f64());
        if self.pace.is_some() {
            self.pace = Some(ReportedPace::reported(load.slots, self.slots, now));
        }
        if let Some(server_time) = load.server_time {
            let sample = server_time.as_secs_f64();
            let known = self.service_time(now).unwrap_or(sample);
            let sample = sample.min(known * MAX_SAMPLE_FACTOR);
            self.service_time = Some((known + (sample - known) * LATENCY_EWMA_WEIGHT, now));
        }
    }

    /// Service time without waiting, in seconds; `None` if none was reported. The estimate decays
    /// without new samples, so that a server that was slow is tried again.
    pub(super) fn service_time(&self, now: Instant) -> Option<f64> {
        let (time, at) = self.service_time?;
        Some(time.max(MIN_LATENCY) * decay_factor(at, now))
    }

    /// Expected time until one more call is answered, in seconds. `service_time` is the default if
    /// none was reported; without a recent load report, half the slots count as used.
    pub(super) fn expected_completion(&self, service_time: f64, now: Instant) -> f64 {
        let slots = f64::from(self.paced_slots(now));
        let recent = self.load.filter(|(_, at)| now < *at + LOAD_TTL);
        let reported = recent.map_or(slots / 2.0, |(load, _)| load);
        let load = reported.max(f64::from(self.outstanding)) + 1.0;
        let contention = (load / slots - CONTENTION_THRESHOLD).max(0.0);
        self.service_time(now).unwrap_or(service_time) * (1.0 + contention * CONTENTION_COST)
    }

    /// Expected wait until the owner daemon would receive a large body, in seconds, as far as it has
    /// not passed since the last load report; 0 without a recent one.
    pub(super) fn body_wait(&self, now: Instant) -> f64 {
        self.left_of(self.body_wait, now)
    }

    /// Time that the link of the owner daemon still needs for the answers that waited at the last
    /// load report ahead of one of `rank`, in seconds; 0 without a recent one.
    pub(super) fn answer_wait(&self, rank: Rank, now: Instant) -> f64 {
        self.left_of(self.answer_wait[rank.index()], now)
    }

    /// Part of a reported wait that has not passed since the report.
    fn left_of(&self, wait: f64, now: Instant) -> f64 {
        match self.load {
            Some((_, at)) if now < at + LOAD_TTL => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                (wait - age).max(0.0)
            }
            _ => 0.0,
        }
    }

    pub(super) fn record_hint(&mut self, load: f64, now: Instant) {
        if load.is_finite() {
            self.hint = Some((load.clamp(0.0, 1.0), now + HINT_TTL));
        }
    }
}

/// Returns the factor by which an estimate last updated at `at` has decayed.
fn decay_factor(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    // Avoids computing the power for estimates in use, which are recent.
    if age < Duration::from_secs(1) {
        return 1.0;
    }
    (-(age.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64())).exp2()
}

/// Statistics of the peers of a server. Its failure rate is compared with the median, since a
/// common fault affects servers unequally, and its latency with the lower quartile, so that a
/// majority of slow peers does not hide a slow server.
#[derive(Debug)]
pub(super) struct PeerStats {
    /// Median failure rate.
    failure_rate: f64,
    /// Lower quartile of the latencies in seconds; `None` without samples.
    latency: Option<f64>,
}

impl PeerStats {
    pub(super) fn new<'a>(peers: impl Iterator<Item = &'a Health>) -> Self {
        let (rates, latencies): (Vec<_>, Vec<_>) =
            peers.map(|p| (p.failure_rate, p.latency())).unzip();
        let latencies = latencies.into_iter().flatten().collect();
        Self {
            failure_rate: median(rates).unwrap_or(0.0),
            latency: lower_quartile(latencies),
        }
    }
}

impl PeerStats {
    /// Lower quartile of the latencies.
    pub(super) fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// Whether `latency`, in seconds, is much higher than that of the peers.
    pub(super) fn is_latency_outlier(&self, latency: Option<f64>) -> bool {
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
