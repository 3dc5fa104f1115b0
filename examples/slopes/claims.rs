//! Memory, command size, command time and snapshots of a claims group.

use {
    super::{micros, resident_bytes, timed},
    anvilbeam::{
        claims::{self, Attempt, ClaimKey, Claims, Command, Reply, StoredAnswer},
        model::{DaemonName, Digest},
        wire,
    },
    std::time::Duration,
};

const BODY_BYTES: usize = 500;

pub fn run() {
    let size = |command| wire::encode(&command).expect("a command fits").len();
    println!(
        "log entries: claim {} B, answer of {BODY_BYTES} B {} B",
        size(claim_command(0, 1 << 40)),
        size(finish_command(0, BODY_BYTES, 1 << 40)),
    );
    println!(
        "claims: keys, state; memory B per key, snapshot B per key, ms to encode the snapshot, us per command with its decoding"
    );
    // Retained, since reuse of freed memory would hide the growth.
    let mut retained = Vec::new();
    for keys in [50_000, 100_000, 200_000] {
        for (name, answer) in [
            ("pending", None),
            ("answer dropped", Some(0)),
            ("500 B answer", Some(BODY_BYTES)),
        ] {
            retained.push(measure(keys, name, answer));
        }
    }
}

fn claim_command(n: usize, now_ms: u64) -> Command {
    Command::Claim {
        key: ClaimKey::new(&"customer-plan-00017".into(), &format!("order-{n}")),
        attempt: Attempt(n as u128),
        request: Digest::of(&n.to_le_bytes()),
        owner: DaemonName::from(&*format!("daemon-{:04}", n % 2_600)),
        now_ms,
    }
}

fn finish_command(n: usize, body: usize, now_ms: u64) -> Command {
    let headers = if body == 0 {
        Vec::new()
    } else {
        vec![
            ("content-type".to_owned(), b"application/json".to_vec()),
            ("content-length".to_owned(), b"500".to_vec()),
        ]
    };
    let answer = StoredAnswer {
        status: 200,
        headers,
        body: (body > 0).then(|| vec![b'x'; body]),
    };
    Command::Finish {
        key: ClaimKey::new(&"customer-plan-00017".into(), &format!("order-{n}")),
        attempt: Attempt(n as u128),
        answer,
        now_ms,
    }
}

fn measure(keys: usize, name: &str, answer: Option<usize>) -> Claims {
    let before = resident_bytes();
    let mut state = Claims::default();
    let mut apply_time = Duration::ZERO;
    let mut commands = 0;
    let mut run = |command: Command| {
        let buf = wire::encode(&command).expect("a command fits");
        let (time, reply) = timed(|| claims::apply(&mut state, 0, &buf));
        assert!(is_accepted(&reply), "the command is accepted");
        apply_time += time;
        commands += 1;
    };
    for n in 0..keys {
        run(claim_command(n, 1));
        if let Some(body) = answer {
            run(finish_command(n, body, 1));
        }
    }
    let memory = resident_bytes() - before;
    let (encode_time, snapshot) =
        timed(|| claims::snapshot(&state).expect("the snapshot can be encoded"));
    println!(
        "{keys:>7} {name:<15} {:>6.0} {:>6.0} {:>7.1} {:>6.2}",
        memory / keys as f64,
        snapshot.len() as f64 / keys as f64,
        encode_time.as_secs_f64() * 1e3,
        micros(apply_time, commands),
    );
    state
}

fn is_accepted(reply: &[u8]) -> bool {
    matches!(wire::decode(reply), Ok(Reply::Granted | Reply::Recorded))
}
