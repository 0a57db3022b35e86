//! Serves calls and cancellations on connections from entries, and fetches configuration updates
//! from entries.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::Shared;
use crate::adapter::link::{self, Link};
use crate::adapter::target;
use crate::admit::{Call, Cause, Effect, Ending, Offer, Outcome, Ticket, UnknownCause};
use crate::config::Update;
use crate::unit::{Request, Time, Version};
use crate::wire::{self, Body};

/// Timeout for connecting to an entry and for each read of an update.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle overflow connection is closed.
const OVERFLOW_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Channels to the threads whose requests are queued for a slot.
#[derive(Debug, Default)]
pub struct Waiters {
    senders: Mutex<BTreeMap<Request, Sender<Effect>>>,
}

impl Waiters {
    fn register(&self, request: Request, sender: Sender<Effect>) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        senders.insert(request, sender);
    }

    fn wake(&self, effects: Vec<Effect>) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        for effect in effects {
            let (Effect::Run(request) | Effect::Wait(request) | Effect::Reply(request, _)) =
                &effect;
            if let Some(sender) = senders.remove(request) {
                let _ = sender.send(effect);
            }
        }
    }
}

/// Serves a connection until it ends. On an overflow connection every call is refused.
pub fn serve(shared: &Arc<Shared>, stream: &TcpStream, from: SocketAddr, overflow: bool) {
    if overflow {
        let _ = stream.set_read_timeout(Some(OVERFLOW_IDLE_TIMEOUT));
    }
    while !shared.is_stopping() {
        let frame = match wire::read(stream) {
            Ok(frame) => frame,
            Err(wire::Error::Connection(_)) => return,
            Err(error) => {
                crate::warn!(FrameRefused, "from {from}: {error}");
                return;
            }
        };
        if shared.is_stopping() {
            return;
        }
        // A planned stop waits until the outcome is written, not only until the call has run.
        shared.pending_outcomes.fetch_add(1, Ordering::AcqRel);
        let written = answer(shared, stream, frame.body, overflow);
        shared.pending_outcomes.fetch_sub(1, Ordering::AcqRel);
        if !written {
            return;
        }
    }
}

/// Answers one frame. Returns whether the connection can be served further.
fn answer(shared: &Shared, stream: &TcpStream, body: Body, overflow: bool) -> bool {
    let body = match body {
        Body::Call(call) => {
            let (request, class, begin) = (call.ticket.request, call.class, Instant::now());
            let outcome = if overflow { refuse(shared, &call) } else { admit(shared, call) };
            shared.metrics.observe_request(outcome.label(), class, begin.elapsed());
            let now = shared.now();
            let load = shared.core().load(now);
            Body::Outcome(request, outcome, load)
        }
        Body::Cancel(ticket) => Body::Cancelled(ticket.request, cancel(shared, ticket)),
        _ => return false,
    };
    wire::write(stream, &shared.link.frame(body)).is_ok()
}

/// Admits queued requests that may run and ends those that have waited too long.
pub fn tick(shared: &Shared) {
    let now = shared.now();
    let effects = shared.core().gate.tick(now);
    shared.waiters.wake(effects);
}

fn cancel(shared: &Shared, ticket: Ticket) -> bool {
    // What an earlier incarnation of this agent ran is not known.
    if ticket.boot != shared.link.boot() {
        return false;
    }
    let now = shared.now();
    let admit_by = Time::from_millis(ticket.admit_by.0);
    let (proved_not_run, effects) = shared.core().gate.cancel(now, ticket.request, admit_by);
    shared.waiters.wake(effects);
    proved_not_run
}

fn refuse(shared: &Shared, call: &Call) -> Outcome {
    if cancel(shared, call.ticket) {
        Outcome::NotRun(Cause::Overloaded)
    } else {
        Outcome::Unknown(UnknownCause::Repeated)
    }
}

fn admit(shared: &Shared, call: Call) -> Outcome {
    // Only this incarnation received the call, and it does not run a call to another one.
    if call.ticket.boot != shared.link.boot() {
        return Outcome::NotRun(Cause::Replaced);
    }
    let begin = shared.now();
    let request = call.ticket.request;
    let offer = Offer {
        request,
        class: call.class,
        budget: call.budget,
        admit_by: Time::from_millis(call.ticket.admit_by.0),
    };
    let (sender, receiver) = mpsc::channel();
    let mut effect = {
        let mut core = shared.core();
        let effect = core.gate.offer(begin, offer);
        if matches!(effect, Effect::Wait(_)) {
            shared.waiters.register(request, sender);
        }
        effect
    };
    if let Effect::Wait(_) = effect {
        // The sender is dropped unused only if a copy of the request replaces it, and the gate
        // admits no copy.
        let Ok(next) = receiver.recv() else {
            return Outcome::Unknown(UnknownCause::Broken);
        };
        effect = next;
    }
    match effect {
        Effect::Run(_) => run(shared, call, begin),
        Effect::Reply(_, outcome) => outcome,
        Effect::Wait(_) => Outcome::Unknown(UnknownCause::Broken),
    }
}

fn run(shared: &Shared, call: Call, begin: Time) -> Outcome {
    let request = call.ticket.request;
    let deadline = begin + call.budget;
    let remaining = deadline.since(shared.now()).max(Duration::from_millis(1));
    let outcome = target::run(&shared.target, &shared.settings.target, call, remaining);
    let ending = match outcome {
        Outcome::Unknown(UnknownCause::Timeout) => Ending::Abandoned,
        _ => Ending::Whole,
    };
    let now = shared.now();
    let effects = shared.core().gate.finish(now, request, ending);
    shared.waiters.wake(effects);
    outcome
}

/// Fetches the configuration changes after `version` from an entry. Returns `None` if that fails.
pub fn fetch(link: &Link, from: SocketAddr, version: Version) -> Option<Update> {
    let read = || -> Result<Update, wire::Error> {
        let stream = link::connect(from, FETCH_TIMEOUT)?;
        stream.set_read_timeout(Some(FETCH_TIMEOUT))?;
        wire::write(&stream, &link.frame(Body::Follow(version)))?;
        wire::read_update(&stream)
    };
    read().ok()
}
