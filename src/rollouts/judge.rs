//! Sequential test of a new version against the one in use, on the same routes at the same time.
//!
//! For each route, two hypotheses are compared by the ratio of their likelihoods, as in Wald's
//! sequential probability ratio test (1945): the new version is as good as the other one, or it is
//! worse by a margin that callers notice. It is applied to the share of failures, and to the share of
//! answers above a time. The shares to expect follow from the counts of the other version, so that
//! faults of machines, links and callees, which both versions meet, condemn neither.
//!
//! A version whose answers take twice as long counts as good: its servers may be on slow machines. While
//! all of them have just started, four times as long counts as good. Failures of a single server among
//! several don't condemn the version. Error probabilities of one test: [`FALSE_ALARM`] for a good version, [`MISSED_FAULT`] for one
//! at the margin.

use super::{
    ServiceReport,
    evidence::{Counts, TIME_CLASSES},
};

/// Probability with which a test condemns a good version.
pub const FALSE_ALARM: f64 = 0.000_5;
/// Probability with which a test clears a version at the margin.
pub const MISSED_FAULT: f64 = 0.01;
/// Fewest responses of the other version from which its shares are estimated.
const MIN_OLD: u32 = 20;
/// Fewest responses of a new version without which it is not exposed further.
const MIN_NEW: u32 = 10;
/// Smallest share to expect, since an estimate from few counts may be 0.
const MIN_SHARE: f64 = 0.01;
/// Largest share to expect of a good version, below the one of a bad version.
const MAX_GOOD_SHARE: f64 = 0.85;
/// Margin in the share of failures or slow answers.
const MARGIN: f64 = 0.1;
/// Fewest failures at other servers than the one with most of them, without which that server is the
/// cause: a machine that was lost takes its calls in flight with it.
const MIN_SPREAD: u32 = 3;
/// Share of slow answers of the other version from which a time is in its tail.
const TAIL_SHARE: f64 = 0.02;
/// Routes with a smaller share of the calls need not be judged on their own.
const MIN_ROUTE_SHARE: f64 = 0.03;

/// Classes of time by which a version may be slower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Classes by which the times of a good version may be longer.
    good: usize,
    /// Classes by which the times of a bad version are longer.
    bad: usize,
}

/// Good at twice the time, bad at 2.8 times.
pub const WARM: Tolerance = Tolerance { good: 2, bad: 3 };
/// Good at 4 times the time, bad at 5.7 times: all new servers are cold, and may be on slow machines.
pub const COLD: Tolerance = Tolerance { good: 4, bad: 5 };

/// Result of the tests so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The new version is as good as the other one, on each route with a part of the calls.
    Good,
    /// More responses are needed.
    Open,
    /// It fails more often.
    Failing,
    /// It answers later.
    Slow,
}

impl Verdict {
    /// Returns whether the new version is condemned.
    pub const fn is_bad(self) -> bool {
        matches!(self, Self::Failing | Self::Slow)
    }
}

/// Log likelihood ratio of `hits` in `total` under the shares `bad` and `good`.
fn log_ratio(hits: u32, total: u32, good: f64, bad: f64) -> f64 {
    let others = f64::from(total.saturating_sub(hits));
    f64::from(hits) * (bad / good).ln() + others * ((1.0 - bad) / (1.0 - good)).ln()
}

/// Compares a share; `good` is the largest one of a good version.
fn compare(hits: u32, total: u32, good: f64, bad: f64) -> Option<bool> {
    let good = good.clamp(MIN_SHARE, MAX_GOOD_SHARE);
    let bad = bad.clamp(good + MARGIN, 0.95);
    let ratio = log_ratio(hits, total, good, bad);
    if ratio >= ((1.0 - MISSED_FAULT) / FALSE_ALARM).ln() {
        return Some(false);
    }
    (ratio <= (MISSED_FAULT / (1.0 - FALSE_ALARM)).ln()).then_some(true)
}

/// Number of answers in `class` and above.
fn above(counts: &Counts, class: usize) -> u32 {
    let later = counts.times.iter().skip(class);
    later.fold(0, |sum, n| sum.saturating_add(*n))
}

/// Share of the answers of the other version that would be in `class` or above if they took longer by
/// `shift` classes.
fn share_above(old: &Counts, class: usize, shift: usize) -> f64 {
    f64::from(above(old, class.saturating_sub(shift))) / f64::from(old.answered().max(1))
}

fn judge_times(old: &Counts, new: &Counts, tolerance: Tolerance) -> Option<bool> {
    let Tolerance { good, bad } = tolerance;
    let classes = || 1..TIME_CLASSES;
    let gain = |class: &usize| share_above(old, *class, bad) - share_above(old, *class, good);
    let best = classes().max_by(|a, b| gain(a).total_cmp(&gain(b)))?;
    let tail = classes().find(|class| share_above(old, *class, good) <= TAIL_SHARE);
    let total = new.answered();
    let mut cleared = true;
    for class in [Some(best), tail].into_iter().flatten() {
        let shares = (share_above(old, class, good), share_above(old, class, bad));
        match compare(above(new, class), total, shares.0, shares.1) {
            Some(false) => return Some(false),
            Some(true) => {}
            None => cleared = false,
        }
    }
    cleared.then_some(true)
}

