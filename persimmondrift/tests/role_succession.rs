//! A new planner goes on where the earlier one stopped, and two of them do no harm.

use std::collections::BTreeMap;
use std::time::Duration;

use persimmondrift::adapter::worker::State as RunState;
use persimmondrift::config::{Change, Config};
use persimmondrift::entry::role::{Effect, Recorded, Role, Try};
use persimmondrift::gang::Order;
use persimmondrift::member::{Announce, Capacity, Load, Location, State};
use persimmondrift::place::Outcome;
use persimmondrift::unit::{
    Accelerators, Attempt, Boot, Connections, Cores, Epoch, Mebibytes, Node, Slots, Time, Version,
    Zone,
};
use standin::gang::{JOB, Message, World, node, spec};

const STEP: Duration = Duration::from_millis(50);
const LONG: u64 = 40_000;

/// The rows of the table that planners write.
#[derive(Default)]
struct Table {
    epoch: Epoch,
    attempts: BTreeMap<u64, (Zone, Attempt, Vec<Node>)>,
    ends: Vec<Outcome>,
    /// Calls that end a job, those that fail included.
    end_calls: usize,
    down: bool,
}

struct Scene {
    world: World,
    table: Table,
    /// The planners; a stopped one is none.
    roles: Vec<Option<Role>>,
    /// Planners that do nothing for a while.
    paused: Vec<bool>,
    /// Agents that hear and say nothing.
    cut: [bool; 2],
    /// Commands that arrive at agents, by epoch.
    commands: BTreeMap<u64, usize>,
    zone: &'static str,
}

fn said() -> Announce {
    let place = Location {
        region: "r".parse().expect("valid"),
        zone: "z".parse().expect("valid"),
        rack: "k".parse().expect("valid"),
    };
    let capacity = Capacity {
        slots: Slots(8),
        connections: Connections(64),
        accelerators: Accelerators(8),
        cores: Cores(32),
        memory: Mebibytes(1 << 17),
    };
    Announce {
        service: "s".parse().expect("valid"),
        place,
        address: ([127, 0, 0, 1], 1).into(),
        capacity,
        load: Load::default(),
        state: State::Serving,
        version: Version(0),
        tasks: Vec::new(),
    }
}

impl Scene {
    fn new() -> Self {
        Self {
            world: World::default(),
            table: Table::default(),
            roles: Vec::new(),
            paused: Vec::new(),
            cut: [false; 2],
            commands: BTreeMap::new(),
            zone: "z",
        }
    }

    /// Lets a new planner take the role, with or without the job in its configuration.
    fn succeed(&mut self, job: bool) {
        self.table.epoch = self.table.epoch.next();
        let zone = self.zone.parse().expect("valid");
        let mut role = Role::new(self.world.now, zone, self.table.epoch);
        for index in 0..2 {
            role.put_worker(self.world.now, &node(index), Boot(1 + index as u64), &said());
        }
        if job {
            role.submit(self.world.now, JOB, &spec());
        }
        self.roles.push(Some(role));
        self.paused.push(false);
    }

    fn effects(&mut self, planner: usize, effects: Vec<Effect>) {
        for effect in effects {
            let now = self.world.now;
            let Some(role) = &mut self.roles[planner] else {
                return;
            };
            match effect {
                Effect::Send { node, command } => {
                    let index = usize::from(node.as_str() == standin::gang::NODES[1]);
                    self.world.wire.push(Message::Command(index, command));
                }
                Effect::Check { epoch, asked, .. } => {
                    role.checked(asked, !self.table.down && epoch == self.table.epoch);
                    if !self.table.down && epoch != self.table.epoch {
                        self.roles[planner] = None;
                    }
                }
                Effect::Record { zone, epoch, task, nodes } => {
                    let recorded = self.table.record(zone, epoch, task, nodes);
                    let more = role.recorded(now, task, recorded);
                    self.effects(planner, more);
                }
                Effect::End { job, outcome } => {
                    self.table.end_calls += 1;
                    if !self.table.down {
                        self.table.ends.push(outcome);
                        let more =
                            role.change(now, &Change::End { job, outcome }, &Config::default());
                        self.effects(planner, more);
                    }
                }
            }
        }
    }

