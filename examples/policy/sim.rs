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
/// Mean service time in seconds.
const MEAN_SERVICE_S: f64 = 0.020;
/// Spread of the logarithm of the service time: one call in a hundred takes over 67 ms.
const SERVICE_SIGMA: f64 = 0.6;
/// Calls per second that all slots together can serve.
pub const CAPACITY: f64 = SERVERS as f64 * SLOTS as f64 / MEAN_SERVICE_S;
/// Time from arrival to the latest useful answer, by rank.
const DEADLINES_MS: [u64; Rank::COUNT] = [200, 500, 2_000, 10_000];
/// Part of the usual load that each rank has.
const MIX: [f64; Rank::COUNT] = [0.10, 0.35, 0.30, 0.25];
/// Plans of each rank with their weights; the usual load is in proportion to the weights.
pub const PLANS: [(&str, u32); 3] = [("a", 60), ("b", 30), ("c", 10)];
/// The plan that floods.
pub const FLOODER: usize = 1;
/// A flood in multiples of the capacity.
const FLOOD: f64 = 10.0;
/// Interval of the timer of each server.
const TICK: Duration = Duration::from_millis(10);
/// Time after which no call that is not an upload can still be answered in time.
const LAST_ANSWER: Duration = Duration::from_secs(10);
/// Service time from which a call is an upload.
const UPLOAD: Duration = Duration::from_secs(1);
/// Time in which queues and estimates settle.
const WARM_UP: Duration = Duration::from_secs(3);
/// Largest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Load on the service.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name in the table.
    pub name: &'static str,
    /// Usual load as a part of the capacity.
    pub load: f64,
    /// Rank with a flood of ten times the capacity.
    pub flood: Option<Rank>,
    /// Part of the low calls of one plan that are uploads of a minute on average.
    pub uploads: f64,
    /// Time before the measurement.
    pub warm_up: Duration,
}

/// The scenarios of the table.
pub const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "idle",
        load: 0.3,
        flood: None,
        uploads: 0.0,
        warm_up: WARM_UP,
    },
    Scenario {
        name: "half",
        load: 0.5,
        flood: None,
        uploads: 0.0,
        warm_up: WARM_UP,
    },
    Scenario {
        name: "flood low",
        load: 0.5,
        flood: Some(Rank::Low),
        uploads: 0.0,
        warm_up: WARM_UP,
    },
    Scenario {
        name: "flood urgent",
        load: 0.5,
        flood: Some(Rank::Urgent),
        uploads: 0.0,
        warm_up: WARM_UP,
    },
    Scenario {
        name: "uploads",
        load: 0.5,
        flood: None,
        uploads: 0.01,
        // Until uploads hold all the slots that they get.
        warm_up: Duration::from_mins(2),
    },
];

/// What was measured for one rank.
#[derive(Debug)]
pub struct RankResult {
    /// Calls that arrived.
    pub offered: u64,
    /// Calls answered by their deadline.
    pub in_time: u64,
    /// Calls answered by their deadline, by plan.
    pub plans: [u64; PLANS.len()],
    /// Calls that arrived, by plan.
    pub plans_offered: [u64; PLANS.len()],
    /// Times from arrival to answer, in microseconds.
    pub latency: Histogram<u64>,
}

impl RankResult {
    fn new() -> Self {
        Self {
            offered: 0,
            in_time: 0,
            plans: [0; PLANS.len()],
            plans_offered: [0; PLANS.len()],
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
        }
    }

    /// Part of the calls that were answered by their deadline.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    /// Latency at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Calls that arrive independently of each other.
#[derive(Debug)]
struct Flow {
    rank: Rank,
    plan: usize,
    name: PlanName,
    /// Calls per second.
    rate: f64,
    uploads: f64,
}

#[derive(Debug)]
struct InFlight {
    flow: usize,
    server: usize,
    arrived: Duration,
    service: Duration,
    measured: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End { server: usize, id: u64 },
    Tick(usize),
}

/// One run of a scenario under a policy.
#[derive(Debug)]
struct Sim {
    start: Instant,
    now: Duration,
    measure_from: Duration,
    measure_to: Duration,
    /// Measured calls without an answer or a refusal.
    open: u64,
    rng: StdRng,
    flows: Vec<Flow>,
    servers: Vec<Server>,
    outstanding: [u32; SERVERS],
    calls: HashMap<u64, InFlight>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_event: u64,
    next_id: u64,
    results: Vec<RankResult>,
}

/// Runs a scenario and measures the calls that arrive after the warm-up, for `time`, but
/// for uploads. The load goes on until the last of them is answered, refused or too late.
pub fn run(policy: Policy, scenario: &Scenario, seed: u64, time: Duration) -> Vec<RankResult> {
    let flows = flows(scenario);
    let mut sim = Sim {
        start: Instant::now(),
        now: Duration::ZERO,
        measure_from: scenario.warm_up,
        measure_to: scenario.warm_up + time,
        open: 0,
        rng: StdRng::seed_from_u64(seed),
        flows,
        servers: (0..SERVERS).map(|_| Server::new(policy, SLOTS)).collect(),
        outstanding: [0; SERVERS],
        calls: HashMap::new(),
        events: BinaryHeap::new(),
        next_event: 0,
        next_id: 0,
        results: Rank::iter().map(|_| RankResult::new()).collect(),
    };
    for flow in 0..sim.flows.len() {
        sim.schedule_arrival(flow);
    }
    for server in 0..SERVERS {
        sim.schedule(TICK, Event::Tick(server));
    }
    let give_up = sim.measure_to + LAST_ANSWER;
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        sim.now = at;
        if at >= sim.measure_to && (sim.open == 0 || at >= give_up) {
            break;
        }
        sim.handle(event);
    }
    sim.results
}

