//! Declared run times are corrected by observed ones, within bounds.

use std::time::Duration;

use persimmondrift::place::{Adjacency, Class, Estimates, Eviction, Shape, Spec};
use persimmondrift::unit::{Accelerators, Cores, Mebibytes, Millis};

fn spec(workspace: &str, kind: &str) -> Spec {
    Spec {
        workspace: workspace.parse().expect("valid"),
        kind: kind.parse().expect("valid"),
        shape: Shape {
            parts: 1,
            accelerators: Accelerators(1),
            cores: Cores(1),
            memory: Mebibytes(1),
            adjacency: Adjacency::Worker,
        },
        class: Class::Batch,
        eviction: Eviction::Stop,
        run_ms: Millis(100_000),
        claim: false,
        zone: None,
    }
}

#[test]
fn corrections_are_learned_within_bounds() {
    let cases = [
        ("as declared", 100, 100),
        ("five times as long", 500, 500),
        ("a fifth", 20, 20),
        ("beyond the upper bound", 5_000, 500),
        ("beyond the lower bound", 1, 20),
    ];
    for (name, took, expected) in cases {
        let mut estimates = Estimates::default();
        for _ in 0..100 {
            estimates.learn(&spec("studio", "render"), Duration::from_secs(took));
        }
        let expects = estimates.expected_run(&spec("studio", "render")).as_secs_f64();
        assert!((expects / f64::from(expected) - 1.0).abs() < 0.02, "{name}: {expects} s");
    }
}

#[test]
fn corrections_apply_to_one_workspace_and_kind() {
    let mut estimates = Estimates::default();
    estimates.learn(&spec("studio", "render"), Duration::from_secs(400));
    let declared = Duration::from_secs(100);
    assert!(estimates.expected_run(&spec("studio", "render")) > declared);
    assert_eq!(estimates.expected_run(&spec("studio", "route")), declared);
    assert_eq!(estimates.expected_run(&spec("desk", "render")), declared);
}

#[test]
fn one_observation_weighs_half() {
    let mut estimates = Estimates::default();
    estimates.learn(&spec("studio", "render"), Duration::from_secs(400));
    let expects = estimates.expected_run(&spec("studio", "render")).as_secs_f64();
    assert!((expects - 200.0).abs() < 1e-6, "{expects} s: the geometric mean of 100 and 400");
}
