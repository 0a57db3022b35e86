//! Faults of messages, agents, workers and the table: all parts run, or none within a lease.

use std::time::Duration;

use persimmondrift::adapter::worker::State;
use persimmondrift::gang::{Coordinator, Effect, Ending, Order, Phase, SLACK};
use persimmondrift::unit::{Attempt, Boot, Time};
use standin::gang::{Calls, JOB, Message, World, allocations, ending, node, planner, spec};

const STEP: Duration = Duration::from_millis(50);
const END: Duration = Duration::from_secs(40);
const FIRST: Attempt = Attempt(1);

/// What happens to a message.
enum Fate {
    Pass,
    Lose,
    /// Delivers it after this many milliseconds.
    Late(u64),
    /// Delivers it at once, and again after this many milliseconds.
    Twice(u64),
}

/// What must come of the attempt.
#[derive(Debug, PartialEq)]
enum Want {
    Runs,
    Over(Ending),
}

struct Case {
    name: &'static str,
    /// The fate of a message, by its number and the seconds since the start.
    fate: fn(u64, u64, &Message) -> Fate,
    /// What happens each step, by the milliseconds since the start.
    event: fn(&mut Scene, u64),
    /// Whether the table takes the attempt in.
    written: bool,
    want: Want,
}

struct Scene {
    world: World,
    planner: Coordinator,
    late: Vec<(Time, Message)>,
    /// Agents that do nothing.
    paused: [bool; 2],
    ended: Option<Ending>,
    starts: usize,
}

