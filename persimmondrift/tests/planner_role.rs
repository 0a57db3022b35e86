//! Takeover of the planner's role, and the writes of its holder.

use std::time::Duration;

use persimmondrift::cell::role::{ROLE_TIMEOUT, Reach, Succession, Term, WriteResult};
use persimmondrift::cell::table::{Table, Write};
use persimmondrift::unit::{Epoch, Time, Version};
use standin::cell::Rows;

const NEAR: Reach = Reach { round_trip: Duration::from_millis(7), detour: false };
const FAR: Reach = Reach { round_trip: Duration::from_millis(70), detour: false };
const DETOUR: Reach = Reach { detour: true, ..NEAR };

fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Records a read of the same version every 100 ms.
fn watch(succession: &mut Succession, from: u64, to: u64, version: u64) {
    for at in (from..=to).step_by(100) {
        succession.observe(millis(at), millis(at), Version(version));
    }
}

fn write(key: &str) -> Vec<Write> {
    vec![Write { table: Table::Orders, key: key.to_owned(), value: Some(vec![1]) }]
}

#[test]
fn silent_holder_replaced() {
    let mut succession = Succession::default();
    watch(&mut succession, 1_000, 2_500, 5);
    assert!(!succession.may_take(millis(2_500), true, NEAR));
    watch(&mut succession, 2_600, 2_800, 5);
    assert!(succession.may_take(millis(2_800), true, NEAR));
    assert!(
        !succession.may_take(millis(2_800), true, FAR),
        "the nearer entry takes the role first"
    );
}

#[test]
fn renewals_keep_the_role() {
    let mut succession = Succession::default();
    for (number, at) in (1_000..9_000).step_by(500).enumerate() {
        watch(&mut succession, at, at + 400, u64::try_from(number).expect("small"));
    }
    assert!(!succession.may_take(millis(8_900), true, NEAR));
}

#[test]
fn store_outage_stops_takeover_clock() {
    let mut succession = Succession::default();
    watch(&mut succession, 1_000, 1_500, 5);
    // No read succeeds for five seconds.
    succession.observe(millis(6_500), millis(6_500), Version(5));
    assert!(!succession.may_take(millis(6_500), true, NEAR), "the holder could not write either");
    let term = u64::try_from(ROLE_TIMEOUT.as_millis()).expect("small");
    watch(&mut succession, 6_600, 6_600 + term, 5);
    assert!(succession.may_take(millis(6_600 + term), true, NEAR));
}

#[test]
fn released_role_taken_at_once() {
    let mut succession = Succession::default();
    succession.observe(millis(1_000), millis(1_000), Version(5));
    assert!(succession.may_take(millis(1_100), false, NEAR));
}

#[test]
fn replaced_holder_cannot_write() {
    let mut rows = Rows::default();
    let mut first = Term::new(Version(0), Epoch(1));
    let batch = first.build_batch("a", 1, Vec::new());
    let outcome = rows.commit(&batch);
    assert!(matches!(first.resolve(batch, &outcome), WriteResult::Applied(_)));
    let mut second = Term::new(first.version, Epoch(2));
    let batch = second.build_batch("b", 2, Vec::new());
    let outcome = rows.commit(&batch);
    assert!(matches!(second.resolve(batch, &outcome), WriteResult::Applied(_)));
    let batch = first.build_batch("a", 3, write("stale"));
    let outcome = rows.commit(&batch);
    assert_eq!(first.resolve(batch, &outcome), WriteResult::Lost);
    assert_eq!(rows.get(Table::Orders, "stale"), None);
}

#[test]
fn write_with_lost_answer_recognised() {
    let mut rows = Rows::default();
    let mut term = Term::new(Version(0), Epoch(1));
    let batch = term.build_batch("a", 1, write("order"));
    // The first send is applied and its answer lost; the second one is refused.
    rows.commit(&batch);
    let outcome = rows.commit(&batch);
    let WriteResult::Applied(written) = term.resolve(batch, &outcome) else {
        panic!("the batch was applied");
    };
    assert_eq!(written[0].key, "order");
    let batch = term.build_batch("a", 2, write("next"));
    let outcome = rows.commit(&batch);
    assert!(matches!(term.resolve(batch, &outcome), WriteResult::Applied(_)));
}

#[test]
fn holder_on_detour_yields() {
    let direct = Term::new(Version(1), Epoch(1)).with_reach(NEAR);
    assert!(!direct.yields(NEAR));
    assert!(direct.yields(DETOUR), "an entry that reaches the store directly takes over");
    let alone = Term::new(Version(1), Epoch(1)).with_reach(DETOUR);
    assert!(!alone.yields(DETOUR), "no other entry took the role");
}

#[test]
fn entry_on_detour_waits_longest() {
    let mut succession = Succession::default();
    watch(&mut succession, 1_000, 2_500, 5);
    assert!(succession.may_take(millis(2_500), false, FAR));
    assert!(!succession.may_take(millis(2_500), false, DETOUR));
    watch(&mut succession, 2_600, 3_500, 5);
    assert!(
        succession.may_take(millis(3_500), false, DETOUR),
        "a planner on a detour is better than none"
    );
}
