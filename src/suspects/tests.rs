use {
    super::*,
    crate::seeded::seeded,
    proptest::{prelude::*, sample::Index},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
};

const DAEMONS: usize = 4;
/// Request that crashes each server that runs it; all other requests are harmless.
const POISON: u8 = 0;
const REQUESTS: u8 = 6;

fn fingerprint(request: u8) -> Fingerprint {
    Fingerprint([request; 16])
}

/// Name of the server that daemon `at` owns.
fn server(at: usize) -> ServerName {
    ServerName::from(&*format!("v{at}"))
}

#[derive(Clone, Debug)]
enum Event {
    Submit(u8, usize),
    /// Crashes the server on which the poison request runs, if it runs.
    Crash,
    Finish(Index, bool),
    /// Puts a report of the daemon into the network.
    Send(usize),
    /// Delivers an earlier report, possibly a second time.
    Deliver(Index, usize),
}

/// Events do not depend on a model state: the invariant is the number of crashes.
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

struct Simulation {
    now: Instant,
    daemons: Vec<Suspects>,
    sent: Vec<Report>,
    harmless_runs: Vec<(usize, RunId)>,
    poison_daemon: Option<usize>,
    crashes: u32,
}

impl Simulation {
    fn submit(&mut self, request: u8, at: usize) {
        let daemon = &mut self.daemons[at];
        let verdict = daemon.check(fingerprint(request), &server(at));
        if !matches!(verdict, Verdict::Free | Verdict::RunAsOnlySuspect) {
            return;
        }
        if request != POISON {
            let run = daemon.start_run(fingerprint(request), &server(at));
            self.harmless_runs.push((at, run));
        } else if self.poison_daemon.is_none() {
            daemon.start_run(fingerprint(request), &server(at));
            self.poison_daemon = Some(at);
        }
    }

    fn crash(&mut self) {
        let Some(at) = self.poison_daemon.take() else {
            return;
        };
        self.crashes += 1;
        self.daemons[at].record_crash(&server(at), self.now);
        // The caller gets the failure only after the report is delivered, so no retry precedes it.
        let report = self.daemons[at].report(0, self.now);
        for daemon in &mut self.daemons {
            daemon.merge(&report, self.now);
        }
        self.sent.push(report);
    }
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Self;
    type Reference = NoState;

    fn init_test(_: &NoState) -> Self {
        Self {
            now: Instant::now(),
            daemons: (0..DAEMONS).map(|_| Suspects::default()).collect(),
            sent: Vec::new(),
            harmless_runs: Vec::new(),
            poison_daemon: None,
            crashes: 0,
        }
    }

    fn apply(mut state: Self, _: &NoState, transition: Event) -> Self {
        let now = state.now;
        match transition {
            Event::Submit(request, at) => state.submit(request, at),
            Event::Crash => state.crash(),
            Event::Finish(index, answered) if !state.harmless_runs.is_empty() => {
                let (at, run) = state
                    .harmless_runs
                    .swap_remove(index.index(state.harmless_runs.len()));
                let outcome = [RunOutcome::Aborted, RunOutcome::Answered][usize::from(answered)];
                state.daemons[at].end_run(run, outcome, now);
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
                assert_ne!(
                    verdict,
                    Verdict::Condemned,
                    "harmless request {request} condemned at daemon {at}"
                );
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
            let status = |d: &Suspects| d.status(fingerprint(request));
            let first = status(&state.daemons[0]);
            assert!(state.daemons.iter().all(|d| status(d) == first));
        }
    }
}

prop_state_machine! {
    #![proptest_config(seeded(0x5eed_0006))]

    /// Guards against a request that crashes a third server, a harmless request that is condemned,
    /// and daemons that disagree after all reports have been delivered.
    #[test]
    fn a_poison_request_crashes_two_servers(sequential 1..150 => Simulation);
}

/// Returns the report of one daemon after each of `events`, a list of (request, event) pairs.
fn history(events: &[(u8, u8)], start: Instant) -> Vec<Report> {
    let mut daemon = Suspects::default();
    let mut now = start;
    let mut reports = Vec::new();
    for (request, event) in events {
        let server_name = server(0);
        now += Duration::from_millis(10);
        let run = daemon.start_run(fingerprint(*request), &server_name);
        match event {
            0 => drop(daemon.record_crash(&server_name, now)),
            1 => _ = daemon.end_run(run, RunOutcome::Answered, now),
            _ => _ = daemon.end_run(run, RunOutcome::Aborted, now),
        }
        reports.push(daemon.report(0, now));
    }
    reports
}

proptest! {
    #![proptest_config(seeded(0x5eed_0007))]

    /// Guards against a merge that depends on the order or repetition of reports, such as a late
    /// report that revives a cleared suspicion.
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
            let mut all: Vec<_> = table.records.iter().map(|(fp, stored)| (*fp, stored.record)).collect();
            all.sort_by_key(|(fp, _)| *fp);
            all
        };
        prop_assert_eq!(records(&ordered), records(&shuffled));
        for report in &reports {
            prop_assert!(!shuffled.merge(report, now), "a repeated report changed the records");
        }
    }
}