fn has(message: &Message, index: usize, wanted: fn(&Order) -> bool) -> bool {
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

fn from(message: &Message, index: usize) -> bool {
    matches!(message, Message::Report(from, _) if *from == index)
}

fn lose_if(lost: bool) -> Fate {
    if lost { Fate::Lose } else { Fate::Pass }
}

fn stops_at(scene: &mut Scene, at: u64, millis: u64) {
    if millis == at {
        let effects = scene.planner.stop(scene.world.now, JOB);
        scene.take(effects);
    }
}

const CALM: Case = Case {
    name: "no fault",
    fate: |_, _, _| Fate::Pass,
    event: |_, _| {},
    written: true,
    want: Want::Runs,
};

fn stopped() -> Want {
    Want::Over(Ending::Stopped)
}

fn failed() -> Want {
    Want::Over(Ending::Failed(node(1)))
}

fn start_cases() -> Vec<Case> {
    vec![
        CALM,
        Case { name: "a prepare is lost", fate: |n, _, _| lose_if(n == 0), ..CALM },
        Case {
            name: "every prepare to one agent is lost",
            fate: |_, _, m| lose_if(has(m, 1, prepare)),
            want: stopped(),
            ..CALM
        },
        Case { name: "a report of a hold is lost", fate: |n, _, _| lose_if(n == 2), ..CALM },
        Case {
            name: "the first goes to one agent are lost",
            fate: |_, s, m| lose_if(has(m, 1, go) && s < 2),
            ..CALM
        },
        Case {
            name: "every go to one agent is lost, and its hold lapses",
            fate: |_, _, m| lose_if(has(m, 1, go)),
            want: stopped(),
            ..CALM
        },
        Case { name: "all is doubled", fate: |_, _, _| Fate::Twice(700), ..CALM },
        Case { name: "all is late", fate: |_, _, _| Fate::Late(400), ..CALM },
        Case {
            name: "all is reordered",
            fate: |n, _, _| if n % 2 == 0 { Fate::Late(350) } else { Fate::Pass },
            ..CALM
        },
        Case {
            name: "three of ten messages are lost",
            fate: |n, _, _| lose_if((n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) % 10 < 3),
            ..CALM
        },
    ]
}

fn lease_cases() -> Vec<Case> {
    vec![
        Case {
            name: "an agent is not heard any more",
            fate: |_, s, m| lose_if(s >= 3 && from(m, 1)),
            want: stopped(),
            ..CALM
        },
        Case {
            name: "an agent hears no renewal any more",
            fate: |_, s, m| lose_if(s >= 3 && has(m, 1, renew)),
            want: stopped(),
            ..CALM
        },
        Case {
            name: "nobody hears a stop",
            fate: |_, _, m| lose_if(has(m, 0, stop) || has(m, 1, stop)),
            event: |scene, ms| stops_at(scene, 3_000, ms),
            want: stopped(),
            ..CALM
        },
        Case {
            name: "a prepare comes again after the stop",
            fate: |_, _, m| if has(m, 1, prepare) { Fate::Twice(6_000) } else { Fate::Pass },
            event: |scene, ms| stops_at(scene, 2_000, ms),
            want: stopped(),
            ..CALM
        },
        Case {
            name: "a go comes again after the stop",
            fate: |_, _, m| if has(m, 1, go) { Fate::Twice(6_000) } else { Fate::Pass },
            event: |scene, ms| stops_at(scene, 2_000, ms),
            want: stopped(),
            ..CALM
        },
        Case {
            name: "a go comes late, after the stop, which is lost",
            fate: |_, _, m| match () {
                () if has(m, 1, go) => Fate::Late(2_500),
                () if has(m, 1, stop) => Fate::Lose,
                () => Fate::Pass,
            },
            event: |scene, ms| stops_at(scene, 1_000, ms),
            want: stopped(),
            ..CALM
        },
        Case {
            name: "a renewal is late by nearly a lease",
            fate: |_, s, m| match () {
                () if s < 5 => Fate::Pass,
                () if s == 5 && has(m, 0, renew) => Fate::Late(9_000),
                () => lose_if(has(m, 0, renew) || has(m, 1, renew) || has(m, 0, stop)),
            },
            want: stopped(),
            ..CALM
        },
        Case {
            name: "an agent pauses for longer than its lease",
            event: |scene, ms| scene.paused[1] = (3_000..18_000).contains(&ms),
            want: stopped(),
            ..CALM
        },
        Case {
            name: "an agent pauses for less than its lease",
            event: |scene, ms| scene.paused[1] = (3_000..8_000).contains(&ms),
            ..CALM
        },
    ]
}

fn worker_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a worker refuses to start",
            event: |scene, _| scene.world.sides[1].calls = Calls::Refuse,
            want: failed(),
            ..CALM
        },
        Case {
            name: "a worker starts and its answer is lost",
            event: |scene, _| scene.world.sides[1].calls = Calls::LoseAnswer,
            ..CALM
        },
        Case {
            name: "a worker loses every start",
            event: |scene, _| scene.world.sides[1].calls = Calls::Lose,
            want: failed(),
            ..CALM
        },
        Case {
            name: "a worker loses the first start",
            event: |scene, ms| {
                scene.world.sides[1].calls = if ms < 300 { Calls::Lose } else { Calls::Work };
            },
            ..CALM
        },
        Case {
            name: "a worker answers no call any more",
            event: |scene, ms| {
                if ms == 3_000 {
                    scene.world.sides[1].calls = Calls::Silent;
                }
            },
            want: stopped(),
            ..CALM
        },
        Case {
            name: "a worker answers no call for less than a lease",
            event: |scene, ms| {
                let silent = (3_000..9_000).contains(&ms);
                scene.world.sides[1].calls = if silent { Calls::Silent } else { Calls::Work };
            },
            ..CALM
        },
        Case {
            name: "a worker's timer ends the part",
            event: |scene, ms| {
                let ends = ms == 3_000;
                scene.set(1, State::Stopped, ends);
            },
            want: stopped(),
            ..CALM
        },
        Case {
            name: "a part ends badly",
            event: |scene, ms| scene.set(1, State::Failed, ms == 3_000),
            want: failed(),
            ..CALM
        },
        Case {
            name: "all parts end well, one after the other",
            event: |scene, ms| {
                scene.set(0, State::Finished, ms == 3_000);
                scene.set(1, State::Finished, ms == 5_000);
            },
            want: Want::Over(Ending::Finished),
            ..CALM
        },
        Case {
            name: "a worker forgets its parts",
            event: |scene, ms| {
                if ms == 3_000 {
                    scene.world.sides[1].runs.clear();
                }
            },
            want: stopped(),
            ..CALM
        },
    ]
}