/// Judges the responses of one route.
///
/// ```
/// use {anvilbeam::rollouts::{Counts, Verdict, WARM, judge_counts}, std::time::Duration};
/// let (mut old, mut new) = (Counts::default(), Counts::default());
/// (0..100).for_each(|_| old.record(Some(Duration::from_millis(100))));
/// (0..30).for_each(|_| new.record(None));
/// assert_eq!(judge_counts(&old, &new, WARM), Verdict::Failing);
/// ```
pub fn judge_counts(old: &Counts, new: &Counts, tolerance: Tolerance) -> Verdict {
    if old.total() < MIN_OLD {
        return Verdict::Open;
    }
    let good = f64::from(old.failed) / f64::from(old.total());
    let failures = compare(new.failed, new.total(), good, good + MARGIN);
    if failures == Some(false) {
        return Verdict::Failing;
    }
    let times = if old.answered() < MIN_OLD {
        None
    } else {
        judge_times(old, new, tolerance)
    };
    match (failures, times) {
        (_, Some(false)) => Verdict::Slow,
        (Some(true), Some(true)) => Verdict::Good,
        _ => Verdict::Open,
    }
}

/// Judges all routes of a service for which `include` holds. Bad on one route is bad; good means good
/// on each route with a part of the calls, and on all of them together.
pub fn judge(
    report: &ServiceReport,
    tolerance: Tolerance,
    include: impl Fn(bool) -> bool,
) -> Verdict {
    let spread = is_spread(report);
    let routes = report.routes.iter();
    let routes: Vec<_> = routes.filter(|route| include(route.at_most_once)).collect();
    let (mut old, mut new) = (Counts::default(), Counts::default());
    for route in &routes {
        old.add(&route.old);
        new.add(&route.new);
    }
    let mut open = false;
    for route in &routes {
        let verdict = judge_counts(&route.old, &route.new, tolerance);
        if verdict == Verdict::Slow || verdict == Verdict::Failing && spread {
            return verdict;
        }
        // One server fails: what the others do decides.
        open |= verdict == Verdict::Failing && !rest_is_good(report, &old);
        let share = f64::from(route.old.total()) / f64::from(old.total().max(1));
        open |= verdict == Verdict::Open && share >= MIN_ROUTE_SHARE;
    }
    // Of routes with different times, the sum only shows the failures.
    let good = f64::from(old.failed) / f64::from(old.total().max(1));
    if spread
        && old.total() >= MIN_OLD
        && compare(new.failed, new.total(), good, good + MARGIN) == Some(false)
    {
        return Verdict::Failing;
    }
    if open || routes.is_empty() || old.total() < MIN_OLD {
        Verdict::Open
    } else {
        Verdict::Good
    }
}

/// Returns the failures and responses of all servers of the new version but the one that fails most.
fn rest_of_servers(report: &ServiceReport) -> (u32, u32) {
    let servers = report.servers.iter();
    let worst = servers
        .clone()
        .map(|server| server.failed)
        .max()
        .unwrap_or(0);
    let mut skipped = false;
    let rest = servers.filter(|server| {
        let skip = !skipped && server.failed == worst;
        skipped |= skip;
        !skip
    });
    rest.fold((0, 0), |(failed, total), server| {
        (failed + server.failed, total + server.total)
    })
}

/// Returns whether failures come from more than one server, or there is only one.
fn is_spread(report: &ServiceReport) -> bool {
    let (failed, total) = rest_of_servers(report);
    total == 0 || failed >= MIN_SPREAD
}

fn rest_is_good(report: &ServiceReport, old: &Counts) -> bool {
    let (failed, total) = rest_of_servers(report);
    let good = f64::from(old.failed) / f64::from(old.total().max(1));
    compare(failed, total, good, good + MARGIN) == Some(true)
}

/// Returns whether the new version is more likely good than bad by its failures, without the server that
/// fails most: for a service with too few calls for the test.
pub fn is_leaning(report: &ServiceReport) -> bool {
    let mut old = Counts::default();
    report.routes.iter().for_each(|route| old.add(&route.old));
    let (mut failed, mut total) = rest_of_servers(report);
    if total == 0 {
        for route in &report.routes {
            failed += route.new.failed;
            total += route.new.total();
        }
    }
    if total < MIN_NEW {
        return false;
    }
    let good = f64::from(old.failed) / f64::from(old.total().max(1));
    let good = good.clamp(MIN_SHARE, MAX_GOOD_SHARE);
    log_ratio(failed, total, good, good + MARGIN) < 0.0
}

/// Returns what was counted since `before`, which is an earlier report on the same rollout.
pub fn since(report: &ServiceReport, before: &ServiceReport) -> ServiceReport {
    let mut recent = report.clone();
    for route in &mut recent.routes {
        let earlier = before.routes.iter().find(|r| r.route == route.route);
        if let Some(earlier) = earlier {
            let old = route.old.since(&earlier.old);
            // Towards the end, few calls use the other version: all of its answers are compared then.
            if old.total() >= MIN_OLD {
                route.old = old;
            }
            route.new = route.new.since(&earlier.new);
        }
    }
    for server in &mut recent.servers {
        let earlier = before.servers.iter().find(|s| s.server == server.server);
        if let Some(earlier) = earlier {
            server.failed = server.failed.saturating_sub(earlier.failed);
            server.total = server.total.saturating_sub(earlier.total);
        }
    }
    recent
}
