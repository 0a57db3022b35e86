//! The store's clock as a process knows it.

use std::time::Duration;

use persimmondrift::cell::store_clock::{Bounds, Clock};
use persimmondrift::unit::{StoreTime, Time};

const MS: Duration = Duration::from_millis(1);

/// Process time at which the store's clock shows 0.
const ORIGIN: Time = Time(40_000_000);

/// Returns the process time at which the store's clock shows a time.
fn at(store_ms: u32) -> Time {
    ORIGIN + MS * store_ms
}

fn store(ms: u32) -> StoreTime {
    StoreTime(u64::from(ms))
}

fn bounds(clock: &Clock, store_ms: u32) -> Bounds {
    clock.at(at(store_ms)).expect("a reading")
}

#[test]
fn bounds_hold_the_time() {
    let mut clock = Clock::default();
    assert_eq!(clock.at(at(0)), None);
    for (sent, read, received) in [(1_000, 1_020, 1_035), (1_100, 1_680, 1_700)] {
        clock.record(at(sent), at(received), store(read));
        for later in [received, received + 777, received + 60_000] {
            let Bounds { earliest, latest } = bounds(&clock, later);
            let time = store(later);
            assert!(earliest <= time && time <= latest, "{earliest} {time} {latest}");
            assert_eq!(earliest, store(later - (received - read)));
            assert!(latest >= store(later + (read - sent)));
        }
    }
}

#[test]
fn no_reading_is_ignored() {
    let mut clock = Clock::default();
    clock.record(at(1_000), at(1_010), StoreTime(0));
    assert_eq!(clock.at(at(1_010)), None);
    clock.record(at(2_000), at(2_010), store(2_005));
    clock.record(at(3_000), at(3_010), StoreTime(0));
    assert_eq!(bounds(&clock, 3_010).earliest, store(3_005));
}

/// Guards against an answer that another thread records late.
#[test]
fn late_record_is_ignored() {
    let mut clock = Clock::default();
    clock.record(at(2_000), at(2_010), store(2_005));
    let known = bounds(&clock, 10_000);
    clock.record(at(1_500), at(9_000), store(1_505));
    assert_eq!(bounds(&clock, 10_000), known);
}

/// Guards against a suspended process whose answer is from before.
#[test]
fn answer_read_after_suspension() {
    let mut clock = Clock::default();
    clock.record(at(2_000), at(32_000), store(2_010));
    let Bounds { earliest, latest } = bounds(&clock, 32_000);
    assert_eq!(earliest, store(2_010));
    assert!(latest >= store(32_000));
    clock.record(at(32_000), at(32_020), store(32_010));
    assert_eq!(bounds(&clock, 32_020).earliest, store(32_010));
}

#[test]
fn reset_clock_is_followed() {
    let mut clock = Clock::default();
    clock.record(at(50_000), at(50_020), store(50_010));
    clock.record(at(60_000), at(60_020), store(300));
    assert_eq!(bounds(&clock, 60_020).earliest, store(300));
}
