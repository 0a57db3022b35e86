//! Faults of messages, agents, workers and the table: either all parts run, or no part runs for
//! longer than a lease.

use std::time::Duration;

use persimmondrift::adapter::worker::State;
use persimmondrift::gang::{Coordinator, Effect, Ending, Order, Phase, STOP_GRACE};
use persimmondrift::unit::{Attempt, Boot, Time};
use standin::gang::{CallBehavior, JOB, Message, World, allocations, ending, node, planner, spec};

const STEP: Duration = Duration::from_millis(50);
const END: Duration = Duration::from_secs(40);
const FIRST: Attempt = Attempt(1);

/// The delivery of a message.
enum Delivery {
    Deliver,
    Lose,
    /// Delivers it after this many milliseconds.
    Late(u64),
    /// Delivers it at once, and again after this many milliseconds.
    Duplicate(u64),
}

/// The expected end of a case.
#[derive(Debug, PartialEq)]
enum Expected {
    Runs,
    Over(Ending),
}

struct Case {
    name: &'static str,
    /// Chooses the delivery of a message by its number and the seconds since the start.
    delivery: fn(u64, u64, &Message) -> Delivery,
    /// Injects faults at each step, by the milliseconds since the start.
    event: fn(&mut Harness, u64),
    /// Whether the table accepts the attempt.
    written: bool,
    expected: Expected,
}

struct Harness {
    world: World,
    planner: Coordinator,
    late: Vec<(Time, Message)>,
    /// Agents that process nothing.
    paused: [bool; 2],
    ended: Option<Ending>,
    starts: usize,
}

fn contains(message: &Message, index: usize, wanted: fn(&Order) -> bool) -> bool {
    matches!(message, Message::Command(to, command)
        if *to == index && command.directions.iter().any(|d| wanted(&d.order)))
}

fn prepare(order: &Order) -> bool {
    matches!(order, Order::Prepare { .. })
}

fn go(order: &Order) -> bool {
    matches!(order, Order::Go { .. })
}

fn renew(order: &Order) -> bool {
    matches!(order, Order::Renew { .. })
}

fn stop(order: &Order) -> bool {
    matches!(order, Order::Stop)
}

fn is_report_from(message: &Message, index: usize) -> bool {
    matches!(message, Message::Report(from, _) if *from == index)
}

fn lose_if(lost: bool) -> Delivery {
    if lost { Delivery::Lose } else { Delivery::Deliver }
}

fn stop_attempt_at(harness: &mut Harness, at: u64, millis: u64) {
    if millis == at {
        let effects = harness.planner.stop(harness.world.now, JOB);
        harness.apply(effects);
    }
}

const NO_FAULT: Case = Case {
    name: "no fault",
    delivery: |_, _, _| Delivery::Deliver,
    event: |_, _| {},
    written: true,
    expected: Expected::Runs,
};

fn stopped() -> Expected {
    Expected::Over(Ending::Stopped)
}

fn failed() -> Expected {
    Expected::Over(Ending::Failed(node(1)))
}

fn start_cases() -> Vec<Case> {
    vec![
        NO_FAULT,
        Case { name: "a prepare is lost", delivery: |n, _, _| lose_if(n == 0), ..NO_FAULT },
        Case {
            name: "every prepare to one agent is lost",
            delivery: |_, _, m| lose_if(contains(m, 1, prepare)),
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "a report of a hold is lost",
            delivery: |n, _, _| lose_if(n == 2),
            ..NO_FAULT
        },
        Case {
            name: "every go to one agent is lost for two seconds",
            delivery: |_, s, m| lose_if(contains(m, 1, go) && s < 2),
            ..NO_FAULT
        },
        Case {
            name: "every go to one agent is lost until its hold expires",
            delivery: |_, _, m| lose_if(contains(m, 1, go)),
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "every message is duplicated",
            delivery: |_, _, _| Delivery::Duplicate(700),
            ..NO_FAULT
        },
        Case { name: "every message is late", delivery: |_, _, _| Delivery::Late(400), ..NO_FAULT },
        Case {
            name: "messages are reordered",
            delivery: |n, _, _| if n % 2 == 0 { Delivery::Late(350) } else { Delivery::Deliver },
            ..NO_FAULT
        },
        Case {
            name: "three of ten messages are lost",
            delivery: |n, _, _| lose_if((n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) % 10 < 3),
            ..NO_FAULT
        },
    ]
}

