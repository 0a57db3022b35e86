//! A log destination that blocks does not block the threads that log: excess lines are dropped and
//! counted.

use std::io::{self, Read};
use std::os::fd::AsRawFd;
use std::thread;

use persimmondrift::settings::{Level, Process};
use persimmondrift::{log, metric};

/// More lines than the queue in memory and the pipe hold.
const LINES: u32 = 60_000;

#[test]
fn full_log_queue_drops_lines_without_blocking() {
    let (mut reader, writer) = io::pipe().expect("a pipe");
    let file = format!("/proc/self/fd/{}", writer.as_raw_fd()).into();
    let process = Process { log_level: Level::Info, log_file: Some(file), ..Process::default() };
    log::open(&process).expect("a log");
    // The pipe is not read meanwhile, so the loop ends only if no call waits for the writer.
    for index in 0..LINES {
        persimmondrift::log!(Routed, "request {index:032x} service taller-app to t-1");
    }
    let metrics = metric::Cell::default().render();
    let dropped =
        metrics.lines().find_map(|line| line.strip_prefix("persimmon_log_dropped_total "));
    let dropped: u32 = dropped.expect("a counter").parse().expect("a number");
    assert!(dropped > 0 && dropped < LINES, "{dropped} of {LINES} lines dropped");
    assert_eq!(metric::event_count(persimmondrift::event::Event::Routed), u64::from(LINES));
    // Drains the pipe to unblock the writer thread, so that the process can end.
    drop(writer);
    thread::spawn(move || {
        let mut rest = Vec::new();
        let _ = reader.read_to_end(&mut rest);
    });
}
