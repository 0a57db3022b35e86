//! `docs/EVENTS.md` and the code define the same events, and every event is logged somewhere.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use persimmondrift::event::ALL;

const CATALOGUE: &str = include_str!("../../docs/EVENTS.md");

fn documented() -> BTreeMap<u16, String> {
    let mut events = BTreeMap::new();
    for line in CATALOGUE.lines() {
        let Some(row) = line.strip_prefix("| E") else {
            continue;
        };
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let number = cells[0].parse().expect("an event has a number");
        assert!(cells.len() >= 4 && !cells[2].is_empty(), "E{number} has no meaning");
        let before = events.insert(number, cells[1].to_owned());
        assert_eq!(before, None, "E{number} is listed twice");
    }
    events
}

/// Returns the concatenated text of all source files below a directory.
fn sources(directory: &Path) -> String {
    let mut text = String::new();
    for file in fs::read_dir(directory).expect("a directory") {
        let file = file.expect("a file").path();
        if file.is_dir() {
            text.push_str(&sources(&file));
        } else {
            text.push_str(&fs::read_to_string(&file).expect("text"));
        }
    }
    text
}

#[test]
fn events_are_used() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    // The platform adapter also logs events of this catalogue.
    let text = sources(&root.join("src")) + &sources(&root.join("../platform/src"));
    let text: String = text.split_whitespace().collect();
    for event in ALL {
        let logged = ["log", "warn"].map(|level| format!("{level}!({event:?},"));
        assert!(logged.iter().any(|call| text.contains(call)), "{event:?} is never logged");
    }
}

#[test]
fn catalogue_matches_code() {
    let coded: BTreeMap<u16, String> =
        ALL.iter().map(|event| (*event as u16, format!("{event:?}"))).collect();
    assert_eq!(coded.len(), ALL.len(), "an event number is used twice");
    assert_eq!(documented(), coded);
}
