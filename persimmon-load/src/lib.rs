//! Load and experiments against the system, with stand-ins in place of everything outside.

pub mod alone;
pub mod bench;
pub mod demo;
pub mod gangs;
pub mod spread;
