//! Restart of half the daemons at the same time.

use {
    super::{
        fleet::Fleet,
        steady::{FleetCounters, Rates},
    },
    anvilbeam::{body::BoxError, control::ControlTree},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Interval over which attach requests at control are counted.
const WINDOW: Duration = Duration::from_millis(100);
/// Maximum wait until all daemons have the last version in force.
const RESTART_TIMEOUT: Duration = Duration::from_secs(20);

/// Restarts half the daemons without a graceful shutdown, makes an edit at the same time, and
/// prints the time to recover and the load at control.
pub async fn measure(fleet: &mut Fleet, steady: &Rates) -> Result<(), BoxError> {
    let attaches = |fleet: &Fleet| {
        fleet
            .control
            .inner
            .tree()
            .map_or(0, ControlTree::attach_requests)
    };
    let (attaches_before, before) = (attaches(fleet), FleetCounters::of(fleet));
    let start = Instant::now();
    let count = fleet.members.len();
    // Blocks of four: the restart affects relays of all levels and leaves of all data centres.
    let is_stopped = |n: usize| (n / 4).is_multiple_of(2);
    fleet.restart(is_stopped)?;
    let restarted = start.elapsed();
    fleet.edit().await?;
    let mut all_current_at = None;
    let mut peak = 0;
    let mut last = attaches(fleet);
    // Continues for 2 s after all are current, since orphans of the stopped relays retry later.
    while start.elapsed() < RESTART_TIMEOUT {
        sleep(WINDOW).await;
        let now = attaches(fleet);
        peak = peak.max(now - last);
        last = now;
        let target = Some(fleet.version());
        let all_current = || {
            fleet
                .members
                .iter()
                .all(|m| m.node.inner.in_force() >= target)
        };
        if all_current_at.is_none() && all_current() {
            all_current_at = Some(start.elapsed());
        }
        if all_current_at.is_some_and(|at| start.elapsed() > at + Duration::from_secs(2)) {
            break;
        }
    }
    let rates = FleetCounters::of(fleet).rates(&before);
    let attach_requests = last - attaches_before;
    println!(
        "restart of {} of {count} daemons within {:.2} s, with one edit:",
        (0..count).filter(|n| is_stopped(*n)).count(),
        restarted.as_secs_f64()
    );
    match all_current_at {
        Some(at) => println!(
            "  all current {:.2} s after the first daemon was stopped",
            at.as_secs_f64()
        ),
        None => println!("  not all current after {RESTART_TIMEOUT:?}"),
    }
    println!(
        "  {attach_requests} attach requests, at most {peak} in {WINDOW:?}; control receives {:.0} B/s, sends {:.0} B/s, {:.2}% of a processor (steady {:.0}, {:.0}, {:.2}%)",
        rates.control[0],
        rates.control[1],
        rates.control_cpu * 100.0,
        steady.control[0],
        steady.control[1],
        steady.control_cpu * 100.0,
    );
    Ok(())
}
