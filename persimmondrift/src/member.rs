//! Announcements of agents and entries, and who counts as alive.

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

/// Silence after which a member is asked whether it is there.
pub const PROBE_AFTER: Duration = Duration::from_millis(1_100);
/// Pause between two such questions.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Silence after which a member gets no new work.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);
/// Silence after which a member counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(10);
/// Silence after which a dead member is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_mins(10);
/// Longest pause between two looks at the members. After a longer one the process itself was
/// paused, and the members were not silent for it.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);
/// Pause between two announcements of a member that has something new to say.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two announcements of a member that has nothing new to say.
pub const IDLE_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two whole reports of a member that has nothing new to say.
pub const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Pause between two presences of an entry that an agent gets.
pub const PRESENCE_INTERVAL: Duration = Duration::from_secs(2);

/// Where a process stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// Its rack.
    pub rack: Rack,
}

/// What a worker has to give.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Requests served at once.
    pub slots: Slots,
    /// Connections to the target.
    pub connections: Connections,
    /// Accelerators, 64 at most.
    pub accelerators: Accelerators,
    /// Processor cores.
    pub cores: Cores,
    /// Memory.
    pub memory: Mebibytes,
}

/// How busy a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the agent.
    pub waiting: u32,
    /// The time until a new interactive request would start.
    pub wait: Millis,
    /// Counts the reports of one start of the agent. A higher one replaces a lower one.
    pub number: u64,
    /// The uptime of the agent at the report.
    pub uptime: Millis,
}

/// Whether a member takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes new work.
    Serving,
    /// It finishes what runs and takes nothing new.
    Leaving,
}

/// What an agent tells the entries about itself and its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The service its target offers.
    pub service: Service,
    /// Where it stands.
    pub place: Location,
    /// Its TCP address for requests.
    pub address: SocketAddr,
    /// What its worker has to give.
    pub capacity: Capacity,
    /// How busy its target is.
    pub load: Load,
    /// Whether it takes new work.
    pub state: State,
    /// The configuration in force there.
    pub version: Version,
    /// The task parts that its worker holds or runs.
    pub tasks: Vec<gang::Holding>,
}

/// What an agent tells the entries when nothing else is new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The number of its last report.
    pub number: u64,
    /// The configuration in force there.
    pub version: Version,
}

/// What an entry tells other entries and the agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Where it stands.
    pub place: Location,
    /// Its TCP address for configuration reads.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: State,
    /// Whether it has read the configuration since it started.
    pub known: bool,
    /// The configuration in force there.
    pub version: Version,
    /// The last version that changed anything that agents have to know.
    pub settled: Version,
}

/// What every member says of itself.
pub trait Payload {
    /// Returns whether it takes new work.
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
