//! Stand-ins for the cases of the review: clients, backend servers and operators of the platform.
//!
//! `cases CASE RECORD` runs one case in the project's root, writes what happened to RECORD, and exits
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it leaves the disruption out.

mod forged_heartbeat;
mod http;
mod late_heartbeat;
mod mesh;
mod messages;
mod race;
mod record;
mod upstream;

use std::{env, path::Path, process, thread, time::Duration};

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Result of a case that could run.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

type CaseFn = fn(&record::Record, bool) -> Result<Verdict, String>;

fn main() {
    let args: Vec<String> = env::args().collect();
    let (Some(name), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: cases CASE RECORD");
        process::exit(2);
    };
    let case: CaseFn = match name.as_str() {
        "race" => race::run,
        "forged-heartbeat" => forged_heartbeat::run,
        "late-heartbeat" => late_heartbeat::run,
        _ => {
            eprintln!("unknown case {name:?}");
            process::exit(2);
        }
    };
    let record = match record::Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{path}: {e}");
            process::exit(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        mesh::kill_all();
        process::exit(2);
    });
    let with_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {name}, with the disruption: {with_trouble}"));
    let result = case(&record, with_trouble);
    mesh::kill_all();
    let code = match result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(reason) => {
            record.line(&format!("the case could not run: {reason}"));
            2
        }
    };
    record.line(&format!("exit {code}"));
    process::exit(code);
}
