//! Explores all interleavings of the gang protocol with two parts, one change of the planner, and
//! a bounded number of lost, duplicate and late messages and paused agents.

use std::collections::HashSet;
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

use persimmondrift::gang::{Coordinator, Effect, FoundPart, Holding, Phase, Report};
use persimmondrift::unit::{Attempt, Boot, Time};
use standin::gang::{JOB, Message, World, allocations, node, planner, spec};

const STEP: Duration = Duration::from_millis(1_500);
/// Steps during which faults and the change of the planner may happen.
const FAULT_STEPS: u32 = 4;
/// Steps of a complete run: long enough after the last fault for a lease to end and the remaining
/// parts to stop.
const STEPS: u32 = 16;
/// Time that a new planner waits for the report of the second agent.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(3);

/// A planner that has taken the role.
#[derive(Debug, Clone)]
struct Planner {
    epoch: u64,
    coordinator: Coordinator,
    /// The complete report of each agent, with the time of its arrival.
    reports: [Option<(Time, Vec<FoundPart>)>; 2],
    /// Whether the planner has resolved what the agents ran when it took the role.
    resolved: bool,
}

#[derive(Debug, Clone)]
struct State {
    world: World,
    planners: Vec<Planner>,
    /// The epoch of the current planner, as recorded in the table.
    epoch: u64,
    recorded: u32,
    steps: u32,
    faults: u32,
}

/// Counts of the explored states.
#[derive(Debug, Default)]
struct Explored {
    states: HashSet<u64>,
    ends_running: usize,
    ends_empty: usize,
}

struct Digest(DefaultHasher);

impl Write for Digest {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl State {
    fn new(faults: u32) -> Self {
        let (world, planners) = (World::default(), Vec::new());
        let mut state = Self { world, planners, epoch: 0, recorded: 0, steps: 0, faults };
        state.take_role();
        state.planners[0].resolved = true;
        state.begin(0);
        state
    }

    /// Returns a hash that is equal for states with the same future. The wire is sorted first,
    /// because the order of messages on different links has no effect.
    fn digest(&mut self) -> u64 {
        self.world.in_flight.sort_by_key(|message| match message {
            Message::Command(agent, command) => (0, *agent, command.term.epoch, command.sent),
            Message::Report(agent, report) => (1, *agent, report.epoch, report.sent),
        });
        let mut digest = Digest(DefaultHasher::new());
        write!(digest, "{self:?}").expect("writing to a hasher cannot fail");
        digest.0.finish()
    }

    fn take_role(&mut self) {
        self.epoch += 1;
        let mut coordinator = planner(self.epoch);
        for index in 0..2 {
            coordinator.register_agent(self.world.now, &node(index), Boot(1 + index as u64));
        }
        let planner =
            Planner { epoch: self.epoch, coordinator, reports: [None, None], resolved: false };
        self.planners.push(planner);
    }

    fn begin(&mut self, index: usize) {
        let attempt = Attempt(self.recorded + 1);
        let coordinator = &mut self.planners[index].coordinator;
        let effects = coordinator.begin(self.world.now, JOB, attempt, spec(), allocations());
        self.apply(index, effects);
    }

    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in self.world.send(effects) {
            if let Effect::Record { attempt, .. } = effect {
                let held = self.planners[index].epoch == self.epoch;
                let written = held && self.recorded < attempt.0;
                if written {
                    self.recorded = attempt.0;
                }
                let now = self.world.now;
                let planner = &mut self.planners[index];
                let more = planner.coordinator.recorded(now, JOB, attempt, written);
                self.apply(index, more);
            }
        }
    }

    fn deliver(&mut self, at: usize, twice: bool) {
        let message = self.world.in_flight[at].clone();
        if !twice {
            self.world.in_flight.remove(at);
        }
        match message {
            Message::Command(agent, command) => self.world.command(agent, command),
            Message::Report(agent, report) => {
                for index in 0..self.planners.len() {
                    self.report(index, agent, &report);
                }
            }
        }
    }

    fn report(&mut self, index: usize, agent: usize, report: &Report) {
        let now = self.world.now;
        let planner = &mut self.planners[index];
        if report.epoch.0 != planner.epoch {
            return;
        }
        let effects = planner.coordinator.report(now, &node(agent), report);
        if report.complete && planner.reports[agent].is_none() {
            let at = report.at();
            let found =
                |holding: &Holding| FoundPart { node: node(agent), holding: holding.clone(), at };
            planner.reports[agent] = Some((now, report.holdings.iter().map(found).collect()));
        }
        self.apply(index, effects);
        self.try_adopt(index);
    }

