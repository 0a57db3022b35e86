//! A new planner takes over the attempts of an earlier one, and an earlier planner that still runs
//! does not disturb them.

use std::collections::BTreeMap;
use std::time::Duration;

use persimmondrift::adapter::worker::State as RunState;
use persimmondrift::config::{Change, Config};
use persimmondrift::entry::role::{AttemptId, Effect, Recorded, Role};
use persimmondrift::gang::Order;
use persimmondrift::member::{Announce, Capacity, Load, Location, State};
use persimmondrift::place::Outcome;
use persimmondrift::unit::{
    Accelerators, Attempt, Boot, Connections, Cores, Epoch, Mebibytes, Node, Slots, Time, Version,
    Zone,
};
use standin::gang::{JOB, Message, World, node, spec};

const STEP: Duration = Duration::from_millis(50);
const LONG_MS: u64 = 40_000;

/// The rows of the table that planners write.
#[derive(Default)]
struct Table {
    epoch: Epoch,
    attempts: BTreeMap<u64, (Zone, Attempt, Vec<Node>)>,
    ends: Vec<Outcome>,
    /// Writes of a job's end, including those that fail.
    end_calls: usize,
    down: bool,
}

struct Simulation {
    world: World,
    table: Table,
    /// The planners; `None` once a planner has stopped.
    roles: Vec<Option<Role>>,
    /// Planners that are paused and neither tick nor receive reports.
    paused: Vec<bool>,
    /// Agents whose messages to and from planners are dropped.
    disconnected: [bool; 2],
    /// Commands delivered to agents, by epoch.
    commands: BTreeMap<u64, usize>,
    zone: &'static str,
}

fn announcement() -> Announce {
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

impl Simulation {
    fn new() -> Self {
        Self {
            world: World::default(),
            table: Table::default(),
            roles: Vec::new(),
            paused: Vec::new(),
            disconnected: [false; 2],
            commands: BTreeMap::new(),
            zone: "z",
        }
    }

    /// Adds a planner that takes the role, with or without the job in its configuration.
    fn take_role(&mut self, job: bool) {
        self.table.epoch = self.table.epoch.next();
        let zone = self.zone.parse().expect("valid");
        let mut role = Role::new(self.world.now, zone, self.table.epoch);
        for index in 0..2 {
            role.put_worker(self.world.now, &node(index), Boot(1 + index as u64), &announcement());
        }
        if job {
            role.submit(self.world.now, JOB, &spec());
        }
        self.roles.push(Some(role));
        self.paused.push(false);
    }

    fn perform(&mut self, planner: usize, effects: Vec<Effect>) {
        for effect in effects {
            let now = self.world.now;
            let Some(role) = &mut self.roles[planner] else {
                return;
            };
            match effect {
                Effect::Send { node, command } => {
                    let index = usize::from(node.as_str() == standin::gang::NODES[1]);
                    self.world.in_flight.push(Message::Command(index, command));
                }
                Effect::Check { epoch, asked_at, .. } => {
                    role.role_checked(asked_at, !self.table.down && epoch == self.table.epoch);
                    if !self.table.down && epoch != self.table.epoch {
                        self.roles[planner] = None;
                    }
                }
                Effect::Record { zone, epoch, attempt_id, nodes } => {
                    let recorded = self.table.record(zone, epoch, attempt_id, nodes);
                    let more = role.attempt_recorded(now, attempt_id, recorded);
                    self.perform(planner, more);
                }
                Effect::End { job, outcome } => {
                    self.table.end_calls += 1;
                    if !self.table.down {
                        self.table.ends.push(outcome);
                        let more = role.apply_change(
                            now,
                            &Change::End { job, outcome },
                            &Config::default(),
                        );
                        self.perform(planner, more);
                    }
                }
            }
        }
    }

    fn step(&mut self) {
        for planner in 0..self.roles.len() {
            if let Some(role) = self.roles[planner].as_mut().filter(|_| !self.paused[planner]) {
                let effects = role.tick(self.world.now);
                self.perform(planner, effects);
            }
        }
        for index in 0..2 {
            self.world.tick(index);
            self.world.list(index);
        }
        for message in std::mem::take(&mut self.world.in_flight) {
            match message {
                Message::Command(index, command) if !self.disconnected[index] => {
                    *self.commands.entry(command.term.epoch.0).or_default() += 1;
                    self.world.command(index, command);
                }
                Message::Report(index, report) if !self.disconnected[index] => {
                    for planner in 0..self.roles.len() {
                        let now = self.world.now;
                        let role = self.roles[planner].as_mut().filter(|_| !self.paused[planner]);
                        if let Some(role) = role {
                            let effects = role.report(now, &node(index), &report);
                            self.perform(planner, effects);
                        }
                    }
                }
                _ => {}
            }
        }
        self.world.check().expect("only one attempt runs, and no part runs alone for long");
        self.world.advance(STEP);
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.step();
        }
    }

    /// Runs until both parts run, or for `limit` ms. Returns the time passed, in milliseconds.
    fn run_until_both_run(&mut self, limit: u64) -> u64 {
        let begin = self.world.now;
        while self.world.now < begin + Duration::from_millis(limit) {
            if let [Some(_), Some(_)] = self.running() {
                break;
            }
            self.step();
        }
        u64::try_from(self.world.now.since(begin).as_millis()).expect("fits in u64")
    }

    fn running(&self) -> [Option<u32>; 2] {
        [0, 1].map(|index| self.world.running(index).map(|attempt| attempt.0))
    }

    /// Runs the first planner until the job runs, and then stops that planner.
    fn with_stopped_planner() -> Self {
        let mut simulation = Self::new();
        simulation.take_role(true);
        simulation.run(3_000);
        assert_eq!(simulation.running(), [Some(1), Some(1)]);
        simulation.roles[0] = None;
        simulation
    }

    /// Stops the planner once it has sent a command of a kind. From that command on, only
    /// `delivered` messages still arrive.
    fn with_planner_stopped_before(wanted: fn(&Order) -> bool, delivered: usize) -> Self {
        let mut simulation = Self::new();
        simulation.take_role(true);
        let mut remaining = delivered;
        for _ in 0..200 {
            let wire = &mut simulation.world.in_flight;
            let at = wire.iter().position(|message| {
                matches!(message, Message::Command(_, command)
                    if command.directions.iter().any(|d| wanted(&d.order)))
            });
            if let Some(at) = at {
                let keep = at + remaining;
                wire.truncate(keep);
                remaining = 0;
                simulation.roles[0] = None;
            }
            if simulation.roles[0].is_none() {
                break;
            }
            simulation.step();
        }
        assert!(simulation.roles[0].is_none(), "the planner was not stopped");
        simulation
    }
}

