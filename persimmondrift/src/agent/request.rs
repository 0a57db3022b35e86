//! Connections of entries: requests, cancels and reads of records.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::Shared;
use crate::adapter::link::{self, Link};
use crate::adapter::target;
use crate::admit::{Call, Cause, Effect, Outcome};
use crate::config::Update;
use crate::unit::{Request, Version};
use crate::wire::{self, Body};

/// Time given to connect and to read records.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after which a waiting request looks whether its deadline has passed.
const WAIT_POLL: Duration = Duration::from_millis(20);

/// Wakes the threads of requests that wait for a slot.
#[derive(Debug, Default)]
pub struct Waiters {
    senders: Mutex<BTreeMap<Request, Sender<Effect>>>,
}

impl Waiters {
    fn put(&self, request: Request, sender: Sender<Effect>) {
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

/// Serves a connection until it ends.
pub fn serve(shared: &Arc<Shared>, stream: &TcpStream, from: SocketAddr) {
    while !shared.stops() {
        let frame = match wire::read(stream) {
            Ok(frame) => frame,
            Err(wire::Error::Connection(_)) => return,
            Err(error) => {
                crate::warn!(FrameRefused, "from {from}: {error}");
                return;
            }
        };
        let body = match frame.body {
            Body::Call(call) => {
                let request = call.request;
                Body::Outcome(request, run(shared, call))
            }
            Body::Cancel(request) => {
                let proved = shared.core().gate.cancel(request);
                Body::Cancelled(request, proved)
            }
            _ => return,
        };
        if wire::write(stream, &shared.link.frame(body)).is_err() {
            return;
        }
    }
}

fn run(shared: &Shared, call: Call) -> Outcome {
    let begin = shared.now();
    let deadline = begin + call.budget;
    let request = call.request;
    let (sender, woken) = mpsc::channel();
    let mut effect = {
        let mut core = shared.core();
        let effect = core.gate.offer(begin, request, call.class, call.budget);
        if matches!(effect, Effect::Wait(_)) {
            shared.waiters.put(request, sender);
        }
        effect
    };
    loop {
        match effect {
            Effect::Run(_) => break,
            Effect::Reply(_, outcome) => return outcome,
            Effect::Wait(_) => match woken.recv_timeout(WAIT_POLL) {
                Ok(next) => effect = next,
                Err(mpsc::RecvTimeoutError::Timeout) => {
                    let now = shared.now();
                    let effects = shared.core().gate.tick(now);
                    shared.waiters.wake(effects);
                }
                Err(mpsc::RecvTimeoutError::Disconnected) => {
                    return Outcome::NotRun(Cause::Expired);
                }
            },
        }
    }
    let left = deadline.since(shared.now()).max(Duration::from_millis(1));
    let outcome = target::run(&shared.target, &shared.settings.target, call, left);
    let effects = shared.core().gate.finish(shared.now(), request);
    shared.waiters.wake(effects);
    outcome
}

/// Reads what follows a version from an entry; nothing if it does not answer.
pub fn fetch(link: &Link, from: SocketAddr, version: Version) -> Option<Update> {
    let read = || -> Result<Update, wire::Error> {
        let stream = link::connect(from, FETCH_TIMEOUT)?;
        stream.set_read_timeout(Some(FETCH_TIMEOUT))?;
        wire::write(&stream, &link.frame(Body::Follow(version)))?;
        wire::read_update(&stream)
    };
    read().ok()
}