    /// Adopts the attempt that the agents reported, or stops it if it is incomplete.
    fn try_adopt(&mut self, index: usize) {
        let now = self.world.now;
        let planner = &mut self.planners[index];
        let timed_out = |at: &Time| now.since(*at) >= ADOPT_TIMEOUT;
        let late = planner.reports.iter().flatten().any(|(at, _)| timed_out(at));
        let all = planner.reports.iter().all(Option::is_some);
        if planner.resolved || !(all || late) {
            return;
        }
        planner.resolved = true;
        let reports: Vec<FoundPart> =
            planner.reports.iter().flatten().flat_map(|(_, found)| found.clone()).collect();
        let (held, runs): (Vec<FoundPart>, Vec<FoundPart>) =
            reports.into_iter().partition(|found| found.holding.phase == Phase::Held);
        let mut effects = Vec::new();
        for found in held {
            effects.extend(planner.coordinator.stop_stray(now, &found.node, found.holding.task));
        }
        if let Some(attempt) = runs.first().map(|found| found.holding.task.attempt) {
            let is_live =
                |found: &FoundPart| matches!(found.holding.phase, Phase::Starting | Phase::Running);
            let complete = runs.len() == 2 && runs.iter().all(is_live);
            effects.extend(planner.coordinator.adopt(now, JOB, attempt, runs, complete));
        }
        self.apply(index, effects);
    }

    /// Advances time by a step; a paused agent does not check its leases.
    fn pass(&mut self, paused: Option<usize>) {
        self.steps += 1;
        self.world.advance(STEP);
        for agent in (0..2).filter(|&agent| Some(agent) != paused) {
            self.world.tick(agent);
            self.world.list(agent);
        }
        for index in 0..self.planners.len() {
            let now = self.world.now;
            self.try_adopt(index);
            let planner = &mut self.planners[index];
            let mut effects = planner.coordinator.tick(now);
            for agent in 0..2 {
                if planner.epoch > 1 && planner.reports[agent].is_none() {
                    effects.extend(planner.coordinator.survey(now, &node(agent)));
                }
            }
            let free = planner.resolved && planner.reports.iter().all(Option::is_some);
            let free = free && planner.coordinator.is_empty();
            self.apply(index, effects);
            if free && self.planners[index].epoch == self.epoch && self.planners[index].epoch > 1 {
                self.begin(index);
            }
        }
    }

    /// Runs to the end without further faults; returns whether the parts run then, or an error if
    /// only one does.
    fn run_to_end(mut self) -> Result<bool, String> {
        while self.steps < STEPS {
            while !self.world.in_flight.is_empty() {
                self.deliver(0, false);
                self.world.check()?;
            }
            self.pass(None);
            self.world.check()?;
        }
        match [0, 1].map(|index| self.world.running(index).is_some()) {
            [first, second] if first == second => Ok(first),
            running => Err(format!("only some parts run at the end: {running:?}")),
        }
    }

    /// Returns all states that may follow. A planner that loses the role stops if
    /// `old_planner_stops` is true, and otherwise continues.
    fn successors(&self, old_planner_stops: bool) -> Vec<Self> {
        let mut successors = Vec::new();
        let mut add = |cost: u32, change: &dyn Fn(&mut Self)| {
            if cost <= self.faults {
                let mut state = self.clone();
                state.faults -= cost;
                change(&mut state);
                successors.push(state);
            }
        };
        for at in 0..self.world.in_flight.len() {
            add(0, &|state| state.deliver(at, false));
            add(1, &|state| state.deliver(at, true));
            add(1, &|state| drop(state.world.in_flight.remove(at)));
        }
        add(u32::from(!self.world.in_flight.is_empty()), &|state| state.pass(None));
        add(1, &|state| state.pass(Some(1)));
        if self.epoch == 1 {
            add(0, &|state| {
                state.take_role();
                if old_planner_stops {
                    state.planners.remove(0);
                }
            });
        }
        successors
    }
}

fn explore(faults: u32, old_planner_stops: bool, change: bool) -> Explored {
    let mut explored = Explored::default();
    let mut open = vec![State::new(faults)];
    while let Some(mut state) = open.pop() {
        if let Err(error) = state.world.check() {
            panic!("{error}: {state:#?}");
        }
        if !explored.states.insert(state.digest()) {
            continue;
        }
        if state.steps == FAULT_STEPS {
            match state.clone().run_to_end() {
                Ok(true) => explored.ends_running += 1,
                Ok(false) => explored.ends_empty += 1,
                Err(error) => panic!("{error}: {state:#?}"),
            }
            continue;
        }
        if !change && state.epoch > 1 {
            continue;
        }
        open.extend(state.successors(old_planner_stops));
    }
    explored
}

fn report(name: &str, explored: &Explored) {
    println!(
        "{name}: {} states, {} ends with all parts running, {} with none",
        explored.states.len(),
        explored.ends_running,
        explored.ends_empty
    );
}

#[test]
fn one_planner_ends_in_all_or_none() {
    let explored = explore(1, true, false);
    report("one planner, 1 fault", &explored);
    assert!(explored.ends_running > 0);
}

#[test]
fn planner_crash_ends_in_all_or_none() {
    let explored = explore(1, true, true);
    report("planner dies, 1 fault", &explored);
    assert!(explored.ends_running > 0);
}

#[test]
fn two_planners_end_in_all_or_none() {
    let explored = explore(0, false, true);
    report("two planners, no fault", &explored);
    assert!(explored.ends_running > 0);
}
