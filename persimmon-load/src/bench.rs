//! A complete system on loopback for experiments and tests: entries, agents and simulated external
//! services run as threads of one process.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use persimmondrift::member::{Capacity, Location};
use persimmondrift::place::Policy;
use persimmondrift::unit::{
    Accelerators, Connections, Cores, Mebibytes, Node, Rack, Region, Service, Slots, Zone,
};
use persimmondrift::{agent, entry, settings};
use standin::object::Objects;
use standin::table::Table;
use standin::target::Target;
use standin::worker::Worker;

/// Bearer token of the only operator that the entries accept.
pub const TOKEN: &str = "loopback-only";
const WORKERS_PER_RACK: usize = 3;
/// Capacity of each worker, the same as in both deployments of the users.
pub const CAPACITY: Capacity = Capacity {
    slots: Slots(8),
    connections: Connections(64),
    accelerators: Accelerators(8),
    cores: Cores(32),
    memory: Mebibytes(128 << 10),
};

/// Size and placement of a system.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Service that all targets offer.
    pub service: Service,
    /// Regions with one availability zone each, over which entries and workers are spread.
    pub regions: Vec<Region>,
    /// Number of entries to start.
    pub entries: usize,
    /// Number of workers to start, each with a target and an agent.
    pub workers: usize,
    /// Time a target takes to serve a request.
    pub service_time: Duration,
}

/// A simulated machine: a worker, its target and the agent that manages both.
pub struct Machine {
    /// Node name of the agent.
    pub node: Node,
    /// Agent, started with the addresses of the entries.
    pub agent: agent::Handle,
    /// Simulated target, with a switch for injecting faults.
    pub target: Target,
    /// Simulated worker, with a switch for injecting faults.
    pub worker: Worker,
}

/// A running system on loopback.
pub struct Cluster {
    /// Simulated table service that the entries store their rows in.
    pub table: Table,
    /// Simulated object store.
    pub objects: Objects,
    /// Entries, in the order of their index.
    pub entries: Vec<entry::Handle>,
    /// Machines, in the order of their index.
    pub machines: Vec<Machine>,
    layout: Layout,
}

impl Cluster {
    /// Starts a system whose agents reach the entries directly.
    ///
    /// # Errors
    ///
    /// Returns an error if a component cannot be started.
    pub fn start(layout: &Layout) -> anyhow::Result<Self> {
        Self::start_with_addresses(layout, |_, entries| Ok(entries.to_vec()))
    }

    /// Starts a system in which `entry_addresses` maps the index of an agent and the addresses of
    /// the entries to the addresses that the agent uses, such as those of relays.
    ///
    /// # Errors
    ///
    /// Returns an error if a component cannot be started.
    pub fn start_with_addresses(
        layout: &Layout,
        mut entry_addresses: impl FnMut(usize, &[SocketAddr]) -> anyhow::Result<Vec<SocketAddr>>,
    ) -> anyhow::Result<Self> {
        let table = Table::start()?;
        let objects = Objects::start()?;
        let mut entries: Vec<entry::Handle> = Vec::new();
        for index in 0..layout.entries {
            let known = entries.iter().map(entry::Handle::address).collect();
            let settings = entry_settings(layout, index, known, (table.url(), objects.url()))?;
            entries.push(entry::start(settings).context("starting an entry")?);
        }
        let known: Vec<SocketAddr> = entries.iter().map(entry::Handle::address).collect();
        let mut machines = Vec::new();
        for index in 0..layout.workers {
            machines.push(start_machine(layout, index, entry_addresses(index, &known)?)?);
        }
        Ok(Self { table, objects, entries, machines, layout: layout.clone() })
    }

