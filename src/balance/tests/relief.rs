//! Choice of another data centre by reported load.

use super::*;

/// Most of the random numbers that a pick may get; a few calls explore on purpose.
const RANDOMS: u64 = 200;

fn load(waiting: u32, took_ms: u64) -> Load {
    Load {
        running: 0,
        waiting,
        slots: 4,
        took: Some(Duration::from_millis(took_ms)),
    }
}

/// Picks by `RANDOMS` random numbers and counts those that go to `server`.
fn picks_of(balancer: &mut Balancer, among: &[u8], server: u8, now: Instant) -> u64 {
    let endpoints: Vec<_> = among.iter().map(|n| endpoint(*n, 1, false)).collect();
    let candidates = Candidates::new(&here(), &endpoints);
    let picks = (0..RANDOMS).filter(|n| {
        let random = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let choice = balancer.pick_from(&candidates, Wanted::small(Rank::Normal), now, random, &[]);
        let choice = choice.expect("there are candidates");
        balancer.outcome(&choice, Outcome::Succeeded, Duration::from_millis(40), now);
        choice.endpoint.server == name(server)
    });
    picks.count() as u64
}

fn known(among: &[u8], now: Instant) -> Balancer {
    let endpoints: Vec<_> = among.iter().map(|n| endpoint(*n, 1, false)).collect();
    let mut balancer = Balancer::default();
    let later = now + Duration::from_mins(1);
    balancer.sync_service(&service(), &endpoints, now);
    for n in among {
        balancer.report(&endpoint(*n, 1, false), &load(0, 40), later);
    }
    balancer
}

/// Guards against calls that queue at the own data centre while another has free slots.
#[test]
fn a_queue_at_the_own_data_centre_sends_calls_away() {
    let start = Instant::now();
    let now = start + Duration::from_mins(1);
    let mut balancer = known(&[0, 2], start);
    assert!(picks_of(&mut balancer, &[0, 2], 0, now) > RANDOMS * 9 / 10);
    balancer.report(&endpoint(0, 1, false), &load(20, 40), now);
    assert!(picks_of(&mut balancer, &[0, 2], 2, now) > RANDOMS * 9 / 10);
}

/// Guards against a daemon without a server in its own data centre that compares nothing.
#[test]
fn the_nearest_group_with_a_server_is_compared() {
    let start = Instant::now();
    let now = start + Duration::from_mins(1);
    let mut balancer = known(&[2, 4], start);
    balancer.report(&endpoint(2, 1, false), &load(40, 40), now);
    assert!(picks_of(&mut balancer, &[2, 4], 4, now) > RANDOMS * 9 / 10);
}

/// Guards against calls that follow each other to a server whose VM is gone.
#[test]
fn a_silent_server_with_calls_is_left() {
    let start = Instant::now();
    let now = start + Duration::from_mins(1);
    let mut balancer = known(&[0, 2], start);
    let endpoints = [endpoint(0, 1, false)];
    let only = Candidates::new(&here(), &endpoints);
    for _ in 0..3 {
        balancer.pick_from(&only, Wanted::small(Rank::Normal), now, 7, &[]);
    }
    let later = now + Duration::from_millis(900);
    assert!(picks_of(&mut balancer, &[0, 2], 2, later) > RANDOMS * 9 / 10);
}

/// Guards against large bodies that travel between data centres though they can be answered in
/// time where they are; their bytes are billed.
#[test]
fn a_large_body_stays_while_its_answer_comes_in_time() {
    let start = Instant::now();
    let now = start + Duration::from_mins(1);
    let among = [0, 2, 4];
    let mut balancer = known(&among, start);
    let endpoints: Vec<_> = among.iter().map(|n| endpoint(*n, 1, false)).collect();
    let candidates = Candidates::new(&here(), &endpoints);
    let mut goes_to = |waiting, exclude: &[ServerName]| {
        balancer.report(&endpoint(0, 1, false), &load(waiting, 40), now);
        let wanted = Wanted {
            rank: Rank::Normal,
            bulk: Some(Duration::from_millis(300)),
        };
        let choice = balancer.pick_from(&candidates, wanted, now, 7, exclude);
        let choice = choice.expect("there are candidates");
        balancer.outcome(&choice, Outcome::Neutral, Duration::ZERO, now);
        choice.endpoint.server.clone()
    };
    assert_eq!(goes_to(20, &[]), name(0), "late, but in time");
    assert_ne!(goes_to(60, &[]), name(0), "too late");
    assert_eq!(goes_to(60, &[name(2)]), name(0), "not to another region");
    assert_eq!(
        goes_to(0, &[name(0), name(2)]),
        name(4),
        "nobody else is left"
    );
}