fn lease_cases() -> Vec<Case> {
    vec![
        Case {
            name: "all further reports of an agent are lost",
            delivery: |_, s, m| lose_if(s >= 3 && is_report_from(m, 1)),
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "all further renewals to an agent are lost",
            delivery: |_, s, m| lose_if(s >= 3 && contains(m, 1, renew)),
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "every stop is lost",
            delivery: |_, _, m| lose_if(contains(m, 0, stop) || contains(m, 1, stop)),
            event: |harness, ms| stop_attempt_at(harness, 3_000, ms),
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "a duplicate prepare arrives after the stop",
            delivery: |_, _, m| {
                if contains(m, 1, prepare) { Delivery::Duplicate(6_000) } else { Delivery::Deliver }
            },
            event: |harness, ms| stop_attempt_at(harness, 2_000, ms),
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "a duplicate go arrives after the stop",
            delivery: |_, _, m| {
                if contains(m, 1, go) { Delivery::Duplicate(6_000) } else { Delivery::Deliver }
            },
            event: |harness, ms| stop_attempt_at(harness, 2_000, ms),
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "a late go arrives after a stop that was lost",
            delivery: |_, _, m| match () {
                () if contains(m, 1, go) => Delivery::Late(2_500),
                () if contains(m, 1, stop) => Delivery::Lose,
                () => Delivery::Deliver,
            },
            event: |harness, ms| stop_attempt_at(harness, 1_000, ms),
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "a renewal is late by nearly a lease",
            delivery: |_, s, m| match () {
                () if s < 5 => Delivery::Deliver,
                () if s == 5 && contains(m, 0, renew) => Delivery::Late(9_000),
                () => {
                    lose_if(contains(m, 0, renew) || contains(m, 1, renew) || contains(m, 0, stop))
                }
            },
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "an agent pauses for longer than its lease",
            event: |harness, ms| harness.paused[1] = (3_000..18_000).contains(&ms),
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "an agent pauses for less than its lease",
            event: |harness, ms| harness.paused[1] = (3_000..8_000).contains(&ms),
            ..NO_FAULT
        },
    ]
}

fn worker_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a worker refuses to start",
            event: |harness, _| harness.world.agents[1].call_behavior = CallBehavior::Refuse,
            expected: failed(),
            ..NO_FAULT
        },
        Case {
            name: "a worker starts and its answer is lost",
            event: |harness, _| harness.world.agents[1].call_behavior = CallBehavior::LoseAnswer,
            ..NO_FAULT
        },
        Case {
            name: "every start call to a worker is lost",
            event: |harness, _| harness.world.agents[1].call_behavior = CallBehavior::LoseCall,
            expected: failed(),
            ..NO_FAULT
        },
        Case {
            name: "the first start call to a worker is lost",
            event: |harness, ms| {
                harness.world.agents[1].call_behavior =
                    if ms < 300 { CallBehavior::LoseCall } else { CallBehavior::Execute };
            },
            ..NO_FAULT
        },
        Case {
            name: "a worker stops answering calls",
            event: |harness, ms| {
                if ms == 3_000 {
                    harness.world.agents[1].call_behavior = CallBehavior::Silent;
                }
            },
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "a worker answers no calls for less than a lease",
            event: |harness, ms| {
                let silent = (3_000..9_000).contains(&ms);
                harness.world.agents[1].call_behavior =
                    if silent { CallBehavior::Silent } else { CallBehavior::Execute };
            },
            ..NO_FAULT
        },
        Case {
            name: "a worker's timer ends the part",
            event: |harness, ms| {
                let ends = ms == 3_000;
                harness.set_running_to(1, State::Stopped, ends);
            },
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "a part fails",
            event: |harness, ms| harness.set_running_to(1, State::Failed, ms == 3_000),
            expected: failed(),
            ..NO_FAULT
        },
        Case {
            name: "all parts finish one after the other",
            event: |harness, ms| {
                harness.set_running_to(0, State::Finished, ms == 3_000);
                harness.set_running_to(1, State::Finished, ms == 5_000);
            },
            expected: Expected::Over(Ending::Finished),
            ..NO_FAULT
        },
        Case {
            name: "a worker loses its list of parts",
            event: |harness, ms| {
                if ms == 3_000 {
                    harness.world.agents[1].runs.clear();
                }
            },
            expected: stopped(),
            ..NO_FAULT
        },
    ]
}

