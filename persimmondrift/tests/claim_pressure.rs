//! Recent claims keep room from lower priorities.

use persimmondrift::cell::health::Trust;
use persimmondrift::cell::job::Resources;
use persimmondrift::cell::pack::Slot;
use persimmondrift::cell::pressure::{Pressure, close};
use persimmondrift::cell::rank::{Rank, Timeliness};
use persimmondrift::unit::Time;

const WHOLE: Resources = Resources { millicores: 32_000, mebibytes: 131_072, accelerators: 8 };

fn rank(priority: u32) -> Rank {
    let timeliness = Timeliness::InTime;
    Rank { guaranteed: false, priority, age_ms: 0, timeliness, slack_ms: 20_000 }
}

fn slot(number: usize, free: u32) -> Slot {
    Slot {
        agent: format!("vm-{number}"),
        rack: "r0".to_owned(),
        labels: Vec::new(),
        capacity: WHOLE,
        free: Resources { accelerators: free, ..WHOLE },
        trust: Trust::Full,
    }
}

#[test]
fn claims_keep_room_from_lower_priorities_for_a_while() {
    let mut pressure = Pressure::default();
    pressure.record_claim(Time::from_secs(100), 1, WHOLE.times(2));
    let kept = |seconds, rank: &Rank| pressure.kept(Time::from_secs(seconds), rank).accelerators;
    assert_eq!(kept(100, &rank(2)), 16);
    assert_eq!(kept(110, &rank(2)), 8, "it shrinks with time");
    assert_eq!(kept(120, &rank(2)), 0);
    assert_eq!(kept(100, &rank(1)), 0, "the claimant's own priority is not affected");
    assert_eq!(kept(100, &Rank { guaranteed: true, ..rank(2) }), 0);
}

#[test]
fn workers_with_most_room_are_closed_first() {
    let slots = [slot(0, 2), slot(1, 8), slot(2, 4), slot(3, 6)];
    let closed_for = |accelerators| {
        let mut closed = vec![false, false, true, false];
        close(&slots, &mut closed, Resources { accelerators, ..Resources::default() });
        closed
    };
    assert_eq!(closed_for(4), [false, false, true, false], "room that is closed already counts");
    assert_eq!(closed_for(5), [false, true, true, false]);
    assert_eq!(closed_for(13), [false, true, true, true]);
    assert_eq!(closed_for(100), [true; 4]);
}
