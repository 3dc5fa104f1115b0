//! Tests of the events and of their catalogue.

use {
    super::{Event, format_event, parse_event},
    proptest::{prelude::*, test_runner::RngSeed},
    std::collections::HashSet,
    strum::IntoEnumIterator as _,
};

const CATALOGUE: &str = include_str!("../../docs/events.md");

/// Returns the cells of each row of the catalogue that starts with a number.
fn rows() -> Vec<Vec<&'static str>> {
    let cells = |row: &'static str| row.trim_matches('|').split('|').map(str::trim).collect();
    let rows = CATALOGUE.lines().filter(|row| row.starts_with("| "));
    let rows = rows.map(cells);
    rows.filter(|cells: &Vec<&str>| cells[0].parse::<u16>().is_ok())
        .collect()
}

/// Guards against an event that can be logged but is missing from the catalogue, and against a row
/// with a wrong number, name or level or with an empty cell.
#[test]
fn catalogue_lists_each_event() {
    let rows = rows();
    for event in Event::iter() {
        let number = event.number().to_string();
        let found: Vec<_> = rows.iter().filter(|row| row[0] == number).collect();
        assert_eq!(found.len(), 1, "rows of {event:?} in docs/events.md");
        let row = found[0];
        assert_eq!(row.len(), 6, "cells of {event:?}");
        assert_eq!(row[1], format!("`{event}`"), "name of {event:?}");
        let level = event.level().as_str().to_lowercase();
        assert_eq!(row[2], level, "level of {event:?}");
        assert!(
            row.iter().all(|cell| !cell.is_empty()),
            "cells of {event:?}"
        );
    }
    assert_eq!(rows.len(), Event::iter().count(), "rows of unknown events");
}

/// Guards against two events with the same name.
#[test]
fn names_are_unique() {
    let names: HashSet<_> = Event::iter().map(Event::name).collect();
    assert_eq!(names.len(), Event::iter().count());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(103),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a value, such as a caller's path, that forges another field or line.
    #[test]
    fn any_value_stays_in_its_field(value in any::<String>(), other in "[ =\"\\\\a\n]{0,8}") {
        let text = format_event(Event::CallRefused, &[("reason", &value), ("plan", &other)]);
        prop_assert!(!text.contains('\n'));
        let found = parse_event(&text).unwrap();
        let expected = [("event", "402"), ("name", "call-refused"), ("reason", value.as_str()), ("plan", other.as_str())];
        let found: Vec<_> = found.iter().map(|(k, v)| (k.as_str(), v.as_str())).collect();
        prop_assert_eq!(found, expected);
    }

    /// Guards against a panic on a line that only resembles an event.
    #[test]
    fn parsing_any_line_does_not_panic(text in "(event=)?[ =\"\\\\ué{}0-9]{0,24}") {
        let _result = parse_event(&text);
    }
}