    fn step(&mut self) {
        for planner in 0..self.roles.len() {
            if let Some(role) = self.roles[planner].as_mut().filter(|_| !self.paused[planner]) {
                let effects = role.tick(self.world.now);
                self.effects(planner, effects);
            }
        }
        for index in 0..2 {
            self.world.tick(index);
            self.world.list(index);
        }
        for message in std::mem::take(&mut self.world.wire) {
            match message {
                Message::Command(index, command) if !self.cut[index] => {
                    *self.commands.entry(command.term.epoch.0).or_default() += 1;
                    self.world.command(index, command);
                }
                Message::Report(index, report) if !self.cut[index] => {
                    for planner in 0..self.roles.len() {
                        let now = self.world.now;
                        let role = self.roles[planner].as_mut().filter(|_| !self.paused[planner]);
                        if let Some(role) = role {
                            let effects = role.report(now, &node(index), &report);
                            self.effects(planner, effects);
                        }
                    }
                }
                _ => {}
            }
        }
        self.world.check().expect("no part alone for long, and one attempt");
        self.world.pass(STEP);
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.step();
        }
    }

    /// Runs until both parts run; returns the time that took in milliseconds.
    fn until_both(&mut self, limit: u64) -> u64 {
        let begin = self.world.now;
        while self.world.now < begin + Duration::from_millis(limit) {
            if let [Some(_), Some(_)] = self.running() {
                break;
            }
            self.step();
        }
        u64::try_from(self.world.now.since(begin).as_millis()).expect("small")
    }

    fn running(&self) -> [Option<u32>; 2] {
        [0, 1].map(|index| self.world.running(index).map(|attempt| attempt.0))
    }

    /// Runs the first planner until the job runs, and then stops that planner.
    fn orphaned() -> Self {
        let mut scene = Self::new();
        scene.succeed(true);
        scene.run(3_000);
        assert_eq!(scene.running(), [Some(1), Some(1)]);
        scene.roles[0] = None;
        scene
    }

    /// Stops the planner before the first command of a kind arrives at an agent.
    fn dies_before(wanted: fn(&Order) -> bool, passes: usize) -> Self {
        let mut scene = Self::new();
        scene.succeed(true);
        let mut left = passes;
        for _ in 0..200 {
            let wire = &mut scene.world.wire;
            let at = wire.iter().position(|message| {
                matches!(message, Message::Command(_, command)
                    if command.directions.iter().any(|d| wanted(&d.order)))
            });
            if let Some(at) = at {
                let keep = at + left;
                wire.truncate(keep);
                left = 0;
                scene.roles[0] = None;
            }
            if scene.roles[0].is_none() {
                break;
            }
            scene.step();
        }
        assert!(scene.roles[0].is_none(), "it died");
        scene
    }
}

impl Table {
    fn record(&mut self, zone: Zone, epoch: Epoch, task: Try, nodes: Vec<Node>) -> Recorded {
        if self.down || epoch != self.epoch {
            return Recorded::Unwritten;
        }
        match self.attempts.get(&task.job.0) {
            Some((zone, attempt, nodes)) if *attempt >= task.attempt => {
                Recorded::Behind { zone: zone.clone(), attempt: *attempt, nodes: nodes.clone() }
            }
            _ => {
                self.attempts.insert(task.job.0, (zone, task.attempt, nodes));
                Recorded::Written
            }
        }
    }
}

#[test]
fn whole_attempt_goes_on() {
    let mut scene = Scene::orphaned();
    scene.run(6_000);
    scene.succeed(true);
    scene.run(LONG);
    assert_eq!(scene.running(), [Some(1), Some(1)]);
    assert_eq!(scene.roles[1].as_ref().expect("held").attempts(), 1);
}

#[test]
fn part_of_silent_agent_is_waited_out() {
    let mut scene = Scene::orphaned();
    scene.cut[1] = true;
    scene.succeed(true);
    scene.run(LONG);
    assert_eq!(scene.running(), [None, None], "the rest is stopped");
    scene.cut[1] = false;
    scene.run(10_000);
    assert_eq!(scene.running(), [Some(2), Some(2)], "a further attempt runs");
}

#[test]
fn planner_that_dies_before_go_leaves_nothing_running() {
    let go = |order: &Order| matches!(order, Order::Go { .. });
    for (name, passes) in [("no go arrives", 0), ("one go arrives", 1), ("both arrive", 2)] {
        let mut scene = Scene::dies_before(go, passes);
        scene.run(3_000);
        scene.succeed(true);
        let millis = scene.until_both(LONG);
        assert!(millis <= 5_000, "{name}: {millis} ms");
        let attempt = if passes == 2 { 1 } else { 2 };
        assert_eq!(scene.running(), [Some(attempt), Some(attempt)], "{name}");
        scene.run(LONG);
        assert_eq!(scene.running(), [Some(attempt), Some(attempt)], "{name}");
    }
}

/// The time from the taking of the role to the start; the rest of the 6.1 s is for finding
/// that the earlier planner is silent.
#[test]
fn urgent_job_starts_soon_after_takeover() {
    let mut scene = Scene::new();
    scene.succeed(false);
    scene.run(3_000);
    scene.roles[0] = None;
    scene.run(3_000);
    scene.succeed(true);
    let millis = scene.until_both(LONG);
    assert!(millis <= 500, "{millis} ms");
}