fn loss_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a silent agent is declared lost while its worker keeps running",
            delivery: |_, s, m| {
                lose_if(s >= 3 && (is_report_from(m, 1) || matches!(m, Message::Command(1, _))))
            },
            event: |harness, ms| {
                if ms == 5_000 {
                    let effects = harness.planner.worker_lost(harness.world.now, &node(1));
                    harness.apply(effects);
                }
            },
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "an agent restarts while its worker keeps running",
            event: |harness, ms| {
                if ms == 3_000 {
                    harness.world.restart(1, 9);
                    harness.planner.register_agent(harness.world.now, &node(1), Boot(9));
                    let lost = harness.planner.worker_lost(harness.world.now, &node(1));
                    harness.apply(lost);
                }
            },
            expected: stopped(),
            ..NO_FAULT
        },
        Case {
            name: "the table does not record the attempt",
            written: false,
            expected: Expected::Over(Ending::Unwritten),
            ..NO_FAULT
        },
    ]
}

impl Harness {
    fn new() -> Self {
        Self {
            world: World::default(),
            planner: planner(1),
            late: Vec::new(),
            paused: [false; 2],
            ended: None,
            starts: 0,
        }
    }

    fn apply(&mut self, effects: Vec<Effect>) -> bool {
        let others = self.world.send(effects);
        if let Some(ending) = ending(&others) {
            assert_eq!(self.ended.replace(ending), None, "the attempt ended twice");
        }
        others.iter().any(|effect| matches!(effect, Effect::Record { .. }))
    }

    fn set_running_to(&mut self, index: usize, state: State, happens: bool) {
        let runs = self.world.agents[index].runs.values_mut();
        for run in runs.filter(|run| happens && run.state == State::Running) {
            run.state = state;
        }
    }

    fn deliver(&mut self, message: Message, written: bool) {
        let now = self.world.now;
        match message {
            Message::Command(index, command) => self.world.command(index, command),
            Message::Report(index, report) => {
                let effects = self.planner.report(now, &node(index), &report);
                if self.apply(effects) {
                    let effects = self.planner.recorded(now, JOB, FIRST, written);
                    self.apply(effects);
                }
            }
        }
    }

    fn step(&mut self, case: &Case, count: &mut u64, millis: u64) {
        let now = self.world.now;
        let effects = self.planner.tick(now);
        self.apply(effects);
        for index in 0..2 {
            if !self.paused[index] {
                self.world.tick(index);
                if millis.is_multiple_of(200) {
                    self.world.list(index);
                }
            }
        }
        let late = std::mem::take(&mut self.late);
        for (due, message) in late {
            let paused = matches!(message, Message::Command(index, _) if self.paused[index]);
            if due <= now && !paused {
                self.deliver(message, case.written);
            } else {
                self.late.push((due, message));
            }
        }
        while let Some(message) =
            (!self.world.in_flight.is_empty()).then(|| self.world.in_flight.remove(0))
        {
            let delivery = (case.delivery)(*count, millis / 1_000, &message);
            *count += 1;
            let after = |ms: u64| now + Duration::from_millis(ms);
            match delivery {
                Delivery::Lose => {}
                Delivery::Late(ms) => self.late.push((after(ms), message)),
                Delivery::Duplicate(ms) => {
                    self.late.push((after(0), message.clone()));
                    self.late.push((after(ms), message));
                }
                Delivery::Deliver => self.late.push((now, message)),
            }
        }
    }

    fn run(&mut self, case: &Case) {
        let begin = self.world.now;
        for index in 0..2 {
            self.planner.register_agent(begin, &node(index), Boot(1 + index as u64));
        }
        let effects = self.planner.begin(begin, JOB, FIRST, spec(), allocations());
        self.apply(effects);
        let (mut count, mut both) = (0, false);
        while self.world.now.since(begin) < END {
            let millis = u64::try_from(self.world.now.since(begin).as_millis())
                .expect("run time fits into 64 bits");
            (case.event)(self, millis);
            self.step(case, &mut count, millis);
            let running = [0, 1].map(|index| self.world.running(index).is_some());
            self.starts += usize::from(running == [true, true] && !both);
            both = running == [true, true];
            if self.ended.is_some() {
                assert_eq!(
                    running,
                    [false, false],
                    "{}: a part runs after the attempt ended",
                    case.name
                );
            } else if let Err(error) = self.world.check() {
                panic!("{}: {error}", case.name);
            }
            self.world.advance(STEP);
        }
    }
}