/// Returns a daemon whose server `request` has crashed twice as the only request in flight.
fn condemned(request: u8, now: Instant) -> Suspects {
    let mut daemon = Suspects::default();
    for _ in 0..2 {
        daemon.start_run(fingerprint(request), &server(0));
        daemon.record_crash(&server(0), now);
    }
    daemon
}

/// Guards against a condemnation that ends too early or never, or that a late report revives.
#[test]
fn a_condemnation_lasts_ten_minutes() {
    let start = Instant::now();
    let mut daemon = condemned(1, start);
    let old = daemon.report(0, start);
    let mut other = Suspects::default();
    other.merge(&old, start + Duration::from_secs(1));
    // A repeated report must not extend the expiry.
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

/// Guards against unbounded records, eviction of condemned records before others, oversized
/// reports, and records that no report contains because an earlier one was full.
#[test]
fn memory_and_reports_are_bounded() {
    let now = Instant::now();
    let mut daemon = condemned(255, now);
    let later = now + Duration::from_secs(1);
    for n in 0..=MAX_RECORDS as u32 {
        let mut bytes = [0; 16];
        bytes[..4].copy_from_slice(&n.to_le_bytes());
        daemon.start_run(Fingerprint(bytes), &server(1));
        if n % 100 == 0 {
            daemon.record_crash(&server(1), later);
        }
    }
    daemon.record_crash(&server(1), later);
    assert_eq!(daemon.len(), MAX_RECORDS);
    let verdict = daemon.check(fingerprint(255), &server(0));
    assert_eq!(verdict, Verdict::Condemned);
    let (mut since, mut other) = (0, Suspects::default());
    loop {
        let report = daemon.report(since, later);
        assert!(report.entries.len() <= MAX_REPORT_ENTRIES);
        if report.entries.is_empty() {
            break;
        }
        assert!(report.up_to > since);
        since = report.up_to;
        other.merge(&report, later);
    }
    assert_eq!(other.len(), MAX_RECORDS);
}

/// Guards against two suspects running on one server, and against a suspect that blocks others.
#[test]
fn a_suspect_runs_as_the_only_suspect() {
    let now = Instant::now();
    let mut daemon = Suspects::default();
    for request in [1, 2] {
        daemon.start_run(fingerprint(request), &server(0));
    }
    daemon.record_crash(&server(0), now);
    let run = daemon.start_run(fingerprint(1), &server(0));
    let check = |d: &Suspects, request, at| d.check(fingerprint(request), &server(at));
    assert_eq!(check(&daemon, 2, 0), Verdict::Busy);
    assert_eq!(
        check(&daemon, 1, 1),
        Verdict::Busy,
        "request 1 already runs on another server"
    );
    assert_eq!(check(&daemon, 2, 1), Verdict::RunAsOnlySuspect);
    assert_eq!(check(&daemon, 3, 0), Verdict::Free);
    assert!(daemon.end_run(run, RunOutcome::Answered, now));
    assert_eq!(check(&daemon, 1, 0), Verdict::Free);
    assert_eq!(check(&daemon, 2, 0), Verdict::RunAsOnlySuspect);
}

/// Guards against condemning a harmless suspect when a second running request became a suspect
/// before the crash.
#[test]
fn one_of_two_suspects_is_not_condemned() {
    let now = Instant::now();
    let crash = |requests: &[u8]| {
        let mut daemon = Suspects::default();
        for request in requests {
            daemon.start_run(fingerprint(*request), &server(1));
        }
        daemon.record_crash(&server(1), now);
        daemon.report(0, now)
    };
    let mut daemon = Suspects::default();
    daemon.start_run(fingerprint(2), &server(0));
    daemon.merge(&crash(&[1]), now);
    daemon.start_run(fingerprint(1), &server(0));
    daemon.merge(&crash(&[2]), now);
    let crashes = daemon.record_crash(&server(0), now);
    assert!(crashes.iter().all(|crash| !crash.is_condemned));
}

/// Guards against condemning a harmless request that was cleared while it ran as the only suspect,
/// when the real cause of the crash starts beside it.
#[test]
fn a_cleared_run_is_not_condemned() {
    let now = Instant::now();
    let mut daemons = [(); 2].map(|()| Suspects::default());
    let copy = daemons[1].start_run(fingerprint(1), &server(1));
    for request in [1, 2] {
        daemons[0].start_run(fingerprint(request), &server(0));
    }
    daemons[0].record_crash(&server(0), now);
    let crash = daemons[0].report(0, now);
    daemons[1].merge(&crash, now);
    daemons[0].start_run(fingerprint(1), &server(0));
    daemons[1].end_run(copy, RunOutcome::Answered, now);
    let clearing = daemons[1].report(0, now);
    daemons[0].merge(&clearing, now);
    daemons[0].start_run(fingerprint(2), &server(0));
    let crashes = daemons[0].record_crash(&server(0), now);
    let condemned = crashes.iter().filter(|crash| crash.is_condemned);
    let condemned: Vec<_> = condemned.map(|crash| crash.fingerprint).collect();
    assert_eq!(condemned, [fingerprint(2)]);
}
