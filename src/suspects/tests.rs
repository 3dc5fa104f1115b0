use {
    super::*,
    crate::seeded::seeded,
    proptest::{prelude::*, sample::Index},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
};

const DAEMONS: usize = 4;
/// Request 0 crashes each server that runs it; all others are bystanders.
const POISON: u8 = 0;
const REQUESTS: u8 = 6;

fn fingerprint(request: u8) -> Fingerprint {
    Fingerprint([request; 16])
}

/// The server beside daemon `at`.
fn server(at: usize) -> ServerName {
    ServerName::from(&*format!("v{at}"))
}

#[derive(Clone, Debug)]
enum Event {
    Submit(u8, usize),
    /// The poison request, if it runs, crashes its server.
    Crash,
    Finish(Index, bool),
    /// A report made now is put into the network.
    Send(usize),
    /// Some report of the past arrives, perhaps again.
    Deliver(Index, usize),
}

/// There is no state to choose events by: the oracle is a count of crashes.
#[derive(Clone, Debug)]
struct NoState;

impl ReferenceStateMachine for NoState {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        prop_oneof![
            3 => (0..DAEMONS).prop_map(|at| Event::Submit(POISON, at)),
            6 => (1..REQUESTS, 0..DAEMONS).prop_map(|(request, at)| Event::Submit(request, at)),
            2 => Just(Event::Crash),
            3 => (any::<Index>(), any::<bool>()).prop_map(|(i, ok)| Event::Finish(i, ok)),
            2 => (0..DAEMONS).prop_map(Event::Send),
            3 => (any::<Index>(), 0..DAEMONS).prop_map(|(i, at)| Event::Deliver(i, at)),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

struct Mesh {
    now: Instant,
    daemons: Vec<Suspects>,
    sent: Vec<Report>,
    bystanders: Vec<(usize, RunId)>,
    poison_at: Option<usize>,
    crashes: u32,
}

impl Mesh {
    fn submit(&mut self, request: u8, at: usize) {
        let daemon = &mut self.daemons[at];
        let verdict = daemon.check(fingerprint(request), &server(at));
        if !matches!(verdict, Verdict::Free | Verdict::RunAsOnlySuspect) {
            return;
        }
        if request != POISON {
            let run = daemon.started(fingerprint(request), &server(at));
            self.bystanders.push((at, run));
        } else if self.poison_at.is_none() {
            daemon.started(fingerprint(request), &server(at));
            self.poison_at = Some(at);
        }
    }

    fn crash(&mut self) {
        let Some(at) = self.poison_at.take() else {
            return;
        };
        self.crashes += 1;
        self.daemons[at].crashed(&server(at), self.now);
        // The failed answer is held until the report has arrived; only then comes a resend.
        let report = self.daemons[at].report(0, self.now);
        for daemon in &mut self.daemons {
            daemon.merge(&report, self.now);
        }
        self.sent.push(report);
    }
}

impl StateMachineTest for Mesh {
    type SystemUnderTest = Self;
    type Reference = NoState;

    fn init_test(_: &NoState) -> Self {
        Self {
            now: Instant::now(),
            daemons: (0..DAEMONS).map(|_| Suspects::default()).collect(),
            sent: Vec::new(),
            bystanders: Vec::new(),
            poison_at: None,
            crashes: 0,
        }
    }

    fn apply(mut state: Self, _: &NoState, transition: Event) -> Self {
        let now = state.now;
        match transition {
            Event::Submit(request, at) => state.submit(request, at),
            Event::Crash => state.crash(),
            Event::Finish(index, answered) if !state.bystanders.is_empty() => {
                let (at, run) = state
                    .bystanders
                    .swap_remove(index.index(state.bystanders.len()));
                let ending = [Ending::Aborted, Ending::Answered][usize::from(answered)];
                state.daemons[at].finished(run, ending, now);
            }
            Event::Send(at) => state.sent.push(state.daemons[at].report(0, now)),
            Event::Deliver(index, at) if !state.sent.is_empty() => {
                let report = &state.sent[index.index(state.sent.len())];
                state.daemons[at].merge(report, now);
            }
            Event::Finish(..) | Event::Deliver(..) => {}
        }
        state
    }

    fn check_invariants(state: &Self, _: &NoState) {
        assert!(state.crashes <= 2, "{} servers crashed", state.crashes);
        for (at, daemon) in state.daemons.iter().enumerate() {
            for request in POISON + 1..REQUESTS {
                let verdict = daemon.check(fingerprint(request), &server(at));
                assert_ne!(verdict, Verdict::Condemned, "bystander {request} at {at}");
            }
        }
    }

    fn teardown(mut state: Self) {
        for _ in 0..2 {
            let reports = state.daemons.iter().map(|d| d.report(0, state.now));
            let reports: Vec<_> = reports.collect();
            for daemon in &mut state.daemons {
                for report in reports.iter().rev().chain(&reports) {
                    daemon.merge(report, state.now);
                }
            }
        }
        for request in 0..REQUESTS {
            let standing = |d: &Suspects| d.standing(fingerprint(request));
            let first = standing(&state.daemons[0]);
            assert!(state.daemons.iter().all(|d| standing(d) == first));
        }
    }
}

prop_state_machine! {
    #![proptest_config(seeded(0x5eed_0006))]

    /// Guards against a request that crashes a third server, a bystander that is condemned, and
    /// daemons that disagree after all reports have arrived.
    #[test]
    fn a_poison_request_crashes_two_servers(sequential 1..150 => Mesh);
}

/// Reports of a daemon over a random history of one request, each with its time.
fn history(events: &[(u8, u8)], start: Instant) -> Vec<Report> {
    let mut daemon = Suspects::default();
    let mut now = start;
    let mut reports = Vec::new();
    for (request, event) in events {
        let at = server(0);
        now += Duration::from_millis(10);
        let run = daemon.started(fingerprint(*request), &at);
        match event {
            0 => drop(daemon.crashed(&at, now)),
            1 => _ = daemon.finished(run, Ending::Answered, now),
            _ => _ = daemon.finished(run, Ending::Aborted, now),
        }
        reports.push(daemon.report(0, now));
    }
    reports
}

proptest! {
    #![proptest_config(seeded(0x5eed_0007))]

    /// Guards against a state that depends on the order or the number of reports, such as a late
    /// report that revives a suspicion after the clearing.
    #[test]
    fn order_and_repetition_do_not_matter(
        first in prop::collection::vec((0u8..3, 0u8..3), 1..12),
        second in prop::collection::vec((0u8..3, 0u8..3), 1..12),
        shuffle in prop::collection::vec(any::<Index>(), 40),
    ) {
        let now = Instant::now();
        let reports = [history(&first, now), history(&second, now)].concat();
        let (mut ordered, mut shuffled) = (Suspects::default(), Suspects::default());
        for report in &reports {
            ordered.merge(report, now);
        }
        for report in shuffle.iter().map(|i| &reports[i.index(reports.len())]).chain(reports.iter().rev()) {
            shuffled.merge(report, now);
        }
        let records = |table: &Suspects| {
            let mut all: Vec<_> = table.records.iter().map(|(fp, kept)| (*fp, kept.record)).collect();
            all.sort_by_key(|(fp, _)| *fp);
            all
        };
        prop_assert_eq!(records(&ordered), records(&shuffled));
        for report in &reports {
            prop_assert!(!shuffled.merge(report, now), "a repeated report counted as new");
        }
    }
}

/// A daemon on which `request` has crashed the server alone, twice.
fn condemned(request: u8, now: Instant) -> Suspects {
    let mut daemon = Suspects::default();
    for _ in 0..2 {
        daemon.started(fingerprint(request), &server(0));
        daemon.crashed(&server(0), now);
    }
    daemon
}

/// Guards against a condemnation that ends early, never, or comes back with a late report.
#[test]
fn a_condemnation_lasts_ten_minutes() {
    let start = Instant::now();
    let mut daemon = condemned(1, start);
    let old = daemon.report(0, start);
    let mut other = Suspects::default();
    other.merge(&old, start + Duration::from_secs(1));
    // Repetitions must not move the deadline.
    other.merge(&old, start + Duration::from_mins(5));
    let verdict = |table: &mut Suspects, secs| {
        table.expire(start + Duration::from_secs(secs));
        table.check(fingerprint(1), &server(0))
    };
    for table in [&mut daemon, &mut other] {
        assert_eq!(verdict(table, 599), Verdict::Condemned);
        assert_eq!(verdict(table, 601), Verdict::Free);
        table.merge(&old, start + Duration::from_secs(602));
        assert_eq!(verdict(table, 602), Verdict::Free);
        verdict(table, 700);
        assert!(table.is_empty());
    }
}

/// Guards against records without bound, an eviction of the condemned before others, reports
/// beyond their size, and reports that never get to the rest.
#[test]
fn memory_and_reports_are_bounded() {
    let now = Instant::now();
    let mut daemon = condemned(255, now);
    let later = now + Duration::from_secs(1);
    for n in 0..=MAX_RECORDS as u32 {
        let mut bytes = [0; 16];
        bytes[..4].copy_from_slice(&n.to_le_bytes());
        daemon.started(Fingerprint(bytes), &server(1));
        if n % 100 == 0 {
            daemon.crashed(&server(1), later);
        }
    }
    daemon.crashed(&server(1), later);
    assert_eq!(daemon.len(), MAX_RECORDS);
    let verdict = daemon.check(fingerprint(255), &server(0));
    assert_eq!(verdict, Verdict::Condemned);
    let (mut since, mut other) = (0, Suspects::default());
    loop {
        let report = daemon.report(since, later);
        assert!(report.entries.len() <= MAX_REPORT);
        if report.entries.is_empty() {
            break;
        }
        assert!(report.up_to > since);
        since = report.up_to;
        other.merge(&report, later);
    }
    assert_eq!(other.len(), MAX_RECORDS);
}

/// Guards against two suspects at once on a server, and against a suspect that holds up others.
#[test]
fn a_suspect_runs_as_the_only_suspect() {
    let now = Instant::now();
    let mut daemon = Suspects::default();
    for request in [1, 2] {
        daemon.started(fingerprint(request), &server(0));
    }
    daemon.crashed(&server(0), now);
    let run = daemon.started(fingerprint(1), &server(0));
    let check = |d: &Suspects, request, at| d.check(fingerprint(request), &server(at));
    assert_eq!(check(&daemon, 2, 0), Verdict::Busy);
    assert_eq!(check(&daemon, 1, 1), Verdict::Busy, "a copy elsewhere");
    assert_eq!(check(&daemon, 2, 1), Verdict::RunAsOnlySuspect);
    assert_eq!(check(&daemon, 3, 0), Verdict::Free);
    assert!(daemon.finished(run, Ending::Answered, now));
    assert_eq!(check(&daemon, 1, 0), Verdict::Free);
    assert_eq!(check(&daemon, 2, 0), Verdict::RunAsOnlySuspect);
}

/// Guards against a bystander that is condemned for a request which became a suspect beside it.
#[test]
fn one_of_two_suspects_is_not_condemned() {
    let now = Instant::now();
    let crash = |requests: &[u8]| {
        let mut daemon = Suspects::default();
        for request in requests {
            daemon.started(fingerprint(*request), &server(1));
        }
        daemon.crashed(&server(1), now);
        daemon.report(0, now)
    };
    let mut daemon = Suspects::default();
    daemon.started(fingerprint(2), &server(0));
    daemon.merge(&crash(&[1]), now);
    daemon.started(fingerprint(1), &server(0));
    daemon.merge(&crash(&[2]), now);
    let crashes = daemon.crashed(&server(0), now);
    assert!(crashes.iter().all(|crash| !crash.is_condemned));
}

/// Guards against a bystander that is condemned after it was cleared while it ran alone, when the
/// true suspect starts beside it.
#[test]
fn a_cleared_run_is_not_condemned() {
    let now = Instant::now();
    let mut daemons = [(); 2].map(|()| Suspects::default());
    let copy = daemons[1].started(fingerprint(1), &server(1));
    for request in [1, 2] {
        daemons[0].started(fingerprint(request), &server(0));
    }
    daemons[0].crashed(&server(0), now);
    let crash = daemons[0].report(0, now);
    daemons[1].merge(&crash, now);
    daemons[0].started(fingerprint(1), &server(0));
    daemons[1].finished(copy, Ending::Answered, now);
    let clearing = daemons[1].report(0, now);
    daemons[0].merge(&clearing, now);
    daemons[0].started(fingerprint(2), &server(0));
    let crashes = daemons[0].crashed(&server(0), now);
    let condemned = crashes.iter().filter(|crash| crash.is_condemned);
    let condemned: Vec<_> = condemned.map(|crash| crash.fingerprint).collect();
    assert_eq!(condemned, [fingerprint(2)]);
}
