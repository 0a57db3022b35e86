//! Admission of callers to queues, by the newest configuration that this process has verified.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::unit::{Time, Version};

/// Subtracted from the time within which a removed key must be refused, for the time from the check
/// of a request to its answer.
const REVOKE_MARGIN: Duration = Duration::from_millis(700);

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Path prefix of its jobs.
    pub prefix: String,
    /// Service whose workers run its tasks.
    pub service: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub attempts: u16,
    /// Completion objective as a multiple of a job's longest chain of work, in thousandths.
    pub stretch_permille: u32,
    /// Added to the completion objective, in milliseconds.
    pub latency_ms: u64,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether starts need a ticket of the advice service.
    pub advised: bool,
}

/// A workspace: the keys of its callers, and its guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Accelerators that its jobs of priority 0 get at any time.
    pub guaranteed: u32,
}

/// A service: a pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Whether its VMs are off until they are needed.
    pub standby: bool,
}

/// Configuration that operators wrote.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Config {
    /// Increases with each change.
    pub version: Version,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All workspaces.
    pub workspaces: Vec<Workspace>,
    /// All services.
    pub services: Vec<Service>,
    /// Maximum size of a request's body in bytes; 0 if there is no limit.
    pub max_body_bytes: usize,
}

impl Config {
    /// Returns the queue of a host with the longest prefix of a path, and the rest of the path.
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

    /// Returns the queue with this name.
    #[must_use]
    pub fn queue_named(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}

/// Result of an admission check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// There is no configuration, or it is too old to trust its keys.
    Unready,
    /// No queue has this host and path.
    NoQueue,
    /// The key is missing or unknown, and the queue is not public.
    BadKey,
    /// The call is admitted.
    Admitted {
        /// Queue that the call addresses.
        queue: Queue,
        /// Workspace of the key; `None` without a valid key, which only public queues allow.
        workspace: Option<String>,
        /// Rest of the path after the queue's prefix.
        rest: String,
    },
}

/// The newest configuration, and when it was last verified to be the newest.
#[derive(Debug)]
pub struct Access {
    config: Option<Arc<Config>>,
    verified_at: Time,
    max_age: Duration,
}

impl Access {
    /// Creates an admission check without a configuration. A removed key must be refused within
    /// `revoke_within`, which bounds the age at which a configuration is trusted.
    #[must_use]
    pub fn new(revoke_within: Duration) -> Self {
        let max_age = revoke_within.saturating_sub(REVOKE_MARGIN);
        Self { config: None, verified_at: Time(0), max_age }
    }

    /// Applies the configuration that a read sent at `sent` returned. A version older than the
    /// current one is ignored. Returns whether the version is new.
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

    /// Records that a read sent at `sent` showed no change.
    pub fn confirm_unchanged(&mut self, sent: Time) {
        self.verified_at = self.verified_at.max(sent);
    }

    /// Returns the configuration in force; `None` before the first.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the time since the configuration was last verified.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.verified_at)
    }

    /// Returns whether the configuration is recent enough to check keys.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        self.config.is_some() && self.age(now) < self.max_age
    }

    /// Checks whether a call is admitted.
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
