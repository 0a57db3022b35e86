//! Who may call which queue, by the newest configuration that this process has proof of.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::unit::{Time, Version};

/// Taken off the bound within which a removed key must be refused: covers the way from the
/// check of a request to its answer.
const REVOKE_MARGIN: Duration = Duration::from_millis(700);

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the paths of its jobs begin with.
    pub prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Its priority; 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u16,
    /// The objective as a multiple of the longest chain of work, in thousandths.
    pub stretch_permille: u32,
    /// What is added to the objective, in milliseconds.
    pub latency_ms: u64,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether starts need a ticket of the advice service.
    pub advised: bool,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// The keys of its callers.
    pub keys: Vec<String>,
    /// Accelerators that its jobs of priority 0 get at all times.
    pub guaranteed: u32,
}

/// A service: a pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether its VMs are off until they are needed.
    pub standby: bool,
}

/// The configuration that operators wrote.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// The services.
    pub services: Vec<Service>,
    /// Largest body of a request in bytes; 0 if there is no limit.
    pub max_body_bytes: usize,
}

impl Config {
    /// Returns the queue with the longest prefix of a path, and the rest of the path.
    #[must_use]
    pub fn queue<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let of_host = self.queues.iter().filter(|queue| queue.host == host);
        let matching =
            of_host.filter_map(|queue| Some((queue, path.strip_prefix(&*queue.prefix)?)));
        matching.max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// Returns the workspace that a key belongs to.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.keys.iter().any(|own| own == key))
    }

    /// Returns the queue of a name.
    #[must_use]
    pub fn queue_named(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}

/// What a caller may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The configuration is unknown, or too old to trust its keys.
    Unready,
    /// No queue has this host and path.
    NoQueue,
    /// The key is missing or unknown.
    BadKey,
    /// The call may go on.
    Admitted {
        /// The queue.
        queue: Queue,
        /// The workspace of the key; none on a public queue.
        workspace: Option<String>,
        /// The path behind the queue's prefix.
        rest: String,
    },
}

/// The newest configuration, and since when it is known to be the newest.
#[derive(Debug)]
pub struct Access {
    config: Option<Arc<Config>>,
    verified_at: Time,
    max_age: Duration,
}

impl Access {
    /// Creates an access check that trusts a configuration for the time in which a removed key
    /// must be refused.
    #[must_use]
    pub fn new(revoke_within: Duration) -> Self {
        let max_age = revoke_within.saturating_sub(REVOKE_MARGIN);
        Self { config: None, verified_at: Time(0), max_age }
    }

    /// Takes in the configuration that a read showed which was sent at `sent`. An older version
    /// than the one held changes nothing. Returns whether the version is new.
    pub fn update(&mut self, config: &Arc<Config>, sent: Time) -> bool {
        let held = self.config.as_ref().map_or(Version(0), |held| held.version);
        if config.version < held {
            return false;
        }
        self.verified_at = self.verified_at.max(sent);
        let newer = config.version > held || self.config.is_none();
        if newer {
            self.config = Some(Arc::clone(config));
        }
        newer
    }

    /// Takes note that a read sent at `sent` showed no change.
    pub fn confirm_unchanged(&mut self, sent: Time) {
        self.verified_at = self.verified_at.max(sent);
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the age of the proof.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.verified_at)
    }

    /// Returns whether callers' keys can be checked.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        self.config.is_some() && self.age(now) < self.max_age
    }

    /// Checks a call.
    #[must_use]
    pub fn check(&self, now: Time, host: &str, path: &str, key: Option<&str>) -> Verdict {
        let Some(config) = &self.config else {
            return Verdict::Unready;
        };
        if !self.is_ready(now) {
            return Verdict::Unready;
        }
        let Some((queue, rest)) = config.queue(host, path) else {
            return Verdict::NoQueue;
        };
        let workspace = key.and_then(|key| config.workspace(key)).map(|found| found.name.clone());
        if workspace.is_none() && !queue.public {
            return Verdict::BadKey;
        }
        Verdict::Admitted { queue: queue.clone(), workspace, rest: rest.to_owned() }
    }
}
