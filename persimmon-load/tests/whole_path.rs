//! The demonstration holds: a request, an intent, a gang job and the table service.

#[test]
fn demonstration_succeeds() {
    persimmon_load::demo::run().expect("all four steps hold");
}