    /// Stops an entry after its requests have ended, and starts a new one at its address.
    ///
    /// # Errors
    ///
    /// Returns an error if a component cannot be started.
    pub fn replace_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let old = self.entries.remove(index);
        let address = old.address();
        old.stop();
        let known = self.entries.iter().map(entry::Handle::address).collect();
        let stores = (self.table.url(), self.objects.url());
        let mut settings = entry_settings(&self.layout, index, known, stores)?;
        settings.listen = address;
        self.entries.insert(index, entry::start(settings).context("starting an entry")?);
        Ok(())
    }

    /// Starts a new agent beside the same target and worker, then stops the old one without
    /// draining it.
    ///
    /// # Errors
    ///
    /// Returns an error if a component cannot be started.
    pub fn replace_agent(&mut self, index: usize, entries: Vec<SocketAddr>) -> anyhow::Result<()> {
        let machine = &mut self.machines[index];
        let (target, worker) = (machine.target.url(), machine.worker.url());
        let settings = agent_settings(&self.layout, index, entries, (target, worker))?;
        let new = agent::start(settings).context("starting an agent")?;
        std::mem::replace(&mut machine.agent, new).stop();
        Ok(())
    }

    /// Stops all entries and starts new ones at their addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry cannot be started.
    pub fn replace_entries(&mut self, layout: &Layout) -> anyhow::Result<()> {
        let addresses: Vec<SocketAddr> = self.entries.iter().map(entry::Handle::address).collect();
        let stops: Vec<_> =
            self.entries.drain(..).map(|entry| std::thread::spawn(move || entry.stop())).collect();
        for stop in stops {
            let _ = stop.join();
        }
        for (index, &listen) in addresses.iter().enumerate() {
            let store = (self.table.url(), self.objects.url());
            let settings = entry_settings(layout, index, addresses.clone(), store)?;
            let settings = settings::Entry { listen, ..settings };
            self.entries.push(entry::start(settings).context("starting an entry")?);
        }
        Ok(())
    }

    /// Stops all components, the entries first.
    pub fn stop(self) {
        for entry in self.entries {
            entry.stop();
        }
        let stop = |machine: Machine| {
            std::thread::spawn(|| {
                machine.agent.stop();
                machine.target.stop();
                machine.worker.stop();
            })
        };
        let stops: Vec<_> = self.machines.into_iter().map(stop).collect();
        for stop in stops {
            let _ = stop.join();
        }
        self.table.stop();
        self.objects.stop();
    }
}

fn start_machine(
    layout: &Layout,
    index: usize,
    entries: Vec<SocketAddr>,
) -> anyhow::Result<Machine> {
    let target = Target::start(layout.service_time)?;
    let worker = Worker::start()?;
    let settings = agent_settings(layout, index, entries, (target.url(), worker.url()))?;
    let node = settings.node.clone();
    let agent = agent::start(settings).context("starting an agent")?;
    Ok(Machine { node, agent, target, worker })
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the settings of an entry that knows the given entries and listens on free ports.
///
/// # Errors
///
/// Returns an error if a node, rack or zone name is invalid.
pub fn entry_settings(
    layout: &Layout,
    index: usize,
    entries: Vec<SocketAddr>,
    (table, objects): (String, String),
) -> anyhow::Result<settings::Entry> {
    Ok(settings::Entry {
        node: Node::try_from(format!("entry-{index}"))?,
        place: location(layout, index * WORKERS_PER_RACK)?,
        callers: any_port(),
        operators: any_port(),
        listen: any_port(),
        entries,
        table,
        objects,
        tokens: vec![settings::Token { operator: "founder".parse()?, secret: TOKEN.to_owned() }],
        policy: Policy::default(),
        process: settings::Process::default(),
    })
}

/// Returns the settings of an agent that listens on a free port.
pub(crate) fn agent_settings(
    layout: &Layout,
    index: usize,
    entries: Vec<SocketAddr>,
    (target, worker): (String, String),
) -> anyhow::Result<settings::Agent> {
    Ok(settings::Agent {
        node: Node::try_from(format!("{}-{index:02}", layout.service))?,
        place: location(layout, index)?,
        listen: any_port(),
        entries,
        service: layout.service.clone(),
        target,
        worker,
        capacity: CAPACITY,
        process: settings::Process::default(),
    })
}

/// Returns the location of a member: racks are assigned to the regions in rotation, and each entry
/// counts as a rack of its own.
fn location(layout: &Layout, index: usize) -> anyhow::Result<Location> {
    let rack = index / WORKERS_PER_RACK;
    let region = layout.regions[rack % layout.regions.len()].clone();
    let zone = Zone::try_from(region.as_str())?;
    Ok(Location { rack: Rack::try_from(format!("{region}-{rack}"))?, zone, region })
}
