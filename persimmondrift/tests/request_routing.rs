//! Routing: the nearest target with room, fair choice, slow start, ejection and probes.

use std::net::SocketAddr;
use std::time::Duration;

use persimmondrift::member::{Load, Place};
use persimmondrift::route::health::EJECT_TIME;
use persimmondrift::route::index::REFUSED_FOR;
use persimmondrift::route::{Choice, Distance, Error, Facts, Index, Key, Verdict, remote_cost};
use persimmondrift::unit::{Boot, Bytes, Millis, Node, Rack, Region, Service, Slots, Time, Zone};

const SLOTS: u32 = 8;
const OLD: Millis = Millis(60_000);
const SMALL: Bytes = Bytes(1_000);

fn place(region: &str, zone: &str) -> Place {
    Place {
        region: Region::try_from(region).expect("valid"),
        zone: Zone::try_from(zone).expect("valid"),
        rack: Rack::try_from("rack").expect("valid"),
    }
}

fn service() -> Service {
    Service::try_from("order-desk").expect("valid")
}

fn facts(name: &str, region: &str, zone: &str) -> Facts {
    Facts {
        node: Node::try_from(name).expect("valid"),
        boot: Boot(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        place: place(region, zone),
        service: service(),
        slots: Slots(SLOTS),
        load: Load { number: 1, uptime: OLD, ..Load::default() },
        open: true,
    }
}

/// An index at zone `a1` of region `a`, and the source of its random choices.
struct Bench {
    index: Index,
    random: fastrand::Rng,
    now: Time,
}

impl Bench {
    fn new(known: &[Facts]) -> Self {
        let mut index = Index::new(place("a", "a1"));
        let now = Time::from_secs(100);
        for facts in known {
            index.learn(now, facts.clone());
        }
        Self { index, random: fastrand::Rng::with_seed(7), now }
    }

    fn choose(&mut self, excluded: &[Key]) -> Result<Choice, Error> {
        self.index.choose(self.now, &service(), SMALL, excluded, &mut self.random)
    }

    fn conclude(&mut self, choice: &Choice, verdict: Verdict) {
        self.index.conclude(self.now, choice.key, verdict, None);
    }

    /// Sends requests that all end at once; returns how many each target got.
    fn share(&mut self, count: usize, verdict: impl Fn(&str) -> Verdict, name: &str) -> usize {
        let mut share = 0;
        for _ in 0..count {
            let choice = self.choose(&[]).expect("chosen");
            share += usize::from(choice.node.as_str() == name);
            let verdict = verdict(choice.node.as_str());
            self.conclude(&choice, verdict);
        }
        share
    }
}

fn loaded(mut facts: Facts, number: u64, running: u32, wait: u64) -> Facts {
    facts.load = Load { running, waiting: 0, wait: Millis(wait), number, uptime: OLD };
    facts
}

#[test]
fn the_nearest_target_with_room_is_chosen() {
    let own = facts("own", "a", "a1");
    let near = facts("near", "a", "a2");
    let far = facts("far", "b", "b1");
    let full = |facts: &Facts, wait| loaded(facts.clone(), 2, SLOTS, wait);
    let closed = |facts: &Facts| Facts { open: false, ..facts.clone() };
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
        let chosen = Bench::new(&known).choose(&[]);
        assert_eq!(chosen.map(|choice| choice.distance), expected, "{name}");
    }
    assert!(remote_cost(Bytes(1 << 20)) > remote_cost(SMALL), "volume has its price");
}

#[test]
fn own_requests_count_before_they_are_reported() {
    let mut bench = Bench::new(&[facts("a", "a", "a1"), facts("b", "a", "a1")]);
    let mut counts = [0; 2];
    for _ in 0..2 * SLOTS {
        let choice = bench.choose(&[]).expect("chosen");
        counts[usize::from(choice.node.as_str() == "b")] += 1;
    }
    assert_eq!(counts, [SLOTS, SLOTS], "each slot is used once");
}

#[test]
fn late_and_doubled_reports_change_nothing() {
    let own = facts("own", "a", "a1");
    let far = facts("far", "b", "b1");
    let mut bench = Bench::new(&[own.clone(), far]);
    bench.index.learn(bench.now, loaded(own.clone(), 5, SLOTS, 500));
    for number in [2, 4, 5] {
        bench.index.learn(bench.now, loaded(own.clone(), number, 0, 0));
        assert_eq!(bench.choose(&[]).expect("chosen").distance, Distance::Remote, "{number}");
    }
    bench.index.learn(bench.now, loaded(own, 6, 0, 0));
    assert_eq!(bench.choose(&[]).expect("chosen").distance, Distance::Zone);
}

