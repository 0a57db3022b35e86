//! Load and experiments against the system, with stand-ins in place of everything outside.

pub mod alone;
pub mod arrivals;
pub mod bench;
pub mod demo;
pub mod request_faults;
pub mod request_load;
pub mod route_cost;
pub mod spread;
