//! Tests of arrival patterns, and of counting, writing, plotting and comparing results.

use std::time::Duration;
use std::{env, fs};

use persimmon_load::arrival::{self, Pattern};
use persimmon_load::compare;
use persimmon_load::plot;
use persimmon_load::result::{Sample, Table};

const LENGTH: Duration = Duration::from_secs(100);

#[test]
fn arrivals_follow_their_pattern() {
    for (pattern, wanted) in
        [(Pattern::Steady, 1.0), (Pattern::Burst, 5.0), (Pattern::Diurnal, 0.2)]
    {
        let times = arrival::times(pattern, 100.0, LENGTH, 7);
        assert_eq!(
            times,
            arrival::times(pattern, 100.0, LENGTH, 7),
            "the same seed gave other arrival times"
        );
        let mean = u32::try_from(times.len()).map(f64::from).expect("count fits in u32") / 10_000.0;
        assert!((0.95..1.05).contains(&mean), "{pattern:?}: {mean} of the mean rate");
        let first = times.iter().take_while(|at| at.as_secs_f64() < 2.0).count();
        let share = u32::try_from(first).map(f64::from).expect("count fits in u32") / 200.0;
        assert!((share / wanted - 1.0).abs() < 0.3, "{pattern:?}: {share} instead of {wanted}");
    }
    assert!("weekly".parse::<Pattern>().is_err());
}

fn samples(latency: u64) -> Vec<Sample> {
    let sample = |index: u64| Sample {
        at: Duration::from_millis(index * 10),
        latency: Duration::from_millis(latency),
        class: "urgent",
        method: "GET",
        outcome: if index == 0 { "refused" } else { "answered" }.to_owned(),
    };
    (0..200).map(sample).collect()
}

#[test]
fn runs_are_compared_by_ratio() {
    let directory = env::temp_dir().join(format!("persimmon-runs-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("created");
    let file = |name: &str| directory.join(name);
    for (name, latency) in [("a", 10), ("b", 30)] {
        let table = Table::new(&samples(latency), Duration::from_secs(2));
        table.write(&file("seconds.csv"), &file(name)).expect("written");
        plot::latency(&table, &file("plot.svg")).expect("plotted");
    }
    let ratios = compare::ratios(&file("a"), &file("b")).expect("read");
    let all = &ratios["all"];
    assert!((all[0] - 1.0).abs() < 0.01 && (all[2] - 3.0).abs() < 0.05, "{all:?}");
    assert_eq!(ratios.keys().collect::<Vec<_>>(), ["all", "urgent GET"]);
    assert!(fs::read_to_string(file("plot.svg")).expect("read").contains("<svg"));
    assert_eq!(fs::read_to_string(file("seconds.csv")).expect("read").lines().count(), 4);
    fs::remove_dir_all(directory).expect("removed");
}
