//! Faults of the configuration log: malformed rows, and a ring that is full because no snapshot
//! can be written.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use persimmondrift::config::journal::ring::Ring;
use persimmondrift::config::journal::{
    Answer, Append, Call, Effect, Error, Journal, LocalState, Ticket,
};
use persimmondrift::config::{self, Change, Config, Record, Serving};
use persimmondrift::intent::{self, ObservedState};
use persimmondrift::store::{self, Row};
use persimmondrift::unit::{Mutation, Time, Version};
use serde_json::json;

struct Process {
    journal: Journal,
    config: Config,
    records: VecDeque<Record>,
    rows: BTreeMap<String, Row>,
    now: Time,
    malformed: Vec<String>,
}

impl Process {
    fn new(ring: Ring) -> Self {
        Self {
            journal: Journal::with_sizes(1, ring, 8),
            config: Config::default(),
            records: VecDeque::new(),
            rows: BTreeMap::new(),
            now: Time::from_secs(1),
            malformed: Vec::new(),
        }
    }

    /// Makes all calls that are due within 20 s, with an object store that does not answer.
    fn run(&mut self) -> Vec<Result<Version, Error>> {
        let mut results = Vec::new();
        for _ in 0..200 {
            self.now = self.now + Duration::from_millis(100);
            let local = LocalState { config: &self.config, records: &self.records };
            let Some(call) = self.journal.next_call(self.now, local) else {
                continue;
            };
            let answer = answer(&mut self.rows, call);
            let effects = self.journal.handle_answer(self.now, answer, local);
            for effect in effects {
                match effect {
                    Effect::Accept(records) => records.into_iter().for_each(|record| {
                        assert_eq!(self.config.apply(&record), Ok(true));
                        config::push_record(&mut self.records, record);
                    }),
                    Effect::Malformed(key) => self.malformed.push(key),
                    Effect::AppendResult(_, result) => results.push(result),
                    _ => {}
                }
            }
        }
        results
    }

    fn change(&mut self, timeout_ms: u64) -> Result<Version, Error> {
        let service = "taller-app".parse().expect("valid");
        let change = Change::PutService { service, serving: Serving { timeout_ms } };
        let observed = ObservedState::default();
        let draft =
            intent::plan(&self.config, &observed, timeout_ms, vec![change]).expect("a plan");
        let (ticket, operator) = (Ticket(timeout_ms), "founder".parse().expect("valid"));
        self.journal.append(self.now, Append { ticket, draft, operator, observed });
        self.run().pop().expect("an answer")
    }
}

fn answer(rows: &mut BTreeMap<String, Row>, call: Call) -> Answer {
    match call {
        Call::Read(key) => Answer::Row(Ok(rows.get(&key).cloned())),
        Call::Scan(after) => {
            let later = rows.values().filter(|row| row.key > after && row.key != "snapshot");
            Answer::Rows(Ok(later.cloned().collect()))
        }
        Call::Write(writes) => {
            let held = |key: &str| rows.get(key).map_or(Version(0), |row| row.version);
            if writes.iter().any(|write| held(&write.key) != write.expected) {
                return Answer::Wrote(Ok(store::Outcome::Refused));
            }
            for store::Write { key, expected, mutation, value } in writes {
                let version = expected.next();
                rows.insert(key.clone(), Row { key, version, mutation, value });
            }
            Answer::Wrote(Ok(store::Outcome::Applied))
        }
        Call::Get(_) => Answer::Object(Err(store::Error::NoAnswer)),
        Call::Put(..) | Call::Delete(_) => Answer::Stored(Err(store::Error::NoAnswer)),
    }
}

#[test]
fn malformed_rows_do_not_stop_an_entry() {
    let values = [json!(null), json!({}), json!({ "version": 9 }), json!("text")];
    for value in values {
        let ring = Ring::default();
        let mut process = Process::new(ring);
        assert_eq!(process.change(1), Ok(Version(1)));
        let key = ring.key(Version(2));
        let row = Row { key: key.clone(), version: Version(1), mutation: Mutation(1), value };
        process.rows.insert(key.clone(), row);
        assert_eq!(process.change(2), Ok(Version(3)), "the malformed row blocks the log");
        assert_eq!(process.malformed, [key], "the row is reported once");
        let timeouts: Vec<u64> = process.config.services.values().map(|s| s.timeout_ms).collect();
        assert_eq!(timeouts, [2]);
    }
}

#[test]
fn nothing_is_overwritten_without_a_snapshot() {
    let ring = Ring { slots: 48 };
    let mut process = Process::new(ring);
    let accepted = (1..=30).take_while(|&n| process.change(n) == Ok(Version(n))).count();
    assert!(accepted > 0 && accepted < 30, "{accepted} changes were accepted");
    assert_eq!(process.change(31), Err(Error::Full));
    assert!(process.rows.values().all(|row| row.version == Version(1)), "a row was overwritten");
}
