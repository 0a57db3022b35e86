//! The thread that reads and writes the log of accepted changes. It makes the calls that the
//! [`Journal`] asks for and applies the results to the entry's state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use super::Shared;
use crate::adapter::link;
use crate::config::Update;
use crate::config::journal::ring::PREFIX;
use crate::config::journal::{self, Answer, Append, Call, Effect, Error, Journal, Ticket};
use crate::place::Outcome;
use crate::unit::{Job, Version};
use crate::wire;
use crate::wire::Body;

/// Longest wait for an operation before the stop flag is checked again.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Timeout for connecting to another entry, and for each read of its configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Channel on which an operator's call receives the version accepted, or the error.
pub type Reply = Sender<Result<Version, Error>>;

/// An operation on the log.
#[derive(Debug)]
pub enum Operation {
    /// Appends a confirmed plan.
    Append(Box<Append>, Reply),
    /// Records the outcome of a job.
    End(Job, Outcome),
    /// Reads new records without waiting for the next poll.
    Wake,
}

struct Log<'a> {
    shared: &'a Arc<Shared>,
    journal: Journal,
    replies: BTreeMap<Ticket, Reply>,
    tickets: u64,
    failed: bool,
}

/// Executes operations and reads new records until the process stops.
pub fn run(shared: &Arc<Shared>, operations: &Receiver<Operation>) {
    let seed = shared.random().u64(..);
    let journal = Journal::new(seed);
    let mut log = Log { shared, journal, replies: BTreeMap::new(), tickets: 0, failed: false };
    while !shared.is_stopping() {
        let wait = log.journal.time_to_next(shared.now()).min(MAX_WAIT);
        match operations.recv_timeout(wait) {
            Ok(operation) => log.handle(operation),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for operation in operations.try_iter() {
            log.handle(operation);
        }
        log.step();
    }
}

impl Log<'_> {
    fn handle(&mut self, operation: Operation) {
        match operation {
            Operation::Append(mut append, reply) => {
                self.tickets += 1;
                append.ticket = Ticket(self.tickets);
                self.replies.insert(append.ticket, reply);
                let effect = self.journal.append(self.shared.now(), *append);
                self.perform(effect.into_iter().collect());
            }
            Operation::End(job, outcome) => self.journal.add_job_end(job, outcome),
            Operation::Wake => self.journal.wake(),
        }
    }

    /// Makes the platform calls that are due.
    fn step(&mut self) {
        let (rank, entries) = self.shared.core().rank();
        self.journal.set_rank(u64::try_from(rank).unwrap_or(u64::MAX));
        self.shared.table.set_entries(entries);
        let expired = self.journal.tick(self.shared.now());
        self.perform(expired);
        while !self.shared.is_stopping() {
            let now = self.shared.now();
            let next = self.journal.next_call(now, self.shared.core().local_state());
            let Some(call) = next else {
                break;
            };
            let answer = self.call(call);
            let now = self.shared.now();
            let effects = self.journal.handle_answer(now, answer, self.shared.core().local_state());
            self.perform(effects);
        }
        if self.journal.has_caught_up() {
            self.shared.core().config_known = true;
        }
    }

    fn call(&self, call: Call) -> Answer {
        let (table, objects) = (&self.shared.table.calls, &self.shared.objects);
        match call {
            Call::Read(key) => Answer::Row((table.read)(&key)),
            Call::Scan(after) => Answer::Rows((table.scan)(PREFIX, &after)),
            Call::Write(writes) => Answer::Wrote((table.write)(&writes)),
            Call::Get(name) => Answer::Object((objects.get)(&name)),
            Call::Put(name, bytes) => Answer::Stored((objects.put)(&name, &bytes)),
            Call::Delete(name) => Answer::Stored((objects.delete)(&name)),
        }
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Accept(records) => {
                    let now = self.shared.now();
                    let effects = self.shared.core().accept(now, records);
                    self.shared.perform(effects);
                    self.store_recovered();
                }
                Effect::NotifyEntries => {
                    let effects = self.shared.core().notify_entries();
                    self.shared.perform(effects);
                }
                Effect::Adopt(config) => {
                    let effects = self.shared.core().adopt(*config);
                    self.shared.perform(effects);
                }
                Effect::Backfill(records) => self.shared.core().add_records(records),
                Effect::AppendResult(ticket, result) => {
                    if let Some(reply) = self.replies.remove(&ticket) {
                        let _ = reply.send(result);
                    }
                }
                Effect::Malformed(key) => crate::warn!(RowRefused, "{key}"),
                Effect::Failed(error) => self.store_failed(&error),
            }
        }
    }

    fn store_recovered(&mut self) {
        if std::mem::take(&mut self.failed) {
            crate::log!(StoreBack, "calls to the store succeed again");
        }
    }

    fn store_failed(&mut self, error: &crate::store::Error) {
        if !std::mem::replace(&mut self.failed, true) {
            crate::warn!(StoreFailed, "{error}");
        }
        if !self.journal.has_caught_up() {
            self.fetch_from_peers();
        }
    }

    /// Reads the configuration from the other entries while the store is unavailable.
    fn fetch_from_peers(&self) {
        let peers = self.shared.core().peer_addresses();
        for address in peers {
            let held = self.shared.core().config.version;
            let Ok(update) = fetch(self.shared, address, held) else {
                continue;
            };
            let now = self.shared.now();
            match update {
                Update::Whole(config) => {
                    let effects = self.shared.core().adopt(*config);
                    self.shared.perform(effects);
                }
                Update::Records(records) => {
                    let effects = self.shared.core().accept(now, records);
                    self.shared.perform(effects);
                }
                Update::Changes { .. } => {}
            }
            self.shared.core().record_fetch_from(address);
        }
    }
}

fn fetch(
    shared: &Shared,
    from: std::net::SocketAddr,
    version: Version,
) -> Result<Update, wire::Error> {
    let stream = link::connect(from, FETCH_TIMEOUT)?;
    stream.set_read_timeout(Some(FETCH_TIMEOUT))?;
    wire::write(&stream, &shared.link.frame(Body::Fetch(version)))?;
    wire::read_update(&stream)
}

/// Returns the time after which an operator's call stops waiting for the result of an append.
pub fn answer_timeout() -> Duration {
    journal::APPEND_TIMEOUT + 3 * crate::adapter::table::TIMEOUT
}