impl Table {
    fn record(
        &mut self,
        zone: Zone,
        epoch: Epoch,
        attempt_id: AttemptId,
        nodes: Vec<Node>,
    ) -> Recorded {
        if self.down || epoch != self.epoch {
            return Recorded::Unwritten;
        }
        match self.attempts.get(&attempt_id.job.0) {
            Some((zone, attempt, nodes)) if *attempt >= attempt_id.attempt => {
                Recorded::Superseded { zone: zone.clone(), attempt: *attempt, nodes: nodes.clone() }
            }
            _ => {
                self.attempts.insert(attempt_id.job.0, (zone, attempt_id.attempt, nodes));
                Recorded::Written
            }
        }
    }
}

#[test]
fn complete_attempt_is_adopted() {
    let mut simulation = Simulation::with_stopped_planner();
    simulation.run(6_000);
    simulation.take_role(true);
    simulation.run(LONG_MS);
    assert_eq!(simulation.running(), [Some(1), Some(1)]);
    assert_eq!(simulation.roles[1].as_ref().expect("planner holds the role").attempts(), 1);
}

#[test]
fn attempt_with_unreachable_part_is_replaced() {
    let mut simulation = Simulation::with_stopped_planner();
    simulation.disconnected[1] = true;
    simulation.take_role(true);
    simulation.run(LONG_MS);
    assert_eq!(simulation.running(), [None, None], "the reachable part is stopped");
    simulation.disconnected[1] = false;
    simulation.run(10_000);
    assert_eq!(simulation.running(), [Some(2), Some(2)], "the next attempt runs");
}

#[test]
fn planner_stopped_before_go_leaves_no_partial_attempt() {
    let go = |order: &Order| matches!(order, Order::Go { .. });
    for (name, delivered) in [("no go arrives", 0), ("one go arrives", 1), ("both arrive", 2)] {
        let mut simulation = Simulation::with_planner_stopped_before(go, delivered);
        simulation.run(3_000);
        simulation.take_role(true);
        let millis = simulation.run_until_both_run(LONG_MS);
        assert!(millis <= 5_000, "{name}: {millis} ms");
        let attempt = if delivered == 2 { 1 } else { 2 };
        assert_eq!(simulation.running(), [Some(attempt), Some(attempt)], "{name}");
        simulation.run(LONG_MS);
        assert_eq!(simulation.running(), [Some(attempt), Some(attempt)], "{name}");
    }
}

/// Bounds the time from taking the role to the start. The rest of the 6.1 s allowed for a takeover
/// is for detecting that the earlier planner is silent.
#[test]
fn urgent_job_starts_soon_after_takeover() {
    let mut simulation = Simulation::new();
    simulation.take_role(false);
    simulation.run(3_000);
    simulation.roles[0] = None;
    simulation.run(3_000);
    simulation.take_role(true);
    let millis = simulation.run_until_both_run(LONG_MS);
    assert!(millis <= 500, "{millis} ms");
}

