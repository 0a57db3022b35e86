//! Stand-ins for the systems around persimmondrift, for tests and load runs: the platform's stores,
//! workers, targets, callers and the network. Faults can be injected into most of them.

pub mod caller;
pub mod cell;
pub mod fault;
pub mod gang;
pub mod object;
pub mod relay;
pub mod table;
pub mod target;
pub mod worker;
