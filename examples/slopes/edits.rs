//! Processor time of one edit at the leader of the config group, by size of the lists.

use {
    super::{micros, timed, tree},
    anvilbeam::lists::{self, Lists},
};

const EDITS: usize = 10;

pub fn run() {
    println!(
        "one edit at the leader: plans and grants, bytes of both lists, ms to write the unchanged list, ms to check both"
    );
    for grants in [500, 2_000, 5_000] {
        let store = tree::store(grants);
        let current_lists = Lists::from_config(store.config());
        let (render_time, plans) = timed(|| {
            (1..EDITS).for_each(|_| drop(lists::render_plans(&current_lists)));
            lists::render_plans(&current_lists)
        });
        let text = lists::render_grants(&current_lists);
        let (check_time, valid) = timed(|| {
            let runs = (0..EDITS).map(|_| lists::parse_lists(&plans, &text));
            runs.flatten().count()
        });
        assert_eq!(valid, EDITS, "the lists are valid");
        println!(
            "{grants:>6} {:>9} {:>7.2} {:>7.2}",
            plans.len() + text.len(),
            micros(render_time, EDITS) / 1e3,
            micros(check_time, EDITS) / 1e3,
        );
    }
}