#[test]
fn paused_planner_that_wakes_does_nothing() {
    let mut scene = Scene::new();
    scene.succeed(true);
    scene.run(3_000);
    scene.paused[0] = true;
    scene.run(4_000);
    scene.succeed(true);
    scene.run(4_000);
    let before = scene.commands.get(&1).copied();
    scene.paused[0] = false;
    scene.run(LONG);
    assert_eq!(scene.commands.get(&1).copied(), before, "commands of the older planner");
    assert!(scene.roles[0].is_none(), "it still believes that it holds the role");
    assert_eq!(scene.running(), [Some(1), Some(1)]);
}

/// The older planner does not learn that it lost the role, as the table is away for it.
#[test]
fn two_planners_do_no_harm() {
    let mut scene = Scene::new();
    scene.succeed(true);
    scene.run(3_000);
    scene.succeed(true);
    scene.table.down = true;
    scene.run(LONG);
    assert!(scene.roles[0].is_some() && scene.roles[1].is_some());
    assert_eq!(scene.running(), [Some(1), Some(1)]);
}

#[test]
fn holder_goes_on_while_the_table_is_away() {
    let mut scene = Scene::new();
    scene.succeed(true);
    scene.run(3_000);
    scene.table.down = true;
    scene.run(LONG);
    assert_eq!(scene.running(), [Some(1), Some(1)]);
    scene.paused[0] = true;
    scene.run(5_000);
    scene.paused[0] = false;
    scene.run(LONG);
    assert_eq!(scene.running(), [Some(1), Some(1)], "also after a pause");
}

#[test]
fn nothing_starts_while_the_table_is_away() {
    let mut scene = Scene::new();
    scene.succeed(true);
    scene.run(100);
    scene.table.down = true;
    scene.run(20_000);
    assert_eq!(scene.running(), [None, None]);
    assert!(scene.commands[&1] < 400, "{} commands in 20 s", scene.commands[&1]);
    scene.table.down = false;
    let millis = scene.until_both(LONG);
    assert!(millis <= 3_000, "{millis} ms");
}

#[test]
fn job_that_ended_unseen_does_not_run_again() {
    let mut scene = Scene::orphaned();
    for index in 0..2 {
        for run in scene.world.sides[index].runs.values_mut() {
            run.state = RunState::Finished;
        }
    }
    scene.run(3_000);
    scene.succeed(true);
    scene.run(LONG);
    assert_eq!(scene.table.ends, [Outcome::Finished]);
    let parts: usize = scene.world.sides.iter().map(|side| side.runs.len()).sum();
    assert_eq!(parts, 2, "parts that ever ran");
}

#[test]
fn end_of_a_job_is_written_with_pauses() {
    let mut scene = Scene::new();
    scene.succeed(true);
    scene.run(3_000);
    scene.table.down = true;
    for index in 0..2 {
        for run in scene.world.sides[index].runs.values_mut() {
            run.state = RunState::Finished;
        }
    }
    scene.run(LONG);
    let calls = scene.table.end_calls;
    assert!((2..=10).contains(&calls), "{calls} calls in 40 s");
    scene.table.down = false;
    scene.run(LONG);
    assert_eq!(scene.table.ends, [Outcome::Finished]);
}

#[test]
fn cancelled_job_is_stopped_when_found() {
    let mut scene = Scene::orphaned();
    scene.succeed(false);
    scene.run(5_000);
    assert_eq!(scene.running(), [None, None]);
}

#[test]
fn job_of_another_zone_is_left_to_it() {
    let mut scene = Scene::new();
    scene.table.attempts.insert(JOB.0, ("y".parse().expect("valid"), Attempt(1), Vec::new()));
    scene.succeed(true);
    scene.run(LONG);
    assert_eq!(scene.running(), [None, None]);
    assert_eq!(scene.roles[0].as_ref().expect("held").summary().waiting, 0);
}

/// A job that is cancelled in any state of its start does not run afterwards.
#[test]
fn cancelled_job_stops_at_any_time() {
    for millis in (0..1_000).step_by(50) {
        let mut scene = Scene::new();
        scene.succeed(true);
        scene.run(millis);
        let now = scene.world.now;
        let role = scene.roles[0].as_mut().expect("held");
        let effects = role.change(now, &Change::Cancel { job: JOB }, &Config::default());
        scene.effects(0, effects);
        scene.run(5_000);
        assert_eq!(scene.running(), [None, None], "cancelled after {millis} ms");
        assert_eq!(scene.roles[0].as_ref().expect("held").summary().free, Accelerators(16));
        assert_eq!(scene.world.alone, None::<Time>);
    }
}
