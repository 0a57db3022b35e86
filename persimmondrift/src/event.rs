//! The numbered log events, which `docs/EVENTS.md` documents. Each logged event is also counted as
//! a metric.

use std::fmt;

use crate::metric;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal,)+) => {
        /// A log event. Its discriminant is the number in the log line.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $name = $number,)+
        }

        /// All events, in the order of their numbers.
        pub const ALL: &[Event] = &[$(Event::$name,)+];
    };
}

events! {
    /// A process has started.
    Started = 101,
    /// A process was asked to stop and finishes running work.
    Stopping = 102,
    /// A settings file cannot be read or is invalid.
    SettingsRefused = 103,
    /// A thread panicked; the process ends unless the panic affects only one HTTP connection.
    Panicked = 104,
    /// The settings file was read again and checked; the settings in use stay.
    Reloaded = 105,
    /// A frame is malformed, exceeds its limit or cannot be sent, or a connection was refused.
    FrameRefused = 110,
    /// A request of a caller is malformed or exceeds its limit.
    RequestRefused = 111,
    /// A client's connection or request is refused by the HTTP server.
    ClientRefused = 112,
    /// A member, or a new incarnation of it, announced itself for the first time.
    MemberJoined = 201,
    /// A member was silent for so long that it gets no new work.
    MemberSuspected = 202,
    /// A suspected or dead member sent a message again.
    MemberRecovered = 203,
    /// A serving member was declared dead or replaced by another incarnation.
    MemberLost = 204,
    /// A member that had announced its leave was declared dead or replaced.
    MemberLeft = 205,
    /// A worker announced a new incarnation or a change of its state.
    WorkerHeard = 206,
    /// A worker has left.
    WorkerLeft = 207,
    /// An agent found that the planner had ended its session.
    GivenUp = 208,
    /// An agent has read the state that its previous process stored.
    Recovered = 209,
    /// A worker answered a poll with something other than its lists.
    WorkerRefused = 210,
    /// A worker crashed: a new incarnation replaced one that had not left.
    WorkerCrashed = 211,
    /// A worker has answered which incarnation is up, after a heartbeat had named another one.
    WorkerIdentified = 212,
    /// A target was chosen for a request.
    Routed = 301,
    /// No target was chosen for a request.
    NotRouted = 302,
    /// A request is retried.
    Retried = 303,
    /// The final outcome of a request is known.
    Concluded = 304,
    /// A caller was answered.
    CallerAnswered = 305,
    /// A job was submitted.
    JobSubmitted = 306,
    /// A job was placed.
    Placed = 401,
    /// An attempt of a job is being stopped.
    AttemptStopped = 402,
    /// An attempt of a job has ended.
    AttemptOver = 403,
    /// A job has ended.
    JobEnded = 404,
    /// A guaranteed shape does not fit on healthy workers.
    GuaranteeAtRisk = 405,
    /// A guaranteed shape fits on healthy workers again.
    GuaranteeRestored = 406,
    /// A worker on which started parts fail gets no work for a while.
    Quarantined = 407,
    /// A quarantined worker gets work again.
    TakenBack = 408,
    /// A part of a job has ended at its worker.
    PartEnded = 409,
    /// A planner found an attempt of an earlier planner.
    AttemptAdopted = 410,
    /// A task was started at a worker, or its start was refused.
    TaskStarted = 411,
    /// A worker was told to stop a task.
    TaskStopped = 412,
    /// A worker did not answer before its lease lapsed.
    LeaseLapsed = 413,
    /// The lists of a worker contain the end of a run.
    TaskEnded = 414,
    /// A group has waited for a while, and why no worker takes it.
    GroupWaits = 415,
    /// A crash of a worker was recorded for a task that ran there.
    CrashRecorded = 416,
    /// A report of an agent was stored, with ends that its worker may forget, or after a gap.
    ReportStored = 417,
    /// Names of agents or checkpoints were left out of a job's progress, since its row would not fit.
    ProgressBounded = 418,
    /// Operators evacuate a zone, as this process has learnt.
    ZoneEvacuated = 419,
    /// Operators have returned a zone to service.
    ZoneReturned = 420,
    /// An agent returned starts to the planner without sending them, since its zone is or may be
    /// evacuated.
    StartsReturned = 421,
    /// How many runs are left in a zone that operators evacuate.
    EvacuationProgress = 422,
    /// A plan was made for an intent.
    Planned = 501,
    /// An intent was refused.
    IntentRefused = 502,
    /// A plan was confirmed.
    Confirmed = 503,
    /// A version of the configuration took effect at this process.
    InForce = 504,
    /// This process took the planner role of a zone.
    RoleTaken = 505,
    /// This process lost the planner role of a zone.
    RoleLost = 506,
    /// This process gave back the planner role, because it stops or no longer reaches the store
    /// directly.
    RoleYielded = 507,
    /// A planning round took long, or its plan needs more than one batch.
    RoundPlanned = 508,
    /// The table service failed.
    StoreFailed = 601,
    /// The table service answers again.
    StoreBack = 602,
    /// A row or an object of the platform is malformed.
    RowRefused = 603,
    /// A complete configuration was adopted from a snapshot or another entry.
    Adopted = 604,
    /// The store rejected a call as invalid, so it must not be sent again unchanged.
    CallRejected = 605,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03} {self:?}", *self as u16)
    }
}

/// Counts an event and logs it at info level.
pub fn log_info(event: Event, text: fmt::Arguments<'_>) {
    metric::count_event(event);
    spdlog::info!("{event} {text}");
}

/// Counts an event and logs it at warn level.
pub fn log_warning(event: Event, text: fmt::Arguments<'_>) {
    metric::count_event(event);
    spdlog::warn!("{event} {text}");
}

/// Counts an event and logs its number, name and text at info level.
#[macro_export]
macro_rules! log {
    ($event:ident, $($text:tt)+) => {
        $crate::event::log_info($crate::event::Event::$event, format_args!($($text)+))
    };
}

/// Counts an event and logs its number, name and text at warn level.
#[macro_export]
macro_rules! warn {
    ($event:ident, $($text:tt)+) => {
        $crate::event::log_warning($crate::event::Event::$event, format_args!($($text)+))
    };
}
