//! Failure detection of members: silence, pauses, restarts under the same name, and lost datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use persimmondrift::member::{
    DEAD_AFTER, Effect, FORGET_AFTER, IDLE_ANNOUNCE_INTERVAL, Judgement, Payload, SUSPECT_AFTER,
    State, View,
};
use persimmondrift::unit::{Boot, Node, Sequence, Time};

/// Interval between ticks of the view.
const TICK: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Report(State, u32);

impl Payload for Report {
    fn state(&self) -> State {
        self.0
    }
}

struct Observer {
    view: View<Report>,
    now: Time,
}

impl Observer {
    fn new() -> Self {
        Self { view: View::default(), now: Time::from_secs(1) }
    }

    fn receive(&mut self, boot: u64, sequence: u64, report: Report) -> Vec<Effect> {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        self.view.observe(self.now, address, (&node(), Boot(boot), Sequence(sequence)), report)
    }

    /// Ticks the view for `span` and returns its effects without due probes.
    fn advance(&mut self, span: Duration) -> Vec<Effect> {
        let end = self.now + span;
        let mut effects = Vec::new();
        while self.now < end {
            self.now = self.now + TICK;
            effects.extend(self.view.tick(self.now));
        }
        effects.retain(|effect| !matches!(effect, Effect::ProbeDue(_)));
        effects
    }

    fn last_report(&self) -> (Boot, Report) {
        let member = self.view.get(&node()).expect("known");
        (member.boot, member.payload)
    }
}

fn node() -> Node {
    Node::try_from("taller-00").expect("valid")
}

fn serving(value: u32) -> Report {
    Report(State::Serving, value)
}

#[test]
fn late_datagrams_of_an_old_incarnation_are_ignored() {
    let mut observer = Observer::new();
    observer.receive(10, 1, serving(1));
    let changes = observer.receive(20, 1, serving(2));
    assert_eq!(changes, [Effect::Lost(node()), Effect::Joined(node())]);
    assert_eq!(observer.receive(10, 2, serving(3)), [], "the old incarnation replaced the new one");
    assert_eq!(observer.last_report(), (Boot(20), serving(2)));
}

#[test]
fn clock_set_back_does_not_exclude_a_restarted_vm() {
    let mut observer = Observer::new();
    observer.receive(20, 1, serving(1));
    assert_eq!(observer.advance(SUSPECT_AFTER), [Effect::Suspected(node())]);
    let changes = observer.receive(10, 1, serving(2));
    assert_eq!(changes, [Effect::Lost(node()), Effect::Joined(node())]);
    assert_eq!(observer.last_report(), (Boot(10), serving(2)));
}

#[test]
fn duplicate_and_reordered_messages_are_ignored() {
    let mut observer = Observer::new();
    observer.receive(10, 5, serving(5));
    for sequence in [5, 4, 1] {
        assert_eq!(observer.receive(10, sequence, serving(9)), []);
    }
    assert_eq!(observer.receive(10, 6, serving(6)), [Effect::Updated(node())]);
}

#[test]
fn paused_member_is_suspected_and_recovers() {
    let mut observer = Observer::new();
    observer.receive(10, 1, serving(1));
    let almost = DEAD_AFTER.saturating_sub(TICK);
    assert_eq!(
        observer.advance(almost),
        [Effect::Suspected(node())],
        "a paused member was not just suspected"
    );
    assert_eq!(observer.view.alive().count(), 0, "a suspected member gets new work");
    let changes = observer.receive(10, 2, serving(1));
    assert_eq!(changes, [Effect::Recovered(node()), Effect::Updated(node())]);
}

#[test]
fn pause_of_the_observer_is_not_silence_of_members() {
    let mut observer = Observer::new();
    observer.receive(10, 1, serving(1));
    observer.advance(TICK);
    observer.now = observer.now + 3 * DEAD_AFTER;
    assert_eq!(
        observer.advance(Duration::from_secs(2)),
        [],
        "a pause of the observer counted as silence"
    );
    assert_eq!(observer.advance(DEAD_AFTER), [Effect::Suspected(node()), Effect::Lost(node())]);
}

#[test]
fn leaving_members_are_left_and_serving_ones_lost() {
    for (report, gone) in
        [(Report(State::Leaving, 1), Effect::Left(node())), (serving(1), Effect::Lost(node()))]
    {
        let mut observer = Observer::new();
        observer.receive(10, 1, report);
        assert_eq!(observer.advance(DEAD_AFTER), [Effect::Suspected(node()), gone]);
        // Its work was given up once, so its return is not reported as another loss.
        assert_eq!(observer.receive(11, 1, serving(1)), [Effect::Joined(node())]);
    }
}