fn flows(scenario: &Scenario) -> Vec<Flow> {
    let total: u32 = PLANS.iter().map(|(_, weight)| weight).sum();
    let mut flows = Vec::new();
    for rank in Rank::iter() {
        for (plan, (name, weight)) in PLANS.iter().enumerate() {
            let usual = CAPACITY * scenario.load * MIX[rank.index()];
            let mut rate = usual * f64::from(*weight) / f64::from(total);
            if scenario.flood == Some(rank) && plan == FLOODER {
                rate += CAPACITY * FLOOD;
            }
            let uploads = if rank == Rank::Low && plan == FLOODER {
                scenario.uploads
            } else {
                0.0
            };
            flows.push(Flow {
                rank,
                plan,
                name: PlanName::from(*name),
                rate,
                uploads,
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
                self.answered(id);
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
        let service = self.draw_service(flow);
        let server = self.least_outstanding();
        self.outstanding[server] += 1;
        let Flow {
            rank, plan, name, ..
        } = &self.flows[flow];
        let measured =
            (self.measure_from..self.measure_to).contains(&self.now) && service <= UPLOAD;
        if measured {
            self.open += 1;
            let result = &mut self.results[rank.index()];
            result.offered += 1;
            result.plans_offered[*plan] += 1;
        }
        let now = self.start + self.now;
        let call = Call {
            id,
            rank: *rank,
            plan: name,
            weight: PLANS[*plan].1,
            deadline: now + deadline(*rank, service),
            soft_deadline: None,
        };
        let effects = self.servers[server].arrive(&call, now);
        self.calls.insert(
            id,
            InFlight {
                flow,
                server,
                arrived: self.now,
                service,
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
                    let (server, service) = (call.server, call.service);
                    self.schedule(service, Event::End { server, id: *id });
                }
                Effect::Refuse { id, .. } => {
                    if let Some(call) = self.calls.remove(id) {
                        self.outstanding[call.server] -= 1;
                        self.open -= u64::from(call.measured);
                    }
                }
            }
        }
    }

    fn answered(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.outstanding[call.server] -= 1;
        if !call.measured {
            return;
        }
        self.open -= 1;
        let Flow { rank, plan, .. } = &self.flows[call.flow];
        let result = &mut self.results[rank.index()];
        let latency = self.now.saturating_sub(call.arrived);
        result
            .latency
            .saturating_record(latency.as_micros().max(1) as u64);
        if latency <= deadline(*rank, call.service) {
            result.in_time += 1;
            result.plans[*plan] += 1;
        }
    }

    fn least_outstanding(&mut self) -> usize {
        // Ties go to a random server, or the first would get all calls of an idle service.
        let first = self.rng.random_range(0..SERVERS);
        (0..SERVERS)
            .map(|at| (first + at) % SERVERS)
            .min_by_key(|at| self.outstanding[*at])
            .unwrap_or(first)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .push(Reverse((self.now + after, self.next_event, event)));
    }

    fn schedule_arrival(&mut self, flow: usize) {
        let gap = -self.uniform().ln() / self.flows[flow].rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive(flow));
    }

    /// Log-normal service time; uploads are exponential with a mean of a minute.
    fn draw_service(&mut self, flow: usize) -> Duration {
        if self.flows[flow].uploads > 0.0 && self.uniform() < self.flows[flow].uploads {
            return Duration::from_secs_f64(-60.0 * self.uniform().ln());
        }
        let normal = (-2.0 * self.uniform().ln()).sqrt() * (TAU * self.uniform()).cos();
        let mu = MEAN_SERVICE_S.ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;
        Duration::from_secs_f64((mu + SERVICE_SIGMA * normal).exp())
    }

    /// Uniform in (0, 1].
    fn uniform(&mut self) -> f64 {
        1.0 - self.rng.random::<f64>()
    }
}

/// Uploads may take as long as they need once they have started.
fn deadline(rank: Rank, service: Duration) -> Duration {
    let limit = Duration::from_millis(DEADLINES_MS[rank.index()]);
    if service > UPLOAD {
        limit + service
    } else {
        limit
    }
}
