//! Small stand-ins for the platform, workers, targets and callers, each with fault switches.

pub mod caller;
pub mod cell;
pub mod fault;
pub mod gang;
pub mod object;
pub mod relay;
pub mod table;
pub mod target;
pub mod worker;
