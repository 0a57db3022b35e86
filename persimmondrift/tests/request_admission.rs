//! Admission: limits, queues, classes, and proof that a request did not run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use persimmondrift::admit::memory::{MAX_ADMIT_AHEAD, MAX_ENDED, RETENTION};
use persimmondrift::admit::{Cause, Effect, Ending, Gate, Limit, Offer, Outcome, UnknownCause};
use persimmondrift::place::Class::{self, Batch, Interactive, Urgent};
use persimmondrift::unit::{Connections, Millis, Request, Slots, Time};

const SEEDS: [u64; 12] = [1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144, 233];
const ENTROPY: u64 = 16_384;

fn gate(slots: u32, connections: u32) -> Gate {
    Gate::new(Limit { slots: Slots(slots), connections: Connections(connections) })
}

fn offer(id: u128, class: Class, now: Time) -> Offer {
    Offer { request: Request(id), class, budget: Millis(2_000), admit_by: now + Millis(2_000) }
}

fn refused(id: u128, cause: Cause) -> Effect {
    Effect::Reply(Request(id), Outcome::NotRun(cause))
}

/// Fills the given number of slots with interactive requests that keep running.
fn fill(gate: &mut Gate, now: Time, slots: u128) {
    for id in 0..slots {
        assert_eq!(
            gate.offer(now, offer(1_000 + id, Interactive, now)),
            Effect::Run(Request(1_000 + id))
        );
    }
}

#[test]
fn duplicate_and_late_calls_get_a_typed_answer() {
    let now = Time::from_secs(100);
    let later = |span: Duration| now + span;
    let cases: [(&str, Time, Time, Effect); 6] = [
        (
            "doubled",
            now,
            later(Duration::from_secs(2)),
            Effect::Reply(Request(1), Outcome::Unknown(UnknownCause::Repeated)),
        ),
        (
            "after its end",
            later(Duration::from_secs(1)),
            later(Duration::from_secs(2)),
            Effect::Reply(Request(1), Outcome::Unknown(UnknownCause::Repeated)),
        ),
        (
            "new and late",
            later(Duration::from_secs(3)),
            later(Duration::from_secs(2)),
            refused(2, Cause::Expired),
        ),
        (
            "new and too late for proof",
            later(RETENTION + Duration::from_secs(3)),
            later(Duration::from_secs(2)),
            Effect::Reply(Request(3), Outcome::Unknown(UnknownCause::Late)),
        ),
        (
            "too far ahead",
            now,
            later(MAX_ADMIT_AHEAD + Duration::from_secs(1)),
            refused(4, Cause::Expired),
        ),
        ("in time", now, later(Duration::from_secs(2)), Effect::Run(Request(5))),
    ];
    for (name, at, admit_by, expected) in cases {
        let mut gate = gate(8, 64);
        assert_eq!(gate.offer(now, offer(1, Interactive, now)), Effect::Run(Request(1)));
        if name != "doubled" {
            gate.finish(now, Request(1), Ending::Whole);
        }
        let (Effect::Run(request) | Effect::Wait(request) | Effect::Reply(request, _)) = expected;
        let offer = Offer { request, class: Interactive, budget: Millis(2_000), admit_by };
        assert_eq!(gate.offer(at, offer), expected, "{name}");
    }
}

