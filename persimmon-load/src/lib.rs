//! Load and experiments against the system, with stand-ins in place of everything outside.

pub mod alone;
pub mod arrival;
pub mod bench;
pub mod compare;
pub mod demo;
pub mod log_cost;
pub mod plot;
pub mod replay;
pub mod result;
pub mod run;
pub mod spread;
