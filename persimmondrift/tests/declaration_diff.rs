//! Declarations: parsing, merging, and the changes that reconcile a configuration with them.

use std::path::PathBuf;

use persimmondrift::config::{Change, Config, Record};
use persimmondrift::declare::{self, Declaration, Error};
use persimmondrift::unit::{Mutation, Operator, Plan};

const STUDIO: &str = r#"
[workspaces.studio]
weight = 2

[[workspaces.studio.guarantees]]
parts = 2
accelerators = 8
adjacency = "rack"
"#;
const BASE: &str = "drained = ['taller-03']\n[services.taller-app]\ntimeout_ms = 5000\n";

fn parse(text: &str) -> Declaration {
    declare::parse("a.toml", text).expect("valid")
}

fn apply(config: &mut Config, changes: Vec<Change>) {
    let record = Record {
        version: config.version.next(),
        plan: Plan(1),
        operator: Operator::try_from("founder").expect("valid"),
        mutation: Mutation(1),
        changes,
    };
    assert_eq!(config.apply(&record), Ok(true));
}

fn names(changes: &[Change]) -> Vec<String> {
    let short = |change: &Change| {
        let text = format!("{change:?}");
        text.split_once(' ').map_or(text.clone(), |(name, _)| name.to_owned())
    };
    changes.iter().map(short).collect()
}

#[test]
fn changes_lead_to_the_declaration() {
    let both = format!("{BASE}{STUDIO}");
    let other = both.replace("weight = 2", "weight = 3");
    let steps: [(&str, &[&str]); 6] = [
        (BASE, &["PutService", "Drain"]),
        (&both, &["PutWorkspace"]),
        (&both, &[]),
        (&other, &["PutWorkspace"]),
        ("drained = []", &["Undrain", "RemoveService", "RemoveWorkspace"]),
        ("", &[]),
    ];
    let mut config = Config::default();
    for (text, expected) in steps {
        let declared = parse(text);
        let changes = declare::changes(&config, &declared);
        assert_eq!(names(&changes), expected, "{text}");
        apply(&mut config, changes);
        assert_eq!(declare::changes(&config, &declared), [], "{text}");
    }
}

#[test]
fn unstated_drains_are_left_alone() {
    let mut config = Config::default();
    let begun = declare::changes(&config, &parse(BASE));
    apply(&mut config, begun);
    let changes = declare::changes(&config, &parse(STUDIO));
    assert_eq!(names(&changes), ["PutWorkspace", "RemoveService"]);
}

#[test]
fn files_merge_into_one_declaration() {
    let parts = |last: &str| {
        let named = [("base.toml", BASE), ("studio.toml", STUDIO), ("last.toml", last)];
        named.map(|(file, text)| (PathBuf::from(file), parse(text)))
    };
    let whole = declare::merge(parts("drained = ['taller-04']")).expect("merged");
    assert_eq!((whole.workspaces.len(), whole.services.len()), (1, 1));
    assert_eq!(whole.drained.map(|nodes| nodes.len()), Some(2));
    let error = declare::merge(parts(STUDIO)).expect_err("declared twice");
    let text = "last.toml: workspace studio is declared in studio.toml already";
    assert_eq!(error.to_string(), text);
}

#[test]
fn malformed_files_are_refused() {
    let long = "#".repeat(300 << 10);
    let cases = [
        ("unknown key", "[workspaces.studio]\nwieght = 2", "wieght"),
        ("bad name", "[workspaces.'Studio X']", "Studio X"),
        ("missing key", "[services.taller-app]", "timeout_ms"),
        ("not TOML", "[workspaces", "line 1"),
        ("too large", &long, "over the limit"),
    ];
    for (name, text, part) in cases {
        let error = declare::parse("a.toml", text).expect_err(name).to_string();
        assert!(error.starts_with("a.toml: ") && error.contains(part), "{name}: {error}");
    }
    let nowhere = declare::read("no-such-directory").expect_err("unreadable");
    assert!(matches!(nowhere, Error::Directory { .. }));
    // The source directory has no TOML file.
    let empty = declare::read(concat!(env!("CARGO_MANIFEST_DIR"), "/src")).expect_err("empty");
    assert!(matches!(empty, Error::NoFiles { .. }));
}
