//! Runs the demonstration: a routed request, a configuration change, a gang job, and the rows in the
//! table service.

#[test]
fn demonstration_succeeds() {
    persimmon_load::demo::run().expect("all four steps succeed");
}