#[test]
fn excluded_targets_are_not_chosen_again() {
    let mut bench = Bench::new(&[facts("a", "a", "a1"), facts("b", "a", "a1")]);
    let first = bench.choose(&[]).expect("chosen");
    let second = bench.choose(&[first.key]).expect("chosen");
    assert_ne!(first.node, second.node);
    assert_eq!(bench.choose(&[first.key, second.key]), Err(Error::NoneOpen));
}

#[test]
fn a_replaced_agent_starts_anew() {
    let own = facts("own", "a", "a1");
    let mut bench = Bench::new(std::slice::from_ref(&own));
    let before = bench.choose(&[]).expect("chosen");
    bench.index.learn(bench.now, Facts { boot: Boot(2), ..own.clone() });
    let after = bench.choose(&[]).expect("chosen");
    assert_eq!((after.boot, after.load), (Boot(2), 1));
    bench.conclude(&before, Verdict::Bad);
    assert_eq!(bench.choose(&[]).expect("chosen").load, 2, "an old outcome changes nothing");
    bench.index.forget(&own.node);
    assert_eq!(bench.choose(&[]), Err(Error::NoTarget));
}

#[test]
fn a_new_target_starts_slowly() {
    let mut young = facts("young", "a", "a1");
    young.load.uptime = Millis(2_500);
    let mut bench = Bench::new(&[young, facts("old", "a", "a1")]);
    let mut counts = [0; 2];
    for _ in 0..10 {
        let choice = bench.choose(&[]).expect("chosen");
        counts[usize::from(choice.node.as_str() == "old")] += 1;
    }
    assert_eq!(counts, [2, SLOTS], "a quarter of the time brings a quarter of the slots");
}

#[test]
fn a_failing_target_is_ejected_and_probed() {
    let names = ["a", "b", "c", "d"];
    let known: Vec<Facts> = names.iter().map(|name| facts(name, "a", "a1")).collect();
    let mut bench = Bench::new(&known);
    let fails = |name: &str| if name == "a" { Verdict::Bad } else { Verdict::Good };
    bench.share(100, fails, "a");
    assert_eq!(bench.index.ejected(&service()), 1);
    assert_eq!(bench.share(1_000, fails, "a"), 0, "it gets nothing");
    bench.now = bench.now + EJECT_TIME;
    bench.index.tick(bench.now);
    assert_eq!(bench.share(1_000, fails, "a"), 1, "it gets one probe");
    bench.now = bench.now + EJECT_TIME;
    bench.index.tick(bench.now);
    assert_eq!(bench.share(1_000, fails, "a"), 0, "its second ejection takes longer");
    bench.now = bench.now + EJECT_TIME;
    bench.index.tick(bench.now);
    let share = bench.share(1_000, |_| Verdict::Good, "a");
    assert!((200..300).contains(&share), "it is back with its share: {share}");
}

#[test]
fn ejection_never_empties_a_zone() {
    let cases: [(&str, &[&str], &[&str], usize); 4] = [
        ("one of one", &["a"], &["a"], 0),
        ("one of two", &["a", "b"], &["a"], 1),
        ("two of two", &["a", "b"], &["a", "b"], 0),
        ("all of four", &["a", "b", "c", "d"], &["a", "b", "c", "d"], 0),
    ];
    for (name, known, failing, most) in cases {
        let known: Vec<Facts> = known.iter().map(|name| facts(name, "a", "a1")).collect();
        let mut bench = Bench::new(&known);
        let bad = |name: &str| if failing.contains(&name) { Verdict::Bad } else { Verdict::Good };
        bench.share(400, bad, "a");
        let ejected = bench.index.ejected(&service());
        assert!(ejected <= most.max(known.len() / 2), "{name}: {ejected}");
        assert!(bench.choose(&[]).is_ok(), "{name}");
        if failing.len() < known.len() {
            assert_eq!(ejected, most, "{name}");
        }
    }
}

#[test]
fn a_choice_knows_the_uptime_of_the_agent_from_below() {
    let mut bench = Bench::new(&[facts("a", "a", "a1")]);
    bench.now = bench.now + Duration::from_secs(2);
    let choice = bench.choose(&[]).expect("chosen");
    assert_eq!(choice.uptime, Time::from_secs(62));
}

#[test]
fn a_target_that_refuses_is_passed_over() {
    let mut bench = Bench::new(&[facts("a", "a", "a1"), facts("b", "a", "a1")]);
    let refuses = |name: &str| if name == "a" { Verdict::Leaving } else { Verdict::Good };
    assert!(bench.share(200, refuses, "a") <= 1, "one refusal is enough");
    assert_eq!(bench.index.ejected(&service()), 0, "it has not failed");
    bench.now = bench.now + REFUSED_FOR;
    bench.index.tick(bench.now);
    let share = bench.share(1_000, |_| Verdict::Good, "a");
    assert!((400..600).contains(&share), "it is back with its share: {share}");
}
