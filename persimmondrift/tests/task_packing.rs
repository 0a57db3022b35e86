//! Placement of the tasks of a group on workers.

use persimmondrift::cell::health::Trust;
use persimmondrift::cell::job::{Resources, Step};
use persimmondrift::cell::pack::{Demand, Placement, Slot, place};

const WHOLE: Resources = Resources { millicores: 32_000, mebibytes: 131_072, accelerators: 8 };

fn slot(number: usize, free: u32) -> Slot {
    let rack = format!("r{}", number / 3);
    Slot {
        agent: format!("a{number}"),
        labels: vec!["a".to_owned(), rack.clone()],
        rack,
        capacity: WHOLE,
        free: Resources { accelerators: free, ..WHOLE },
        trust: Trust::Full,
    }
}

fn slots(free: &[u32]) -> Vec<Slot> {
    free.iter().enumerate().map(|(number, free)| slot(number, *free)).collect()
}

fn step(accelerators: u32) -> Step {
    Step {
        need: Resources { millicores: 1_000, mebibytes: 1_024, accelerators },
        ..Step::default()
    }
}

fn place_free(slots: &[Slot], step: &Step, count: u32) -> Option<Placement> {
    place(slots, Demand { step, count }, |index| slots[index].free, |_| 0)
}

#[test]
fn fullest_first() {
    let slots = slots(&[8, 3, 8]);
    assert_eq!(place_free(&slots, &step(1), 2), Some(vec![(1, 2)]), "whole workers stay free");
    assert_eq!(place_free(&slots, &step(1), 4), Some(vec![(1, 3), (0, 1)]));
    assert_eq!(place_free(&slots, &step(8), 3), Some(vec![(0, 1), (2, 1)]), "as many as fit");
}

#[test]
fn gangs_placed_whole() {
    let slots = slots(&[8, 8, 4]);
    let gang = Step { gang: true, ..step(8) };
    assert_eq!(place_free(&slots, &gang, 3), None);
    assert_eq!(place_free(&slots, &gang, 2), Some(vec![(0, 1), (1, 1)]));
}

#[test]
fn one_rack() {
    let slots = slots(&[8, 8, 4, 8, 8, 8]);
    let gang = Step { gang: true, one_rack: true, ..step(8) };
    assert_eq!(place_free(&slots, &gang, 3), Some(vec![(3, 1), (4, 1), (5, 1)]));
    assert_eq!(
        place_free(&slots, &gang, 2),
        Some(vec![(0, 1), (1, 1)]),
        "the rack with the least room"
    );
    // No rack could hold five even if it were empty, so they are spread over racks.
    assert_eq!(place_free(&slots, &gang, 5).map(|placement| placement.len()), Some(5));
}

#[test]
fn labels_and_data() {
    let slots = slots(&[8, 8, 8, 8]);
    let labelled = Step { label: Some("r1".to_owned()), ..step(1) };
    assert_eq!(place_free(&slots, &labelled, 1), Some(vec![(3, 1)]));
    let unmatched = Step { label: Some("fast".to_owned()), ..step(1) };
    assert_eq!(place_free(&slots, &unmatched, 1), None);
    let near = Step { data_rack: Some("r1".to_owned()), ..step(1) };
    assert_eq!(place_free(&slots, &near, 1), Some(vec![(3, 1)]));
    let spread = Step { spread: Some(1), ..step(1) };
    assert_eq!(place_free(&slots, &spread, 3), Some(vec![(0, 1), (1, 1), (2, 1)]));
}

#[test]
fn trusted_first() {
    let mut slots = slots(&[1, 8]);
    slots[0].trust = Trust::Suspected;
    assert_eq!(place_free(&slots, &step(1), 1), Some(vec![(1, 1)]));
    let gang = Step { gang: true, ..step(1) };
    assert_eq!(
        place_free(&slots, &gang, 9),
        Some(vec![(1, 8), (0, 1)]),
        "the suspected worker is needed too"
    );
}
