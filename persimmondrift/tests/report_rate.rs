//! The rate of the agents' reports, against partitions of the store that apply 200 a second each.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use persimmondrift::cell::pace::{MAX_REPORT_INTERVAL, Pace, REPORT_INTERVAL};
use persimmondrift::cell::table::CALL_TIMEOUT;

/// Number of partitions that the reports share.
const PARTITIONS: usize = 2;
/// Time that a partition takes for a transaction, in milliseconds.
const TRANSACTION_MS: u64 = 5;
/// Backlog of a partition from which on it refuses further transactions, in milliseconds.
const MAX_BACKLOG_MS: u64 = 1_000;
/// Time of a trip to the store and back, in milliseconds.
const TRIP_MS: u64 = 70;
/// Pause of an agent after a commit without an answer, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;
/// Silence after which an agent gets no new work, in milliseconds.
const MAX_SILENCE_MS: u64 = 2_400;
/// Time that the agents have to adapt, in milliseconds.
const WARM_UP_MS: u64 = 10_000;
const END_MS: u64 = 40_000;

#[derive(Debug, Default)]
struct Agent {
    pace: Pace,
    sent_ms: u64,
    is_urgent: bool,
    is_waiting: bool,
    stored_ms: u64,
    longest_silence_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A run on the agent's worker ends.
    RunEnds,
    /// A report may be due.
    Due,
    /// The commit that was sent last was answered after this many milliseconds.
    Answered(u64),
    /// The commit that was sent last got no answer, or was refused.
    Unanswered,
}

/// What the agents saw after the warm-up.
#[derive(Debug, Default)]
struct Outcome {
    unanswered: usize,
    longest_silence_ms: u64,
}

/// Simulates agents on whose workers a run ends `ends_per_minute` times a minute each.
fn simulate(agents: usize, ends_per_minute: u64, seed: u64) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut fleet: Vec<Agent> = (0..agents).map(|_| Agent::default()).collect();
    let mut free_ms = [0_u64; PARTITIONS];
    let mut outcome = Outcome::default();
    let mut events = BinaryHeap::new();
    for index in 0..agents {
        events.push(Reverse((random.u64(0..800), index, Event::Due)));
        events.push(Reverse((random.u64(0..60_000 / ends_per_minute), index, Event::RunEnds)));
    }
    while let Some(Reverse((now_ms, index, event))) = events.pop() {
        if now_ms >= END_MS {
            break;
        }
        let agent = &mut fleet[index];
        match event {
            Event::RunEnds => {
                agent.is_urgent = true;
                let next_ms = now_ms + random.u64(1..120_000 / ends_per_minute);
                events.push(Reverse((next_ms, index, Event::RunEnds)));
            }
            Event::Due => {}
            Event::Answered(took_ms) => {
                agent.is_waiting = false;
                agent.pace.record_commit(Duration::from_millis(took_ms));
                if now_ms > WARM_UP_MS {
                    let silence_ms = now_ms - agent.stored_ms.max(WARM_UP_MS);
                    agent.longest_silence_ms = agent.longest_silence_ms.max(silence_ms);
                }
                agent.stored_ms = now_ms;
            }
            Event::Unanswered => {
                agent.is_waiting = false;
                agent.is_urgent = true;
                agent.pace.record_unanswered();
                outcome.unanswered += usize::from(now_ms > WARM_UP_MS);
            }
        }
        if agent.is_waiting {
            continue;
        }
        let pause = if agent.is_urgent { agent.pace.min_gap() } else { agent.pace.interval() };
        let due_ms = agent.sent_ms + u64::try_from(pause.as_millis()).expect("a short pause");
        if now_ms < due_ms {
            events.push(Reverse((due_ms, index, Event::Due)));
            continue;
        }
        (agent.is_urgent, agent.is_waiting, agent.sent_ms) = (false, true, now_ms);
        let free = &mut free_ms[index % PARTITIONS];
        if *free > now_ms + MAX_BACKLOG_MS {
            let retry_ms = now_ms + TRIP_MS + RETRY_PAUSE_MS;
            events.push(Reverse((retry_ms, index, Event::Unanswered)));
            continue;
        }
        *free = (*free).max(now_ms) + TRANSACTION_MS;
        let took_ms = *free - now_ms + TRIP_MS;
        let timeout_ms = u64::try_from(CALL_TIMEOUT.as_millis()).expect("a short timeout");
        let (at_ms, answer) = if took_ms <= timeout_ms {
            (now_ms + took_ms, Event::Answered(took_ms))
        } else {
            (now_ms + timeout_ms + RETRY_PAUSE_MS, Event::Unanswered)
        };
        events.push(Reverse((at_ms, index, answer)));
    }
    let silences = fleet
        .iter()
        .map(|agent| agent.longest_silence_ms.max(END_MS - agent.stored_ms.max(WARM_UP_MS)));
    outcome.longest_silence_ms = silences.max().unwrap_or(0);
    outcome
}

/// Guards against reports that wait longer in the store than a call's timeout, as 320 agents at the
/// interval for a few do, so that no report of an agent is answered any more.
#[test]
fn reports_of_many_agents_are_answered() {
    for seed in 0..4 {
        for ends_per_minute in [6, 60] {
            let outcome = simulate(320, ends_per_minute, seed);
            assert_eq!(outcome.unanswered, 0, "{ends_per_minute} ends a minute, seed {seed}");
            assert!(outcome.longest_silence_ms < MAX_SILENCE_MS, "{outcome:?} seed {seed}");
        }
    }
}

#[test]
fn few_agents_report_at_once() {
    let outcome = simulate(24, 60, 1);
    assert_eq!(outcome.unanswered, 0);
    let mut pace = Pace::default();
    for _ in 0..100 {
        pace.record_commit(Duration::from_millis(75));
    }
    assert_eq!((pace.interval(), pace.min_gap()), (REPORT_INTERVAL, Duration::ZERO));
}

#[test]
fn interval_recovers() {
    let mut pace = Pace::default();
    pace.record_unanswered();
    assert_eq!(pace.interval(), MAX_REPORT_INTERVAL);
    for _ in 0..20 {
        pace.record_commit(Duration::from_millis(75));
    }
    assert_eq!(pace.interval(), REPORT_INTERVAL);
}