#[test]
fn resumed_planner_sends_no_commands() {
    let mut simulation = Simulation::new();
    simulation.take_role(true);
    simulation.run(3_000);
    simulation.paused[0] = true;
    simulation.run(4_000);
    simulation.take_role(true);
    simulation.run(4_000);
    let before = simulation.commands.get(&1).copied();
    simulation.paused[0] = false;
    simulation.run(LONG_MS);
    assert_eq!(simulation.commands.get(&1).copied(), before, "commands of the older planner");
    assert!(simulation.roles[0].is_none(), "the older planner still holds the role");
    assert_eq!(simulation.running(), [Some(1), Some(1)]);
}

/// The older planner does not learn that it lost the role, because the table is unavailable.
#[test]
fn superseded_planner_does_not_disturb_the_job() {
    let mut simulation = Simulation::new();
    simulation.take_role(true);
    simulation.run(3_000);
    simulation.take_role(true);
    simulation.table.down = true;
    simulation.run(LONG_MS);
    assert!(simulation.roles[0].is_some() && simulation.roles[1].is_some());
    assert_eq!(simulation.running(), [Some(1), Some(1)]);
}

#[test]
fn job_keeps_running_while_the_table_is_unavailable() {
    let mut simulation = Simulation::new();
    simulation.take_role(true);
    simulation.run(3_000);
    simulation.table.down = true;
    simulation.run(LONG_MS);
    assert_eq!(simulation.running(), [Some(1), Some(1)]);
    simulation.paused[0] = true;
    simulation.run(5_000);
    simulation.paused[0] = false;
    simulation.run(LONG_MS);
    assert_eq!(simulation.running(), [Some(1), Some(1)], "also after a pause");
}

#[test]
fn no_job_starts_while_the_table_is_unavailable() {
    let mut simulation = Simulation::new();
    simulation.take_role(true);
    simulation.run(100);
    simulation.table.down = true;
    simulation.run(20_000);
    assert_eq!(simulation.running(), [None, None]);
    assert!(simulation.commands[&1] < 400, "{} commands in 20 s", simulation.commands[&1]);
    simulation.table.down = false;
    let millis = simulation.run_until_both_run(LONG_MS);
    assert!(millis <= 3_000, "{millis} ms");
}

#[test]
fn job_that_ended_unseen_does_not_run_again() {
    let mut simulation = Simulation::with_stopped_planner();
    for index in 0..2 {
        for run in simulation.world.agents[index].runs.values_mut() {
            run.state = RunState::Finished;
        }
    }
    simulation.run(3_000);
    simulation.take_role(true);
    simulation.run(LONG_MS);
    assert_eq!(simulation.table.ends, [Outcome::Finished]);
    let parts: usize = simulation.world.agents.iter().map(|agent| agent.runs.len()).sum();
    assert_eq!(parts, 2, "parts that ever ran");
}

#[test]
fn job_end_is_retried_with_backoff() {
    let mut simulation = Simulation::new();
    simulation.take_role(true);
    simulation.run(3_000);
    simulation.table.down = true;
    for index in 0..2 {
        for run in simulation.world.agents[index].runs.values_mut() {
            run.state = RunState::Finished;
        }
    }
    simulation.run(LONG_MS);
    let calls = simulation.table.end_calls;
    assert!((2..=10).contains(&calls), "{calls} calls in 40 s");
    simulation.table.down = false;
    simulation.run(LONG_MS);
    assert_eq!(simulation.table.ends, [Outcome::Finished]);
}

#[test]
fn cancelled_job_is_stopped_when_found() {
    let mut simulation = Simulation::with_stopped_planner();
    simulation.take_role(false);
    simulation.run(5_000);
    assert_eq!(simulation.running(), [None, None]);
}

#[test]
fn job_recorded_by_another_zone_is_dropped() {
    let mut simulation = Simulation::new();
    simulation.table.attempts.insert(JOB.0, ("y".parse().expect("valid"), Attempt(1), Vec::new()));
    simulation.take_role(true);
    simulation.run(LONG_MS);
    assert_eq!(simulation.running(), [None, None]);
    assert_eq!(simulation.roles[0].as_ref().expect("planner holds the role").summary().waiting, 0);
}

/// A job does not run after it was cancelled in any state of its start.
#[test]
fn cancelled_job_stops_at_any_time() {
    for millis in (0..1_000).step_by(50) {
        let mut simulation = Simulation::new();
        simulation.take_role(true);
        simulation.run(millis);
        let now = simulation.world.now;
        let role = simulation.roles[0].as_mut().expect("planner holds the role");
        let effects = role.apply_change(now, &Change::Cancel { job: JOB }, &Config::default());
        simulation.perform(0, effects);
        simulation.run(5_000);
        assert_eq!(simulation.running(), [None, None], "cancelled after {millis} ms");
        assert_eq!(
            simulation.roles[0].as_ref().expect("planner holds the role").summary().free,
            Accelerators(16)
        );
        assert_eq!(simulation.world.alone_since, None::<Time>);
    }
}
