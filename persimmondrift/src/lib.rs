//! A scheduler of multi-accelerator jobs and a router of requests to targets.
//!
//! Operators change the configuration by intents, which become plans that they confirm. Decisions
//! are made by state machines without I/O: they take the time and a message and return effects as
//! values. The processes, [`entry`] and [`agent`], own the sockets and threads; [`adapter`] has one
//! file for each external interface. [`cell`] schedules jobs through a transactional store instead
//! of messages.

pub mod adapter;
pub mod admit;
pub mod agent;
pub mod cell;
pub mod claim;
pub mod config;
pub mod daemon;
pub mod declare;
pub mod entry;
pub mod event;
pub mod gang;
pub mod guarantee;
pub mod health;
pub mod intent;
pub mod limit;
pub mod log;
pub mod member;
pub mod metric;
pub mod place;
pub mod retry;
pub mod route;
pub mod settings;
pub mod store;
pub mod unit;
pub mod wire;