fn loss_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a silent agent is given up while its worker goes on",
            fate: |_, s, m| lose_if(s >= 3 && (from(m, 1) || matches!(m, Message::Command(1, _)))),
            event: |scene, ms| {
                if ms == 5_000 {
                    let effects = scene.planner.lost(scene.world.now, &node(1));
                    scene.take(effects);
                }
            },
            want: stopped(),
            ..CALM
        },
        Case {
            name: "an agent is restarted while its worker goes on",
            event: |scene, ms| {
                if ms == 3_000 {
                    scene.world.restart(1, 9);
                    scene.planner.put_agent(scene.world.now, &node(1), Boot(9));
                    let lost = scene.planner.lost(scene.world.now, &node(1));
                    scene.take(lost);
                }
            },
            want: stopped(),
            ..CALM
        },
        Case {
            name: "the table does not take the attempt in",
            written: false,
            want: Want::Over(Ending::Unwritten),
            ..CALM
        },
    ]
}

impl Scene {
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

    fn take(&mut self, effects: Vec<Effect>) -> bool {
        let others = self.world.send(effects);
        if let Some(ending) = ending(&others) {
            assert_eq!(self.ended.replace(ending), None, "it ends once");
        }
        others.iter().any(|effect| matches!(effect, Effect::Record { .. }))
    }

    fn set(&mut self, index: usize, state: State, happens: bool) {
        let runs = self.world.sides[index].runs.values_mut();
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
                if self.take(effects) {
                    let effects = self.planner.recorded(now, JOB, FIRST, written);
                    self.take(effects);
                }
            }
        }
    }

    fn step(&mut self, case: &Case, count: &mut u64, millis: u64) {
        let now = self.world.now;
        let effects = self.planner.tick(now);
        self.take(effects);
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
        while let Some(message) = (!self.world.wire.is_empty()).then(|| self.world.wire.remove(0)) {
            let fate = (case.fate)(*count, millis / 1_000, &message);
            *count += 1;
            let after = |ms: u64| now + Duration::from_millis(ms);
            match fate {
                Fate::Lose => {}
                Fate::Late(ms) => self.late.push((after(ms), message)),
                Fate::Twice(ms) => {
                    self.late.push((after(0), message.clone()));
                    self.late.push((after(ms), message));
                }
                Fate::Pass => self.late.push((now, message)),
            }
        }
    }

    fn run(&mut self, case: &Case) {
        let begin = self.world.now;
        for index in 0..2 {
            self.planner.put_agent(begin, &node(index), Boot(1 + index as u64));
        }
        let effects = self.planner.begin(begin, JOB, FIRST, spec(), allocations());
        self.take(effects);
        let (mut count, mut both) = (0, false);
        while self.world.now.since(begin) < END {
            let millis = u64::try_from(self.world.now.since(begin).as_millis()).expect("small");
            (case.event)(self, millis);
            self.step(case, &mut count, millis);
            let running = [0, 1].map(|index| self.world.running(index).is_some());
            self.starts += usize::from(running == [true, true] && !both);
            both = running == [true, true];
            if self.ended.is_some() {
                assert_eq!(running, [false, false], "{}: over, yet it runs", case.name);
            } else if let Err(error) = self.world.check() {
                panic!("{}: {error}", case.name);
            }
            self.world.pass(STEP);
        }
    }
}