#[test]
fn slots_and_connections_are_limits() {
    let now = Time::from_secs(1);
    let mut gate = gate(2, 3);
    fill(&mut gate, now, 2);
    assert_eq!(gate.offer(now, offer(1, Urgent, now)), Effect::Wait(Request(1)));
    // Two abandoned requests still occupy two of the three connections.
    assert_eq!(gate.finish(now, Request(1_000), Ending::Abandoned), [Effect::Run(Request(1))]);
    assert_eq!(gate.finish(now, Request(1_001), Ending::Abandoned), []);
    assert_eq!(gate.offer(now, offer(2, Urgent, now)), Effect::Wait(Request(2)));
    let freed = now + persimmondrift::admit::gate::LINGER;
    let late = Offer { budget: Millis(9_000), ..offer(3, Urgent, now) };
    assert_eq!(gate.offer(now, late), Effect::Wait(Request(3)));
    assert_eq!(gate.tick(freed), [refused(2, Cause::Expired), Effect::Run(Request(3))]);
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let now = Time::from_secs(1);
    let mut gate = gate(1, 8);
    fill(&mut gate, now, 1);
    assert_eq!(gate.offer(now, offer(1, Interactive, now)), Effect::Wait(Request(1)));
    let (proved, effects) = gate.cancel(now, Request(1), now);
    assert!(proved);
    assert_eq!(effects, [refused(1, Cause::Cancelled)]);
    assert_eq!(gate.waiting(), 0);
    assert_eq!(gate.finish(now, Request(1_000), Ending::Whole), []);
    // A cancellation that arrives before its request must keep the request from running.
    let admit_by = now + Millis(2_000);
    assert_eq!(gate.cancel(now, Request(2), admit_by), (true, Vec::new()));
    assert_eq!(gate.offer(now, offer(2, Urgent, now)), refused(2, Cause::Cancelled));
    assert_eq!(
        gate.cancel(now, Request(1_000), now),
        (false, Vec::new()),
        "a request that ran cannot be cancelled"
    );
}

#[test]
fn urgent_goes_first_and_batch_gets_a_share() {
    let now = Time::from_secs(1);
    let mut gate = gate(1, 8);
    fill(&mut gate, now, 1);
    let mut order = Vec::new();
    for id in 0..30 {
        gate.offer(now, offer(200 + id, Batch, now));
        gate.offer(now, offer(100 + id, Interactive, now));
        gate.offer(now, offer(id, Urgent, now));
    }
    let mut running = Request(1_000);
    for _ in 0..42 {
        let effects = gate.finish(now, running, Ending::Whole);
        let [Effect::Run(next)] = effects[..] else {
            panic!("expected one request to start: {effects:?}")
        };
        order.push(next.0 / 100);
        running = next;
    }
    let count = |class: u128| order.iter().filter(|other| **other == class).count();
    assert_eq!(order[0], 0, "an urgent request is first");
    assert!(count(0) >= 30 && count(1) >= 7 && count(2) >= 2, "{order:?}");
}

#[test]
fn batch_leaves_a_slot_free() {
    let now = Time::from_secs(1);
    let mut gate = gate(8, 64);
    for id in 0..7 {
        assert_eq!(gate.offer(now, offer(id, Batch, now)), Effect::Run(Request(id)));
    }
    assert_eq!(gate.offer(now, offer(7, Batch, now)), Effect::Wait(Request(7)));
    assert_eq!(gate.offer(now, offer(8, Interactive, now)), Effect::Run(Request(8)));
}

#[test]
fn a_request_that_would_outwait_its_deadline_is_refused() {
    let mut now = Time::from_secs(1);
    let mut gate = gate(1, 8);
    // The first request sets the mean service time to one second.
    fill(&mut gate, now, 1);
    now = now + Millis(1_000);
    gate.finish(now, Request(1_000), Ending::Whole);
    assert_eq!(gate.offer(now, offer(1, Interactive, now)), Effect::Run(Request(1)));
    let short = Offer { budget: Millis(1_500), ..offer(2, Interactive, now) };
    assert_eq!(gate.offer(now, short), refused(2, Cause::Overloaded));
    assert_eq!(gate.offer(now, offer(3, Interactive, now)), Effect::Wait(Request(3)));
    assert_eq!(gate.offer(now, offer(4, Interactive, now)), refused(4, Cause::Overloaded));
}

#[test]
fn a_request_that_cannot_end_in_time_does_not_start() {
    let mut now = Time::from_secs(1);
    let mut gate = gate(1, 8);
    fill(&mut gate, now, 1);
    now = now + Millis(1_000);
    gate.finish(now, Request(1_000), Ending::Whole);
    assert_eq!(gate.offer(now, offer(1, Interactive, now)), Effect::Run(Request(1)));
    assert_eq!(gate.offer(now, offer(2, Interactive, now)), Effect::Wait(Request(2)));
    now = now + Millis(1_100);
    let effects = gate.finish(now, Request(1), Ending::Whole);
    assert_eq!(
        effects,
        [refused(2, Cause::Expired)],
        "900 ms are left for a request that takes 1 s"
    );
}

