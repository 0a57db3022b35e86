//! Load generator and experiments. They run the system on loopback or in virtual time, with
//! simulated table service, object store, targets and workers (the crate `standin`).

pub mod alone;
pub mod arrival;
pub mod arrivals;
pub mod bench;
pub mod cell_load;
pub mod compare;
pub mod demo;
pub mod gangs;
pub mod log_cost;
pub mod plot;
pub mod replay;
pub mod request_faults;
pub mod request_load;
pub mod result;
pub mod route_cost;
pub mod run;
pub mod spread;
