//! Discrete-event simulation of one service: 6 backend servers with 20 slots each.

use {
    crate::server::{Policy, Server},
    anvilbeam::{
        admission::{Call, Effect, Outcome},
        model::{PlanName, Rank},
    },
    hdrhistogram::Histogram,
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        f64::consts::TAU,
        time::{Duration, Instant},
    },
    strum::{EnumCount as _, IntoEnumIterator as _},
};

/// Backend servers of the service.
pub const SERVERS: usize = 6;
/// Slots of each backend server.
pub const SLOTS: u32 = 20;
/// Mean service time, in seconds.
const MEAN_SERVICE_TIME_S: f64 = 0.020;
/// Standard deviation of the logarithm of the service time: 1 % of the calls take over 67 ms.
const SERVICE_SIGMA: f64 = 0.6;
/// Throughput of all slots together, in calls per second.
pub const CAPACITY: f64 = SERVERS as f64 * SLOTS as f64 / MEAN_SERVICE_TIME_S;
/// Time from arrival to deadline by rank, in milliseconds.
const DEADLINES_MS: [u64; Rank::COUNT] = [200, 500, 2_000, 10_000];
/// Share of the base load by rank.
const RANK_SHARES: [f64; Rank::COUNT] = [0.10, 0.35, 0.30, 0.25];
/// Plans and their weights; the base load of each rank is divided in proportion to the weights.
pub const PLANS: [(&str, u32); 3] = [("a", 60), ("b", 30), ("c", 10)];
/// Index in [`PLANS`] of the plan that floods, and that sends the uploads.
pub const FLOODING_PLAN: usize = 1;
/// Rate of a flood, in multiples of [`CAPACITY`].
const FLOOD_FACTOR: f64 = 10.0;
/// Timer interval of each server.
const TICK: Duration = Duration::from_millis(10);
/// Longest time from arrival to deadline of a call that is not an upload.
const MAX_DEADLINE: Duration = Duration::from_secs(10);
/// Service time above which a call counts as an upload.
const UPLOAD_THRESHOLD: Duration = Duration::from_secs(1);
/// Warm-up in which queues and estimates reach a steady state.
const WARM_UP: Duration = Duration::from_secs(3);
/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Load scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name in the table.
    pub name: &'static str,
    /// Base load as a fraction of [`CAPACITY`].
    pub load: f64,
    /// Rank at which [`FLOODING_PLAN`] floods; `None` for no flood.
    pub flood: Option<Rank>,
    /// Fraction of the low-rank calls of [`FLOODING_PLAN`] that are uploads (mean: one minute).
    pub upload_share: f64,
    /// Simulated time before the measurement.
    pub warm_up: Duration,
}

/// The scenarios of the table.
pub const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "idle",
        load: 0.3,
        flood: None,
        upload_share: 0.0,
        warm_up: WARM_UP,
    },
    Scenario {
        name: "half",
        load: 0.5,
        flood: None,
        upload_share: 0.0,
        warm_up: WARM_UP,
    },
    Scenario {
        name: "flood low",
        load: 0.5,
        flood: Some(Rank::Low),
        upload_share: 0.0,
        warm_up: WARM_UP,
    },
    Scenario {
        name: "flood urgent",
        load: 0.5,
        flood: Some(Rank::Urgent),
        upload_share: 0.0,
        warm_up: WARM_UP,
    },
    Scenario {
        name: "uploads",
        load: 0.5,
        flood: None,
        upload_share: 0.01,
        // Long enough for uploads to occupy all the slots that they may hold.
        warm_up: Duration::from_mins(2),
    },
];

/// Measured results of one rank.
#[derive(Debug)]
pub struct RankResult {
    /// Calls that arrived.
    pub offered: u64,
    /// Calls answered by their deadline.
    pub in_time: u64,
    /// Calls answered by their deadline, by plan.
    pub in_time_by_plan: [u64; PLANS.len()],
    /// Calls that arrived, by plan.
    pub offered_by_plan: [u64; PLANS.len()],
    /// Times from arrival to answer, in microseconds.
    pub latency: Histogram<u64>,
}

