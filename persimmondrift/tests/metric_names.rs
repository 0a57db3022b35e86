//! `docs/OPERATIONS.md` and the code define the same metrics, and the rendered text contains them.

use std::collections::BTreeSet;
use std::time::Duration;

use persimmondrift::metric::{self, CATALOGUE};
use persimmondrift::place::Class;
use persimmondrift::store::{Calls, Error, Outcome};

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

#[test]
fn page_matches_code() {
    let mut documented = BTreeSet::new();
    for line in PAGE.lines().filter(|line| line.starts_with("| persimmon_")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        assert!(cells.len() == 5 && !cells[1].is_empty(), "{line} lacks a unit or a meaning");
        assert!(documented.insert(cells[0]), "{line} is listed twice");
    }
    let coded: BTreeSet<&str> = CATALOGUE.iter().map(|(name, _)| *name).collect();
    assert_eq!(documented, coded);
}

#[test]
fn requests_and_store_calls_are_counted() {
    let entry = metric::Entry::default();
    entry.observe_request("answered", Class::Urgent, Duration::from_millis(3));
    let calls = entry.instrument_store(Calls {
        write: Box::new(|_| Ok(Outcome::Refused)),
        read: Box::new(|_| Err(Error::NoAnswer)),
        scan: Box::new(|_, _| Ok(Vec::new())),
    });
    assert_eq!((calls.write)(&[]), Ok(Outcome::Refused));
    assert_eq!((calls.read)("key"), Err(Error::NoAnswer));
    assert_eq!((calls.scan)("prefix", "after"), Ok(Vec::new()));
    let text = entry.render();
    for line in [
        "persimmon_request_seconds_count{class=\"urgent\",outcome=\"answered\"} 1",
        "persimmon_store_seconds_count{call=\"write\",outcome=\"condition\"} 1",
        "persimmon_store_seconds_count{call=\"read\",outcome=\"no-answer\"} 1",
        "persimmon_store_seconds_count{call=\"scan\",outcome=\"ok\"} 1",
        "persimmon_retries_total 0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing in:\n{text}");
    }
}
