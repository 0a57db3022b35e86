//! Reservation of empty workers for urgent work, by how many of them it has recently used.

use std::time::Duration;

use persimmondrift::cell::health::Trust;
use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::pack::Slot;
use persimmondrift::cell::rank::{Rank, Timeliness};
use persimmondrift::cell::reserve::{Reserve, reserved};
use persimmondrift::unit::Time;
use standin::cell::Cell;

const WHOLE: Resources = Resources { millicores: 32_000, mebibytes: 131_072, accelerators: 8 };

fn seconds(seconds: u64) -> Time {
    Time::from_secs(seconds)
}

fn slot(number: usize, rack: &str, used: u32) -> Slot {
    Slot {
        agent: format!("vm-{number}"),
        rack: rack.to_owned(),
        labels: Vec::new(),
        capacity: WHOLE,
        free: Resources { accelerators: WHOLE.accelerators - used, ..WHOLE },
        trust: Trust::Full,
    }
}

fn request(width: u16, accelerators: u32, gang: bool) -> Request {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    let step = Step { width, need, estimate_ms: 3_000, gang, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

fn rank(priority: u32, slack_ms: i64) -> Rank {
    Rank { guaranteed: false, priority, age_ms: 0, timeliness: Timeliness::InTime, slack_ms }
}

#[test]
fn recent_peak_is_reserved() {
    let relaxed = rank(2, 20_000);
    let mut reserve = Reserve::default();
    reserve.record_usage(seconds(100), 0);
    assert_eq!(reserve.size(24, 6, &relaxed), 4, "a few for the first task of a burst");
    reserve.record_usage(seconds(101), 10);
    assert_eq!(reserve.size(24, 6, &relaxed), 4, "workers in use need not be reserved");
    reserve.record_usage(seconds(103), 1);
    assert_eq!(reserve.size(24, 6, &relaxed), 9);
    assert_eq!(reserve.size(12, 6, &relaxed), 6, "half of the workers stay open to others");
    reserve.record_usage(seconds(108), 1);
    assert_eq!(reserve.size(24, 6, &relaxed), 9, "a second burst may come");
    reserve.record_usage(seconds(114), 1);
    assert_eq!(reserve.size(24, 6, &relaxed), 4, "no second burst came");
    assert_eq!(reserve.size(24, 20, &relaxed), 0, "an idle cell has empty workers anyway");
}

#[test]
fn reserve_size_by_rank() {
    let mut reserve = Reserve::default();
    reserve.record_usage(seconds(100), 8);
    reserve.record_usage(seconds(101), 0);
    let size = |rank: &Rank| reserve.size(24, 6, rank);
    assert_eq!(size(&rank(0, 1_000)), 0, "workers are reserved for urgent work");
    assert_eq!(
        size(&Rank { timeliness: Timeliness::Late, ..rank(0, -1_000) }),
        0,
        "urgent work is short"
    );
    assert_eq!(size(&Rank { timeliness: Timeliness::Late, ..rank(2, -1_000) }), 8);
    assert_eq!(size(&Rank { guaranteed: true, ..rank(2, 20_000) }), 0);
    assert_eq!(size(&rank(1, 20_000)), 4, "middle priority may use all but the minimum");
    assert_eq!(size(&rank(1, 2_000)), 0, "its slack is short");
    assert_eq!(size(&rank(2, 2_000)), 8);
    reserve.record_usage(seconds(120), 0);
    assert_eq!(reserve.size(24, 6, &rank(2, 2_000)), 4);
    assert_eq!(
        reserve.size(24, 6, &rank(2, -1)),
        0,
        "no urgent work came, and its objective is missed"
    );
}

#[test]
fn racks_with_most_empty_workers_reserved_first() {
    // Two racks of three; one has two empty workers and the other one has one.
    let slots = [
        slot(0, "r0", 0),
        slot(1, "r0", 4),
        slot(2, "r0", 1),
        slot(3, "r1", 0),
        slot(4, "r1", 0),
        slot(5, "r1", 2),
    ];
    let of = |size| reserved(&slots, |i| slots[i].free, size);
    assert_eq!(of(2), [false, false, false, true, true, false]);
    assert_eq!(of(3), [true, false, false, true, true, false]);
    assert_eq!(of(0), [false; 6]);
}

#[test]
fn second_burst_starts_at_once() {
    let mut cell = Cell::new(9);
    cell.run(Duration::from_secs(2));
    // Background work for all workers, and a gang that takes four of them.
    for id in 1..=8 {
        cell.submit(Id(id), "low", "luis", request(16, 1, false));
    }
    cell.run(Duration::from_millis(300));
    cell.submit(Id(20), "urgent", "ana", request(4, 8, true));
    cell.run(Duration::from_secs(6));
    // The next gang starts at once, since no background work was placed where the first one ran.
    let before = (1..=8).map(|id| cell.starts(Id(id))).sum::<usize>();
    cell.submit(Id(21), "urgent", "ana", request(4, 8, true));
    cell.run(Duration::from_millis(200));
    assert_eq!(cell.starts(Id(21)), 4, "after {before} starts of background work");
    assert_eq!(cell.violations, Vec::<String>::new());
}