impl RankResult {
    fn new() -> Self {
        Self {
            offered: 0,
            in_time: 0,
            in_time_by_plan: [0; PLANS.len()],
            offered_by_plan: [0; PLANS.len()],
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
        }
    }

    /// Returns the fraction of the calls that were answered by their deadline.
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    /// Returns the latency at `quantile`, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Poisson arrivals of one plan at one rank.
#[derive(Debug)]
struct Flow {
    rank: Rank,
    plan: usize,
    name: PlanName,
    /// Calls per second.
    rate: f64,
    upload_share: f64,
}

#[derive(Debug)]
struct InFlight {
    flow: usize,
    server: usize,
    arrived: Duration,
    service_time: Duration,
    measured: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End { server: usize, id: u64 },
    Tick(usize),
}

/// State of one run of a scenario under a policy.
#[derive(Debug)]
struct Sim {
    start: Instant,
    now: Duration,
    measure_from: Duration,
    measure_to: Duration,
    /// Measured calls that are neither answered nor refused yet.
    pending: u64,
    rng: StdRng,
    flows: Vec<Flow>,
    servers: Vec<Server>,
    outstanding: [u32; SERVERS],
    calls: HashMap<u64, InFlight>,
    /// Virtual time, sequence number (orders simultaneous events) and event.
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_seq: u64,
    next_id: u64,
    results: Vec<RankResult>,
}

/// Simulates `scenario` and returns the results by rank. Measures the calls that arrive within
/// `duration` after the warm-up, except uploads; the load continues until the last measured call is
/// answered, refused or past its deadline.
pub fn run(policy: Policy, scenario: &Scenario, seed: u64, duration: Duration) -> Vec<RankResult> {
    let flows = build_flows(scenario);
    let mut sim = Sim {
        start: Instant::now(),
        now: Duration::ZERO,
        measure_from: scenario.warm_up,
        measure_to: scenario.warm_up + duration,
        pending: 0,
        rng: StdRng::seed_from_u64(seed),
        flows,
        servers: (0..SERVERS).map(|_| Server::new(policy, SLOTS)).collect(),
        outstanding: [0; SERVERS],
        calls: HashMap::new(),
        events: BinaryHeap::new(),
        event_seq: 0,
        next_id: 0,
        results: Rank::iter().map(|_| RankResult::new()).collect(),
    };
    for flow in 0..sim.flows.len() {
        sim.schedule_arrival(flow);
    }
    for server in 0..SERVERS {
        sim.schedule(TICK, Event::Tick(server));
    }
    let end = sim.measure_to + MAX_DEADLINE;
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        sim.now = at;
        if at >= sim.measure_to && (sim.pending == 0 || at >= end) {
            break;
        }
        sim.handle(event);
    }
    sim.results
}

fn build_flows(scenario: &Scenario) -> Vec<Flow> {
    let total_weight: u32 = PLANS.iter().map(|(_, weight)| weight).sum();
    let mut flows = Vec::new();
    for rank in Rank::iter() {
        for (plan, (name, weight)) in PLANS.iter().enumerate() {
            let base_rate = CAPACITY * scenario.load * RANK_SHARES[rank.index()];
            let mut rate = base_rate * f64::from(*weight) / f64::from(total_weight);
            if scenario.flood == Some(rank) && plan == FLOODING_PLAN {
                rate += CAPACITY * FLOOD_FACTOR;
            }
            let upload_share = if rank == Rank::Low && plan == FLOODING_PLAN {
                scenario.upload_share
            } else {
                0.0
            };
            flows.push(Flow {
                rank,
                plan,
                name: PlanName::from(*name),
                rate,
                upload_share,
            });
        }
    }
    flows
}

impl Sim {
    fn handle(&mut self, event: Event) {
        let now = self.start + self.now;
        match event {
            Event::Arrive(flow) => {
                self.arrive(flow);
                self.schedule_arrival(flow);
            }
            Event::End { server, id } => {
                self.record_answer(id);
                let effects = self.servers[server].finish(id, Outcome::Done, now);
                self.perform(&effects);
            }
            Event::Tick(server) => {
                let effects = self.servers[server].tick(now);
                self.perform(&effects);
                self.schedule(TICK, Event::Tick(server));
            }
        }
    }

