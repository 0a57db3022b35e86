//! Measures the time of a routing decision by the number of targets.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use persimmondrift::member::{Load, Location};
use persimmondrift::route::{Index, TargetInfo, Verdict};
use persimmondrift::unit::{Boot, Bytes, Millis, Node, Rack, Region, Slots, Time, Zone};

use crate::request_load::SERVICE;

/// Timed decisions per number of targets.
const DECISIONS: u32 = 1_000_000;
/// Number of availability zones over which the targets are spread.
const ZONES: usize = 25;
/// Number of regions over which the availability zones are spread.
const REGIONS: usize = 7;

/// Prints the time of a decision and of an update of the index by a report, for several numbers of
/// targets.
///
/// # Errors
///
/// Returns an error if a generated name is malformed.
pub fn run() -> anyhow::Result<()> {
    for targets in [11, 110, 1_000, 10_000] {
        let free = time_decision(targets, 0)?;
        let full = time_decision(targets, 8)?;
        let report = time_report(targets)?;
        println!(
            "cost: {targets} targets: {free} ns with room, {full} ns when all are full, {report} ns a report"
        );
    }
    Ok(())
}

fn target_info(index: usize, running: u32, number: u64) -> anyhow::Result<TargetInfo> {
    let zone = index % ZONES;
    let wait = Millis(if running > 0 { 5 } else { 0 });
    Ok(TargetInfo {
        node: Node::try_from(format!("target-{index}"))?,
        boot: Boot(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        place: location(zone)?,
        service: SERVICE.parse()?,
        slots: Slots(8),
        load: Load { running, waiting: 0, wait, number, uptime: Millis(60_000) },
        open: true,
    })
}

fn location(zone: usize) -> anyhow::Result<Location> {
    Ok(Location {
        region: Region::try_from(format!("region-{}", zone % REGIONS))?,
        zone: Zone::try_from(format!("zone-{zone}"))?,
        rack: Rack::try_from("rack")?,
    })
}

fn build_index(targets: usize, running: u32) -> anyhow::Result<Index> {
    let mut index = Index::new(location(0)?);
    for target in 0..targets {
        index.upsert(Time(0), target_info(target, running, 1)?);
    }
    Ok(index)
}

/// Returns the mean nanoseconds of choosing a target and recording its outcome.
fn time_decision(targets: usize, running: u32) -> anyhow::Result<u128> {
    let mut index = build_index(targets, running)?;
    let mut random = fastrand::Rng::with_seed(1);
    let service = SERVICE.parse()?;
    let begin = Instant::now();
    for _ in 0..DECISIONS {
        let choice = index.choose(Time(0), &service, Bytes(200), &[], &mut random)?;
        index.record_outcome(Time(0), black_box(choice).key, Verdict::Good, None);
    }
    Ok(begin.elapsed().as_nanos() / u128::from(DECISIONS))
}

/// Returns the mean nanoseconds of updating the index with the report of one target.
fn time_report(targets: usize) -> anyhow::Result<u128> {
    let mut index = build_index(targets, 0)?;
    let updates: Vec<TargetInfo> =
        (0..targets).map(|target| target_info(target, 1, 2)).collect::<Result<_, _>>()?;
    let begin = Instant::now();
    for target_info in updates {
        index.upsert(Time(0), target_info);
    }
    Ok(begin.elapsed().as_nanos() / u128::try_from(targets)?)
}
