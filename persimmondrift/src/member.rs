//! Membership: the messages with which agents and entries announce themselves, and the failure
//! detector that judges each member by the time since its last message.

mod view;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gang;
use crate::unit::{
    Accelerators, Connections, Cores, Mebibytes, Millis, Rack, Region, Service, Slots, Version,
    Zone,
};

pub use view::{Effect, Judgement, Member, View};

/// Silence after which a member is probed.
pub const PROBE_AFTER: Duration = Duration::from_millis(1_100);
/// Interval between probes of a silent member.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Silence after which a member is suspected and gets no new work.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);
/// Silence after which a member is declared dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(10);
/// Silence after which a dead member is removed from the view.
pub const FORGET_AFTER: Duration = Duration::from_mins(10);
/// Longest regular gap between two ticks. A longer gap means that this process was paused, so it
/// does not count as silence of the members.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);
/// Interval between announcements of an entry, or of an agent with changes.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between announcements of an agent without changes.
pub const IDLE_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between full reports of an agent without changes; it sends beats in between.
pub const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between the presences that an entry sends to an agent.
pub const PRESENCE_INTERVAL: Duration = Duration::from_secs(2);

/// Where a process runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The region that contains the zone.
    pub region: Region,
    /// The availability zone; each zone has one planner.
    pub zone: Zone,
    /// The rack within the zone.
    pub rack: Rack,
}

/// The resources of a worker and its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Largest number of requests that the target serves concurrently.
    pub slots: Slots,
    /// Largest number of connections to the target.
    pub connections: Connections,
    /// Number of accelerators, at most 64: a part's assignment is a 64-bit mask.
    pub accelerators: Accelerators,
    /// Number of processor cores.
    pub cores: Cores,
    /// Size of main memory.
    pub memory: Mebibytes,
}

/// The load of a target, as its agent reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests running at the target.
    pub running: u32,
    /// Requests queued at the agent.
    pub waiting: u32,
    /// Expected time until a new interactive request would start.
    pub wait: Millis,
    /// Number of the report within one incarnation of the agent. A higher one replaces a lower one.
    pub number: u64,
    /// Uptime of the agent when it made the report.
    pub uptime: Millis,
}

/// Whether a member accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts new work.
    Serving,
    /// Finishes running work and accepts no new work.
    Leaving,
}

/// The full report of an agent to the entries, about itself and its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The service that the target offers.
    pub service: Service,
    /// Where the agent runs.
    pub place: Location,
    /// The TCP address for requests.
    pub address: SocketAddr,
    /// The resources of the worker and the target.
    pub capacity: Capacity,
    /// The load of the target.
    pub load: Load,
    /// Whether the agent accepts new work.
    pub state: State,
    /// Version of the configuration in force at the agent.
    pub version: Version,
    /// The job parts that the worker holds or runs.
    pub tasks: Vec<gang::Holding>,
}

/// The heartbeat of an agent to the entries while nothing but the version has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Number of the last full report.
    pub number: u64,
    /// Version of the configuration in force at the agent.
    pub version: Version,
}

/// The heartbeat of an entry to the other entries and the agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Where the entry runs.
    pub place: Location,
    /// The TCP address for configuration reads.
    pub address: SocketAddr,
    /// Whether the entry accepts new work.
    pub state: State,
    /// Whether the entry has read the configuration since it started.
    pub known: bool,
    /// Version of the configuration in force at the entry.
    pub version: Version,
    /// The last version with a change that matters to agents. An agent at this version or later
    /// adopts the entry's version without fetching anything.
    pub settled: Version,
}

/// The content that a member announces about itself.
pub trait Payload {
    /// Returns whether the member accepts new work.
    fn state(&self) -> State;
}

impl Payload for Announce {
    fn state(&self) -> State {
        self.state
    }
}

impl Payload for Presence {
    fn state(&self) -> State {
        self.state
    }
}