    fn arrive(&mut self, flow: usize) {
        let id = self.next_id;
        self.next_id += 1;
        let service_time = self.draw_service_time(flow);
        let server = self.least_loaded_server();
        self.outstanding[server] += 1;
        let Flow {
            rank, plan, name, ..
        } = &self.flows[flow];
        let measured = (self.measure_from..self.measure_to).contains(&self.now)
            && service_time <= UPLOAD_THRESHOLD;
        if measured {
            self.pending += 1;
            let result = &mut self.results[rank.index()];
            result.offered += 1;
            result.offered_by_plan[*plan] += 1;
        }
        let now = self.start + self.now;
        let call = Call {
            id,
            rank: *rank,
            plan: name,
            weight: PLANS[*plan].1,
            deadline: now + deadline(*rank, service_time),
            soft_deadline: None,
            late_start: None,
            inner: false,
        };
        let effects = self.servers[server].arrive(&call, now);
        self.calls.insert(
            id,
            InFlight {
                flow,
                server,
                arrived: self.now,
                service_time,
                measured,
            },
        );
        self.perform(&effects);
    }

    fn perform(&mut self, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::Start(id) => {
                    let call = &self.calls[id];
                    let (server, service_time) = (call.server, call.service_time);
                    self.schedule(service_time, Event::End { server, id: *id });
                }
                Effect::Refuse { id, .. } => {
                    if let Some(call) = self.calls.remove(id) {
                        self.outstanding[call.server] -= 1;
                        self.pending -= u64::from(call.measured);
                    }
                }
            }
        }
    }

    fn record_answer(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.outstanding[call.server] -= 1;
        if !call.measured {
            return;
        }
        self.pending -= 1;
        let Flow { rank, plan, .. } = &self.flows[call.flow];
        let result = &mut self.results[rank.index()];
        let latency = self.now.saturating_sub(call.arrived);
        result
            .latency
            .saturating_record(latency.as_micros().max(1) as u64);
        if latency <= deadline(*rank, call.service_time) {
            result.in_time += 1;
            result.in_time_by_plan[*plan] += 1;
        }
    }

    fn least_loaded_server(&mut self) -> usize {
        // Breaks ties at random; otherwise the first server would get all calls of an idle service.
        let first = self.rng.random_range(0..SERVERS);
        (0..SERVERS)
            .map(|offset| (first + offset) % SERVERS)
            .min_by_key(|server| self.outstanding[*server])
            .unwrap_or(first)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_seq += 1;
        self.events
            .push(Reverse((self.now + after, self.event_seq, event)));
    }

    fn schedule_arrival(&mut self, flow: usize) {
        let gap = -self.uniform().ln() / self.flows[flow].rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive(flow));
    }

    /// Draws a log-normal service time; that of an upload is exponential, with a mean of 1 minute.
    fn draw_service_time(&mut self, flow: usize) -> Duration {
        if self.flows[flow].upload_share > 0.0 && self.uniform() < self.flows[flow].upload_share {
            return Duration::from_secs_f64(-60.0 * self.uniform().ln());
        }
        let normal = (-2.0 * self.uniform().ln()).sqrt() * (TAU * self.uniform()).cos();
        let mu = MEAN_SERVICE_TIME_S.ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;
        Duration::from_secs_f64((mu + SERVICE_SIGMA * normal).exp())
    }

    /// Draws a uniform number from (0, 1]; 0 is excluded because callers take its logarithm.
    fn uniform(&mut self) -> f64 {
        1.0 - self.rng.random::<f64>()
    }
}

/// Returns the time from arrival to deadline, which does not limit the service time of uploads.
fn deadline(rank: Rank, service_time: Duration) -> Duration {
    let limit = Duration::from_millis(DEADLINES_MS[rank.index()]);
    if service_time > UPLOAD_THRESHOLD {
        limit + service_time
    } else {
        limit
    }
}
