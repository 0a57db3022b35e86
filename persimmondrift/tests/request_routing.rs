//! Routing: choice of the nearest target with room, balance, slow start, ejection and probes.

use std::net::SocketAddr;
use std::time::Duration;

use persimmondrift::member::{Load, Location};
use persimmondrift::route::health::EJECT_TIME;
use persimmondrift::route::index::REFUSAL_PERIOD;
use persimmondrift::route::{
    Choice, Distance, Error, Index, Key, TargetInfo, Verdict, remote_cost,
};
use persimmondrift::unit::{Boot, Bytes, Millis, Node, Rack, Region, Service, Slots, Time, Zone};

const SLOTS: u32 = 8;
const WARM_UPTIME: Millis = Millis(60_000);
const SMALL: Bytes = Bytes(1_000);

fn place(region: &str, zone: &str) -> Location {
    Location {
        region: Region::try_from(region).expect("valid"),
        zone: Zone::try_from(zone).expect("valid"),
        rack: Rack::try_from("rack").expect("valid"),
    }
}

fn service() -> Service {
    Service::try_from("order-desk").expect("valid")
}

fn target_info(name: &str, region: &str, zone: &str) -> TargetInfo {
    TargetInfo {
        node: Node::try_from(name).expect("valid"),
        boot: Boot(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        place: place(region, zone),
        service: service(),
        slots: Slots(SLOTS),
        load: Load { number: 1, uptime: WARM_UPTIME, ..Load::default() },
        open: true,
    }
}

/// The index of an entry in zone `a1` of region `a`, with a seeded random generator.
struct Fixture {
    index: Index,
    random: fastrand::Rng,
    now: Time,
}

impl Fixture {
    fn new(known: &[TargetInfo]) -> Self {
        let mut index = Index::new(place("a", "a1"));
        let now = Time::from_secs(100);
        for target_info in known {
            index.upsert(now, target_info.clone());
        }
        Self { index, random: fastrand::Rng::with_seed(7), now }
    }

    fn choose(&mut self, excluded: &[Key]) -> Result<Choice, Error> {
        self.index.choose(self.now, &service(), SMALL, excluded, &mut self.random)
    }

    fn record_outcome(&mut self, choice: &Choice, verdict: Verdict) {
        self.index.record_outcome(self.now, choice.key, verdict, None);
    }

    /// Sends requests that end at once; returns how many the named target received.
    fn send_requests(
        &mut self,
        count: usize,
        verdict: impl Fn(&str) -> Verdict,
        name: &str,
    ) -> usize {
        let mut share = 0;
        for _ in 0..count {
            let choice = self.choose(&[]).expect("chosen");
            share += usize::from(choice.node.as_str() == name);
            let verdict = verdict(choice.node.as_str());
            self.record_outcome(&choice, verdict);
        }
        share
    }
}

fn loaded(mut target_info: TargetInfo, number: u64, running: u32, wait: u64) -> TargetInfo {
    target_info.load =
        Load { running, waiting: 0, wait: Millis(wait), number, uptime: WARM_UPTIME };
    target_info
}

#[test]
fn the_nearest_target_with_room_is_chosen() {
    let own = target_info("own", "a", "a1");
    let near = target_info("near", "a", "a2");
    let far = target_info("far", "b", "b1");
    let full = |target_info: &TargetInfo, wait| loaded(target_info.clone(), 2, SLOTS, wait);
    let closed = |target_info: &TargetInfo| TargetInfo { open: false, ..target_info.clone() };
    let cost = u64::try_from(remote_cost(SMALL).as_millis()).expect("fits");
    let cases = [
        ("all have room", vec![own.clone(), near.clone(), far.clone()], Ok(Distance::Zone)),
        ("own zone is full", vec![full(&own, 5), near.clone(), far.clone()], Ok(Distance::Region)),
        (
            "a short wait",
            vec![full(&own, cost), full(&near, cost), far.clone()],
            Ok(Distance::Zone),
        ),
        (
            "a long wait",
            vec![full(&own, cost + 5), full(&near, cost + 5), far.clone()],
            Ok(Distance::Remote),
        ),
        (
            "all wait long",
            vec![full(&own, 500), full(&near, 500), full(&far, 500)],
            Ok(Distance::Zone),
        ),
        (
            "own region is closed",
            vec![closed(&own), closed(&near), far.clone()],
            Ok(Distance::Remote),
        ),
        ("all are closed", vec![closed(&own)], Err(Error::NoneOpen)),
        ("none is known", vec![], Err(Error::NoTarget)),
    ];
    for (name, known, expected) in cases {
        let chosen = Fixture::new(&known).choose(&[]);
        assert_eq!(chosen.map(|choice| choice.distance), expected, "{name}");
    }
    assert!(remote_cost(Bytes(1 << 20)) > remote_cost(SMALL), "a larger request costs more");
}

#[test]
fn own_requests_count_before_they_are_reported() {
    let mut fixture = Fixture::new(&[target_info("a", "a", "a1"), target_info("b", "a", "a1")]);
    let mut counts = [0; 2];
    for _ in 0..2 * SLOTS {
        let choice = fixture.choose(&[]).expect("chosen");
        counts[usize::from(choice.node.as_str() == "b")] += 1;
    }
    assert_eq!(counts, [SLOTS, SLOTS], "each slot is used once");
}

#[test]
fn late_and_duplicate_reports_are_ignored() {
    let own = target_info("own", "a", "a1");
    let far = target_info("far", "b", "b1");
    let mut fixture = Fixture::new(&[own.clone(), far]);
    fixture.index.upsert(fixture.now, loaded(own.clone(), 5, SLOTS, 500));
    for number in [2, 4, 5] {
        fixture.index.upsert(fixture.now, loaded(own.clone(), number, 0, 0));
        assert_eq!(fixture.choose(&[]).expect("chosen").distance, Distance::Remote, "{number}");
    }
    fixture.index.upsert(fixture.now, loaded(own, 6, 0, 0));
    assert_eq!(fixture.choose(&[]).expect("chosen").distance, Distance::Zone);
}

#[test]
fn excluded_targets_are_not_chosen_again() {
    let mut fixture = Fixture::new(&[target_info("a", "a", "a1"), target_info("b", "a", "a1")]);
    let first = fixture.choose(&[]).expect("chosen");
    let second = fixture.choose(&[first.key]).expect("chosen");
    assert_ne!(first.node, second.node);
    assert_eq!(fixture.choose(&[first.key, second.key]), Err(Error::NoneOpen));
}

#[test]
fn a_replaced_agent_loses_its_request_counts() {
    let own = target_info("own", "a", "a1");
    let mut fixture = Fixture::new(std::slice::from_ref(&own));
    let before = fixture.choose(&[]).expect("chosen");
    fixture.index.upsert(fixture.now, TargetInfo { boot: Boot(2), ..own.clone() });
    let after = fixture.choose(&[]).expect("chosen");
    assert_eq!((after.boot, after.load), (Boot(2), 1));
    fixture.record_outcome(&before, Verdict::Bad);
    assert_eq!(
        fixture.choose(&[]).expect("chosen").load,
        2,
        "an outcome for an earlier incarnation is ignored"
    );
    fixture.index.remove_node(&own.node);
    assert_eq!(fixture.choose(&[]), Err(Error::NoTarget));
}

#[test]
fn slow_start_limits_a_new_target() {
    let mut young = target_info("young", "a", "a1");
    young.load.uptime = Millis(2_500);
    let mut fixture = Fixture::new(&[young, target_info("old", "a", "a1")]);
    let mut counts = [0; 2];
    for _ in 0..10 {
        let choice = fixture.choose(&[]).expect("chosen");
        counts[usize::from(choice.node.as_str() == "old")] += 1;
    }
    assert_eq!(counts, [2, SLOTS], "a quarter of the slow start gives a quarter of the slots");
}

#[test]
fn a_failing_target_is_ejected_and_probed() {
    let names = ["a", "b", "c", "d"];
    let known: Vec<TargetInfo> = names.iter().map(|name| target_info(name, "a", "a1")).collect();
    let mut fixture = Fixture::new(&known);
    let fails = |name: &str| if name == "a" { Verdict::Bad } else { Verdict::Good };
    fixture.send_requests(100, fails, "a");
    assert_eq!(fixture.index.ejected(&service()), 1);
    assert_eq!(
        fixture.send_requests(1_000, fails, "a"),
        0,
        "an ejected target receives no requests"
    );
    fixture.now = fixture.now + EJECT_TIME;
    fixture.index.tick(fixture.now);
    assert_eq!(
        fixture.send_requests(1_000, fails, "a"),
        1,
        "a failing target receives only one probe"
    );
    fixture.now = fixture.now + EJECT_TIME;
    fixture.index.tick(fixture.now);
    assert_eq!(fixture.send_requests(1_000, fails, "a"), 0, "the second ejection lasts longer");
    fixture.now = fixture.now + EJECT_TIME;
    fixture.index.tick(fixture.now);
    let share = fixture.send_requests(1_000, |_| Verdict::Good, "a");
    assert!((200..300).contains(&share), "the target receives its share again: {share}");
}

#[test]
fn ejection_never_empties_a_zone() {
    let cases: [(&str, &[&str], &[&str], usize); 4] = [
        ("one of one", &["a"], &["a"], 0),
        ("one of two", &["a", "b"], &["a"], 1),
        ("two of two", &["a", "b"], &["a", "b"], 0),
        ("all of four", &["a", "b", "c", "d"], &["a", "b", "c", "d"], 0),
    ];
    for (name, known, failing, max_ejected) in cases {
        let known: Vec<TargetInfo> =
            known.iter().map(|name| target_info(name, "a", "a1")).collect();
        let mut fixture = Fixture::new(&known);
        let bad = |name: &str| if failing.contains(&name) { Verdict::Bad } else { Verdict::Good };
        fixture.send_requests(400, bad, "a");
        let ejected = fixture.index.ejected(&service());
        assert!(ejected <= max_ejected.max(known.len() / 2), "{name}: {ejected}");
        assert!(fixture.choose(&[]).is_ok(), "{name}");
        if failing.len() < known.len() {
            assert_eq!(ejected, max_ejected, "{name}");
        }
    }
}

#[test]
fn a_choice_carries_a_lower_bound_of_the_agent_uptime() {
    let mut fixture = Fixture::new(&[target_info("a", "a", "a1")]);
    fixture.now = fixture.now + Duration::from_secs(2);
    let choice = fixture.choose(&[]).expect("chosen");
    assert_eq!(choice.uptime, Time::from_secs(62));
}

#[test]
fn a_target_that_refuses_as_leaving_is_skipped_for_a_period() {
    let mut fixture = Fixture::new(&[target_info("a", "a", "a1"), target_info("b", "a", "a1")]);
    let refuses = |name: &str| if name == "a" { Verdict::Leaving } else { Verdict::Good };
    assert!(
        fixture.send_requests(200, refuses, "a") <= 1,
        "one refusal makes the index skip the target"
    );
    assert_eq!(fixture.index.ejected(&service()), 0, "a refusal as leaving is not a failure");
    fixture.now = fixture.now + REFUSAL_PERIOD;
    fixture.index.tick(fixture.now);
    let share = fixture.send_requests(1_000, |_| Verdict::Good, "a");
    assert!((400..600).contains(&share), "the target receives its share again: {share}");
}