#[test]
fn dead_members_are_removed() {
    let mut observer = Observer::new();
    for number in 0..1_000 {
        let name = Node::try_from(format!("taller-{number}")).expect("valid");
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        observer.view.observe(observer.now, address, (&name, Boot(1), Sequence(1)), serving(1));
    }
    observer.advance(DEAD_AFTER);
    assert_eq!(observer.view.iter().count(), 1_000);
    assert!(observer.view.iter().all(|(_, member)| member.judgement == Judgement::Dead));
    observer.advance(FORGET_AFTER);
    assert_eq!(observer.view.iter().count(), 0);
}

/// Simulates a member that announces itself and answers probes over a network that loses datagrams,
/// and that dies after `span`. Returns the number of false suspicions, and the time from its death
/// until it is suspected and gets no new work.
fn simulate_loss(seed: u64, loss: f64, span: Duration) -> (usize, Duration) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut observer = Observer::new();
    let mut sequence = 1;
    observer.receive(10, sequence, serving(1));
    let mut announced = observer.now;
    let mut false_suspicions = 0;
    let end = observer.now + span;
    loop {
        observer.now = observer.now + TICK;
        let alive = observer.now < end;
        let effects = observer.view.tick(observer.now);
        let asked = effects.iter().any(|effect| matches!(effect, Effect::ProbeDue(_)));
        let suspected = effects.iter().any(|effect| matches!(effect, Effect::Suspected(_)));
        if suspected && !alive {
            return (false_suspicions, observer.now.since(end));
        }
        false_suspicions += usize::from(suspected);
        let mut arrives = |datagrams| alive && (0..datagrams).all(|_| random.f64() >= loss);
        let due = observer.now.since(announced) >= IDLE_ANNOUNCE_INTERVAL;
        if due {
            announced = observer.now;
        }
        if (due && arrives(1)) || (asked && arrives(2)) {
            sequence += 1;
            observer.receive(10, sequence, serving(1));
        }
        if !alive && observer.now.since(end) > 2 * SUSPECT_AFTER {
            return (false_suspicions, observer.now.since(end));
        }
    }
}

#[test]
fn datagram_loss_causes_few_false_suspicions() {
    let span = Duration::from_mins(10);
    let (mut false_suspicions, mut longest_detection) = (0, Duration::ZERO);
    for seed in 0..200 {
        let (more, detection) = simulate_loss(seed, 0.3, span);
        false_suspicions += more;
        longest_detection = longest_detection.max(detection);
    }
    // 200 members for 600 s correspond to 33 hours of one member.
    println!(
        "{false_suspicions} false suspicions in 200 x 600 s at 30 % loss, {longest_detection:?} to detection"
    );
    assert!(false_suspicions <= 20, "{false_suspicions} false suspicions");
    assert!(
        longest_detection <= SUSPECT_AFTER + TICK,
        "{longest_detection:?} until the member was suspected"
    );
}

#[test]
fn beats_refresh_the_last_report() {
    let mut observer = Observer::new();
    let beat = |observer: &mut Observer, boot, sequence| {
        let source = (&node(), Boot(boot), Sequence(sequence));
        observer.view.touch(observer.now, source, |report| report.1 += 1)
    };
    assert_eq!(beat(&mut observer, 10, 1), None, "a beat of an unknown member was accepted");
    observer.receive(10, 2, serving(7));
    for sequence in 3..20 {
        assert_eq!(observer.advance(Duration::from_secs(1)), []);
        assert_eq!(beat(&mut observer, 10, sequence), Some(vec![]));
    }
    assert_eq!(observer.last_report(), (Boot(10), serving(24)));
    observer.advance(SUSPECT_AFTER);
    assert_eq!(beat(&mut observer, 10, 3), Some(vec![]), "an old beat counted as a new one");
    assert_eq!(beat(&mut observer, 10, 20), Some(vec![Effect::Recovered(node())]));
    assert_eq!(beat(&mut observer, 11, 1), None, "a beat of another incarnation was accepted");
    observer.advance(DEAD_AFTER);
    assert_eq!(beat(&mut observer, 10, 21), None, "a beat revived a dead member");
}
