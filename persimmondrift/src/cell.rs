//! Job scheduling on top of a transactional store.
//!
//! A cell is one scheduling domain. Entry processes accept jobs as rows of the store, the entry
//! that holds the role row plans for the cell, and the agent beside each worker carries out the
//! orders that the planner wrote. They exchange data only through rows, and only the store is
//! durable, so any process may be lost at any time. The modules are listed in the order of data
//! flow.

pub mod codec;
pub mod job;
pub mod record;
pub mod table;

pub mod access;
pub mod intake;
pub mod line;
pub mod mirror;
pub mod removed;

pub mod evacuation;
pub mod health;
pub mod pack;
pub mod page;
pub mod planner;
pub mod pressure;
pub mod progress;
pub mod rank;
pub mod reclaim;
pub mod reserve;
pub mod role;
pub mod split;
pub mod store_clock;

pub mod duty;
pub mod follow;
pub mod grant;
pub mod pace;
pub mod report;
pub mod spec;

pub mod agent;
pub mod clock;
pub mod entry;