#[test]
fn a_leaving_target_starts_nothing() {
    let now = Time::from_secs(1);
    let mut gate = gate(1, 8);
    fill(&mut gate, now, 1);
    gate.offer(now, offer(1, Interactive, now));
    gate.set_leaving(true);
    assert_eq!(gate.offer(now, offer(2, Urgent, now)), refused(2, Cause::Leaving));
    assert_eq!(gate.finish(now, Request(1_000), Ending::Whole), []);
    assert_eq!(gate.tick(now), [refused(1, Cause::Leaving)]);
}

#[test]
fn an_evicted_request_is_never_reported_as_not_run() {
    let mut gate = gate(1, 8);
    let now = Time::from_secs(1);
    gate.set_leaving(true);
    for id in 0..u128::try_from(MAX_ENDED).expect("fits") + 10 {
        gate.offer(now, offer(id, Batch, now));
    }
    assert!(gate.tracked() <= MAX_ENDED);
    gate.set_leaving(false);
    // A request that may have been evicted is neither admitted nor proven not to have run.
    let copy = gate.offer(now, offer(0, Batch, now));
    assert_eq!(copy, Effect::Reply(Request(0), Outcome::Unknown(UnknownCause::Late)));
}

/// The effects observed for each request.
#[derive(Default)]
struct Observed {
    ran: BTreeMap<Request, u32>,
    not_run: BTreeSet<Request>,
    running: Vec<Request>,
}

impl Observed {
    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Run(request) => {
                    *self.ran.entry(request).or_default() += 1;
                    self.running.push(request);
                    assert!(
                        !self.not_run.contains(&request),
                        "{request:?} ran after proof that it did not run"
                    );
                }
                Effect::Reply(request, Outcome::NotRun(_)) => self.mark_not_run(request),
                Effect::Reply(..) | Effect::Wait(_) => {}
            }
        }
    }

    fn mark_not_run(&mut self, request: Request) {
        assert!(
            !self.ran.contains_key(&request),
            "{request:?} was reported as not run but had run"
        );
        self.not_run.insert(request);
    }
}

#[test]
fn a_request_runs_at_most_once_in_any_order_of_frames() {
    for seed in SEEDS {
        arbtest(check_random_sequence).seed(seed << 32 | ENTROPY).run();
    }
}

fn check_random_sequence(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut gate = gate(4, 6);
    let mut observed = Observed::default();
    let mut now = Time::from_secs(1);
    let mut sent: Vec<Offer> = Vec::new();
    while !u.is_empty() {
        match u.int_in_range(0..=9)? {
            0..=3 => {
                let class = *u.choose(&[Urgent, Interactive, Batch])?;
                let id = u128::try_from(sent.len()).expect("fits");
                let budget = Millis(u.int_in_range(1..=4_000)?);
                let admit_by = now + Millis(u.int_in_range(1..=9_000)?);
                let offer = Offer { request: Request(id), class, budget, admit_by };
                sent.push(offer);
                // The first copy of some calls is lost; a later copy may arrive.
                if u.ratio(4, 5)? {
                    observed.apply(vec![gate.offer(now, offer)]);
                }
            }
            4 | 5 if !sent.is_empty() => {
                let copy = sent[u.choose_index(sent.len())?];
                observed.apply(vec![gate.offer(now, copy)]);
            }
            6 if !sent.is_empty() => {
                let Offer { request, admit_by, .. } = sent[u.choose_index(sent.len())?];
                let (proved, effects) = gate.cancel(now, request, admit_by);
                observed.apply(effects);
                if proved {
                    observed.mark_not_run(request);
                }
            }
            7 | 8 if !observed.running.is_empty() => {
                let index = u.choose_index(observed.running.len())?;
                let request = observed.running.swap_remove(index);
                let ending = *u.choose(&[Ending::Whole, Ending::Abandoned])?;
                observed.apply(gate.finish(now, request, ending));
            }
            _ => {
                now = now + Millis(u.int_in_range(0..=3_000)?);
                observed.apply(gate.tick(now));
            }
        }
        assert!(gate.running() <= 4, "more requests run than there are slots");
        assert_eq!(gate.running() as usize, observed.running.len());
        assert!(observed.ran.values().all(|times| *times == 1), "a request ran more than once");
    }
    Ok(())
}
