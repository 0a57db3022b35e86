//! What an agent hears of its worker, and an order for one task.

#![allow(dead_code, reason = "not each test file uses all of it")]

use std::time::Duration;

use persimmondrift::cell::duty::{Heartbeat, Listing, Reconciler};
use persimmondrift::cell::job::{Group, Id, Resources, Task};
use persimmondrift::cell::record::{self, Incarnation, Order, OrderTask};
use persimmondrift::cell::table::{Row, Table};
use persimmondrift::unit::{Epoch, Time, Version};

pub const BEGIN: Time = Time(100_000_000);
/// Resources of the task.
pub const NEED: Resources = Resources { millicores: 1_000, mebibytes: 1, accelerators: 0 };
/// Number of the run that is ordered.
pub const RUN: u32 = 1;

pub fn task() -> Task {
    Group { job: Id(1), occurrence: 0, step: 0 }.task(0)
}

/// Returns a time in milliseconds after [`BEGIN`].
pub fn at(millis: u64) -> Time {
    BEGIN + Duration::from_millis(millis)
}

pub fn incarnation(started_ms: u64, id: &str) -> Incarnation {
    Incarnation { started_ms, id: id.to_owned() }
}

/// Returns the first heartbeat of an incarnation.
pub fn heartbeat(started_ms: u64, id: &str) -> Heartbeat {
    Heartbeat {
        incarnation: incarnation(started_ms, id),
        sequence: 1,
        clock_ms: 1_000,
        draining: false,
        service: "studio".to_owned(),
        labels: Vec::new(),
        capacity: NEED.times(4),
        remaining_ms: 0,
        cold_ms: 0,
    }
}

/// Returns an order for the task, or one to stop it.
pub fn order(version: u64, incarnation: Incarnation, stop: bool) -> Row {
    let order = Order {
        epoch: Epoch(1),
        incarnation,
        session: 0,
        need: NEED,
        tasks: vec![OrderTask { index: 0, run: RUN, checkpoint: String::new(), stop }],
    };
    let key = record::order_key("vm", task().group());
    let value = Some(record::encode(&order));
    Row { table: Table::Orders, key, version: Version(version), value }
}

/// Returns the listing of an incarnation that runs the task or not.
pub fn listing(started_ms: u64, runs: bool) -> Listing {
    let running = runs.then(|| (task(), RUN, String::new(), 0)).into_iter().collect();
    Listing { started_ms, clock_ms: 1_000, running, ..Listing::default() }
}

/// Applies the first heartbeat of the next incarnation, and its answer to the call that follows.
pub fn begin_next(agent: &mut Reconciler, now: Time, heartbeat: Heartbeat) {
    let started_ms = heartbeat.incarnation.started_ms;
    agent.heartbeat(now, heartbeat);
    agent.identified(now, now, Some(&listing(started_ms, false)));
}
