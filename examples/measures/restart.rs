//! Restart of half the daemons at once.

use {
    super::{
        fleet::Fleet,
        steady::{Mark, Rates},
    },
    anvilbeam::{body::BoxError, control::ControlTree},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Interval at which the load at control is read.
const WINDOW: Duration = Duration::from_millis(100);
/// Longest wait until all daemons are current.
const LONGEST: Duration = Duration::from_secs(20);

/// Ends every second daemon without notice, starts them again, and edits at the same time.
pub async fn measure(fleet: &mut Fleet, steady: &Rates) -> Result<(), BoxError> {
    let attaches = |fleet: &Fleet| {
        fleet
            .control
            .inner
            .tree()
            .map_or(0, ControlTree::attach_requests)
    };
    let (asked, before) = (attaches(fleet), Mark::of(fleet));
    let start = Instant::now();
    let count = fleet.members.len();
    // Runs of four, so that the restart takes relays of all levels and leaves of all data centres.
    let ended = |n: usize| (n / 4).is_multiple_of(2);
    fleet.restart(ended)?;
    let restarted = start.elapsed();
    fleet.edit().await?;
    let mut current = None;
    let mut peak = 0;
    let mut last = attaches(fleet);
    // Goes on a while after that, since orphans of the ended relays ask again later.
    while start.elapsed() < LONGEST {
        sleep(WINDOW).await;
        let now = attaches(fleet);
        peak = peak.max(now - last);
        last = now;
        let target = Some(fleet.version());
        let all = || {
            fleet
                .members
                .iter()
                .all(|m| m.node.inner.in_force() >= target)
        };
        if current.is_none() && all() {
            current = Some(start.elapsed());
        }
        if current.is_some_and(|at| start.elapsed() > at + Duration::from_secs(2)) {
            break;
        }
    }
    let rates = Mark::of(fleet).rates(&before);
    let asked = last - asked;
    println!(
        "restart of {} of {count} daemons within {:.2} s, with one edit:",
        (0..count).filter(|n| ended(*n)).count(),
        restarted.as_secs_f64()
    );
    match current {
        Some(at) => println!(
            "  all current {:.2} s after the first end",
            at.as_secs_f64()
        ),
        None => println!("  not all current after {LONGEST:?}"),
    }
    println!(
        "  {asked} attach requests, at most {peak} in {WINDOW:?}; control receives {:.0} B/s, sends {:.0} B/s, {:.2}% of a processor (steady {:.0}, {:.0}, {:.2}%)",
        rates.control[0],
        rates.control[1],
        rates.control_cpu * 100.0,
        steady.control[0],
        steady.control[1],
        steady.control_cpu * 100.0,
    );
    Ok(())
}
