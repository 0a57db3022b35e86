//! The demonstration holds: a request, an intent, a gang job and the table service.

#[test]
fn the_whole_path_holds() {
    persimmon_load::demo::run().expect("all four steps hold");
}