#[test]
fn all_parts_run_or_none() {
    for case in [start_cases(), lease_cases(), worker_cases(), loss_cases()].into_iter().flatten() {
        let mut harness = Harness::new();
        harness.run(&case);
        let running = [0, 1].map(|index| harness.world.running(index).is_some());
        let found = match harness.ended.take() {
            Some(ending) => Expected::Over(ending),
            None if running == [true, true] => Expected::Runs,
            None => panic!("{}: the attempt has not ended, running parts: {running:?}", case.name),
        };
        assert_eq!(found, case.expected, "{}", case.name);
        assert!(harness.starts <= 1, "{}: all parts started {} times", case.name, harness.starts);
    }
}

/// An attempt must not end before the lease of a silent agent has ended: until then the part may
/// still run and occupy its accelerators.
#[test]
fn attempt_on_a_lost_worker_ends_only_after_its_lease() {
    let mut harness = Harness::new();
    let case = Case {
        delivery: |_, s, m| {
            lose_if(s >= 3 && (is_report_from(m, 1) || matches!(m, Message::Command(1, _))))
        },
        event: |harness, ms| {
            if ms == 4_000 {
                let effects = harness.planner.worker_lost(harness.world.now, &node(1));
                harness.apply(effects);
                let end = harness.planner.lease_end(JOB).expect("the attempt has not ended");
                assert!(end + STOP_GRACE > harness.world.now);
            }
            if ms == 9_000 {
                assert_eq!(harness.ended, None, "the attempt ended before the lease");
                assert!(harness.world.running(1).is_some());
            }
        },
        expected: Expected::Over(Ending::Stopped),
        ..NO_FAULT
    };
    harness.run(&case);
    assert_eq!(harness.ended, Some(Ending::Stopped));
}

/// Guards against an agent that obeys a planner of an older epoch, or a command addressed to an
/// earlier incarnation of the agent.
#[test]
fn commands_from_older_epochs_or_for_earlier_boots_are_ignored() {
    let mut world = World::default();
    let mut planners = [planner(1), planner(2)];
    for planner in &mut planners {
        planner.register_agent(world.now, &node(0), Boot(1));
        planner.register_agent(world.now, &node(1), Boot(2));
    }
    let [old, new] = &mut planners;
    let survey = new.survey(world.now, &node(0));
    world.send(survey);
    let prepares = old.begin(world.now, JOB, FIRST, spec(), allocations());
    world.send(prepares);
    let [survey, first, _] = &world.in_flight.clone()[..] else {
        panic!("expected one survey and two prepares");
    };
    let (Message::Command(0, survey), Message::Command(0, first)) = (survey, first) else {
        panic!("expected commands to the first agent");
    };
    world.command(0, survey.clone());
    world.command(0, first.clone());
    assert!(world.agents[0].holder.is_empty(), "a command of an older epoch was obeyed");
    world.restart(0, 9);
    world.command(0, first.clone());
    assert!(world.agents[0].holder.is_empty(), "a command for an earlier incarnation was obeyed");
}

/// Guards against eviction of a recent tombstone, after which a late prepare would start an ended
/// part again.
#[test]
fn the_oldest_tombstone_is_evicted_first() {
    let mut world = World::default();
    let mut planner = planner(1);
    planner.register_agent(world.now, &node(0), Boot(1));
    let task = |job| persimmondrift::gang::Task {
        job: persimmondrift::unit::Job(job),
        attempt: FIRST,
        part: persimmondrift::unit::Part(0),
    };
    let last = 5_000;
    for job in (0..=last).rev() {
        let stops = planner.stop_stray(world.now, &node(0), task(job));
        world.send(stops);
        let Some(Message::Command(0, command)) = world.in_flight.pop() else {
            panic!("expected a command");
        };
        world.command(0, command);
        world.in_flight.clear();
    }
    // Job 0 was stopped last, so a late prepare must find it gone.
    let allocations = allocations()[..1].to_vec();
    let effects =
        planner.begin(world.now, persimmondrift::unit::Job(0), FIRST, spec(), allocations);
    world.send(effects);
    let Some(Message::Command(0, command)) = world.in_flight.pop() else {
        panic!("expected a command");
    };
    world.command(0, command);
    let Some(Message::Report(0, report)) = world.in_flight.pop() else {
        panic!("expected a report");
    };
    assert_eq!(report.holdings[0].phase, Phase::Gone);
}