#[test]
fn all_parts_run_or_none() {
    for case in [start_cases(), lease_cases(), worker_cases(), loss_cases()].into_iter().flatten() {
        let mut scene = Scene::new();
        scene.run(&case);
        let running = [0, 1].map(|index| scene.world.running(index).is_some());
        let found = match scene.ended.take() {
            Some(ending) => Want::Over(ending),
            None if running == [true, true] => Want::Runs,
            None => panic!("{}: {running:?} run and it is not over", case.name),
        };
        assert_eq!(found, case.want, "{}", case.name);
        assert!(scene.starts <= 1, "{}: it ran {} times", case.name, scene.starts);
    }
}

/// Until a silent agent's lease has ended, its part may run, and its accelerators count.
#[test]
fn lost_worker_counts_until_its_lease_ends() {
    let mut scene = Scene::new();
    let case = Case {
        fate: |_, s, m| lose_if(s >= 3 && (from(m, 1) || matches!(m, Message::Command(1, _)))),
        event: |scene, ms| {
            if ms == 4_000 {
                let effects = scene.planner.lost(scene.world.now, &node(1));
                scene.take(effects);
                let end = scene.planner.lease_end(JOB).expect("it is not over");
                assert!(end + SLACK > scene.world.now);
            }
            if ms == 9_000 {
                assert_eq!(scene.ended, None, "over before the lease has ended");
                assert!(scene.world.running(1).is_some());
            }
        },
        want: Want::Over(Ending::Stopped),
        ..CALM
    };
    scene.run(&case);
    assert_eq!(scene.ended, Some(Ending::Stopped));
}

/// An older planner, or one that means an earlier start of the agent, is not obeyed.
#[test]
fn older_planners_are_not_obeyed() {
    let mut world = World::default();
    let mut planners = [planner(1), planner(2)];
    for planner in &mut planners {
        planner.put_agent(world.now, &node(0), Boot(1));
        planner.put_agent(world.now, &node(1), Boot(2));
    }
    let [old, new] = &mut planners;
    let survey = new.survey(world.now, &node(0));
    world.send(survey);
    let prepares = old.begin(world.now, JOB, FIRST, spec(), allocations());
    world.send(prepares);
    let [survey, first, _] = &world.wire.clone()[..] else {
        panic!("three commands");
    };
    let (Message::Command(0, survey), Message::Command(0, first)) = (survey, first) else {
        panic!("commands to the first agent");
    };
    world.command(0, survey.clone());
    world.command(0, first.clone());
    assert!(world.sides[0].holder.is_empty(), "an old planner was obeyed");
    world.restart(0, 9);
    world.command(0, first.clone());
    assert!(world.sides[0].holder.is_empty(), "a command for an earlier start was obeyed");
}

/// The end of a part is remembered for longer than that of any part which ended before.
#[test]
fn the_oldest_end_is_forgotten_first() {
    let mut world = World::default();
    let mut planner = planner(1);
    planner.put_agent(world.now, &node(0), Boot(1));
    let task = |job| persimmondrift::gang::Task {
        job: persimmondrift::unit::Job(job),
        attempt: FIRST,
        part: persimmondrift::unit::Part(0),
    };
    let last = 5_000;
    for job in (0..=last).rev() {
        let stops = planner.stray(world.now, &node(0), task(job));
        world.send(stops);
        let Some(Message::Command(0, command)) = world.wire.pop() else {
            panic!("a command");
        };
        world.command(0, command);
        world.wire.clear();
    }
    // Job 0 was stopped last: a late prepare must find it gone.
    let allocations = allocations()[..1].to_vec();
    let effects =
        planner.begin(world.now, persimmondrift::unit::Job(0), FIRST, spec(), allocations);
    world.send(effects);
    let Some(Message::Command(0, command)) = world.wire.pop() else {
        panic!("a command");
    };
    world.command(0, command);
    let Some(Message::Report(0, report)) = world.wire.pop() else {
        panic!("a report");
    };
    assert_eq!(report.holdings[0].phase, Phase::Gone);
}
