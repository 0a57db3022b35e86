//! Tests of the table client, the commit of batches, the backoff and the rate limit against a table
//! service with injected faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use persimmondrift::adapter::table::{self, MAX_SCAN_ROWS};
use persimmondrift::store::{self, Backoff, Calls, Error, Kind, Outcome, Throttle, Write};
use persimmondrift::unit::{Mutation, Time, Version};
use serde_json::json;
use standin::fault::Fault::{self, Fail, LoseAnswer, Refuse};
use standin::table::Table;

/// A name, the fault of each call, the expected result, and the version of the rows afterwards.
type FaultCase<'a> = (&'a str, &'a [Option<Fault>], Result<Outcome, Error>, u64);
/// A name, a fault, the batch, the writes of others after each send, and the expected outcome.
type InterleavedCase<'a> = (&'a str, Option<Fault>, Vec<Write>, Vec<Write>, Outcome);

fn write(key: &str, expected: u64, mutation: u64) -> Write {
    let (expected, mutation) = (Version(expected), Mutation(mutation));
    Write { key: key.to_owned(), expected, mutation, value: json!(mutation) }
}

fn start() -> (Table, Arc<Calls>) {
    let table = Table::start().expect("table service started");
    let calls = Arc::new(table::calls(&table.url()));
    (table, calls)
}

/// Returns calls that apply the writes of others after each send of a batch.
fn with_interleaved_writes(inner: &Arc<Calls>, others: Vec<Write>) -> Calls {
    let (first, second, third) = (Arc::clone(inner), Arc::clone(inner), Arc::clone(inner));
    Calls {
        write: Box::new(move |writes| {
            let result = (first.write)(writes);
            for other in &others {
                let _ = (first.write)(std::slice::from_ref(other));
            }
            result
        }),
        read: Box::new(move |key| (second.read)(key)),
        scan: Box::new(move |prefix, after| (third.scan)(prefix, after)),
    }
}

#[test]
fn outcomes_under_faults() {
    let refused = Some(Refuse);
    let lost = Some(LoseAnswer);
    let cases: [FaultCase; 8] = [
        ("no fault", &[], Ok(Outcome::Applied), 1),
        ("answer lost", &[lost], Ok(Outcome::Applied), 1),
        ("nothing done, then lost", &[refused, None, lost], Ok(Outcome::Applied), 1),
        ("refused once", &[refused], Ok(Outcome::Applied), 1),
        ("failed twice", &[Some(Fail), None, Some(Fail)], Ok(Outcome::Applied), 1),
        ("lost, read fails", &[lost, refused], Err(Error::Undecided), 1),
        ("nothing done, read fails", &[refused, refused], Err(Error::Undecided), 0),
        ("refused always", &[refused, None, refused, None, refused], Err(Error::Undecided), 0),
    ];
    let (table, calls) = start();
    for (index, (name, script, expected, version)) in cases.into_iter().enumerate() {
        table.switch.script(script.iter().copied());
        let keys = [format!("a{index}"), format!("b{index}")];
        let writes = [write(&keys[0], 0, 7), write(&keys[1], 0, 7)];
        assert_eq!(store::commit(&calls, &writes), expected, "{name}");
        for key in &keys {
            let row = (calls.read)(key).expect("read");
            assert_eq!(row.map_or(0, |row| row.version.0), version, "{name}: row {key}");
        }
        // Committed again with the same mutation ids, the batch still takes effect only once.
        assert_eq!(store::commit(&calls, &writes), Ok(Outcome::Applied), "{name}, again");
        let row = (calls.read)(&keys[0]).expect("read").expect("a row");
        assert_eq!(row.version, Version(1), "{name}, again");
    }
    table.stop();
}

#[test]
fn outcomes_with_interleaved_writes() {
    let mine = || vec![write("lease", 1, 7)];
    let both = || vec![write("lease", 1, 7), write("other", 0, 7)];
    let cases: [InterleavedCase; 6] = [
        (
            "applied, overwritten",
            Some(LoseAnswer),
            mine(),
            vec![write("lease", 2, 8)],
            Outcome::Overtaken,
        ),
        (
            "failed, one other write",
            Some(Fail),
            mine(),
            vec![write("lease", 1, 8)],
            Outcome::Refused,
        ),
        (
            "failed, two other writes",
            Some(Fail),
            mine(),
            vec![write("lease", 1, 8), write("lease", 2, 9)],
            Outcome::Overtaken,
        ),
        (
            "applied, known from the second row",
            Some(LoseAnswer),
            both(),
            vec![write("lease", 2, 8)],
            Outcome::Applied,
        ),
        (
            "failed, known from the second row",
            Some(Fail),
            both(),
            vec![write("lease", 1, 8), write("lease", 2, 9), write("other", 0, 9)],
            Outcome::Refused,
        ),
        (
            "applied, first row overwritten",
            None,
            both(),
            vec![write("lease", 2, 8)],
            Outcome::Applied,
        ),
    ];
    let (table, calls) = start();
    for (index, (name, fault, mut writes, mut others, expected)) in cases.into_iter().enumerate() {
        for write in writes.iter_mut().chain(&mut others) {
            write.key = format!("{}{index}", write.key);
        }
        let lease = format!("lease{index}");
        assert_eq!((calls.write)(&[write(&lease, 0, 1)]), Ok(Outcome::Applied), "{name}");
        let between = with_interleaved_writes(&calls, others);
        table.switch.script([fault]);
        assert_eq!(store::commit(&between, &writes), Ok(expected), "{name}");
    }
    table.stop();
}

#[test]
fn unreachable_service_applies_nothing() {
    let (table, calls) = start();
    table.stop();
    let writes = vec![write("a", 0, 7)];
    let mut first = store::Commit::new(writes.clone());
    assert_eq!(first.drive(&calls), Err(Error::Unreachable));
    assert_eq!(store::commit(&calls, &writes), Err(Error::Undecided));
}

#[test]
fn scans_are_paged() {
    let (table, calls) = start();
    let rows: Vec<Write> =
        (0..MAX_SCAN_ROWS + 5).map(|n| write(&format!("k/{n:05}"), 0, 1)).collect();
    assert_eq!((calls.write)(&rows), Ok(Outcome::Applied));
    let _ = (calls.write)(&[write("j", 0, 1), write("l", 0, 1)]);
    let first = (calls.scan)("k/", "").expect("a page");
    assert_eq!(first.len(), MAX_SCAN_ROWS);
    let last = &first[MAX_SCAN_ROWS - 1].key;
    let keys: Vec<String> =
        (calls.scan)("k/", last).expect("a page").into_iter().map(|row| row.key).collect();
    assert_eq!(keys.len(), 5);
    assert_eq!(keys.last().map(String::as_str), Some("k/01004"));
    table.stop();
}

#[test]
fn backoff_grows_with_jitter() {
    let now = Time::from_secs(100);
    let pauses = |seed| {
        let mut backoff = Backoff::new(seed);
        (0..12).map(|_| backoff.record_failure(now)).collect::<Vec<Duration>>()
    };
    let (one, other) = (pauses(1), pauses(2));
    assert_ne!(one, other);
    assert_eq!(one, pauses(1));
    assert!(one[0] <= Duration::from_millis(100) && one[11] >= Duration::from_secs(2));
    assert!(one.iter().all(|pause| *pause <= Duration::from_secs(4)));
    let mut backoff = Backoff::new(1);
    let pause = backoff.record_failure(now);
    assert!(backoff.remaining(now) <= pause && backoff.remaining(now) >= Duration::from_millis(50));
    assert_eq!(backoff.remaining(now + pause), Duration::ZERO);
    backoff.record_success();
    assert_eq!(backoff.remaining(now), Duration::ZERO);
}

#[test]
fn throttle_limits_the_rate() {
    for (entries, rate) in [(1, 300_u32), (25, 12)] {
        let begin = Time::from_secs(5);
        let mut throttle = Throttle::new(begin, entries);
        let sent = AtomicU32::new(0);
        let mut now = begin;
        // A caller that sends for 10 s without other pauses gets one second's burst and its rate.
        while now < begin + Duration::from_secs(10) {
            now = now + throttle.spend(now, Kind::Write, 1);
            sent.fetch_add(1, Ordering::Relaxed);
        }
        let sent = sent.into_inner();
        assert!((11 * rate - 2..=11 * rate + 2).contains(&sent), "{entries}: {sent}");
        let wait = throttle.spend(now, Kind::Read, 1);
        assert_eq!(wait, Duration::ZERO, "reads have their own budget");
    }
}

/// Entries that failed together must not overload the service when it is restored.
#[test]
fn entries_retry_at_different_times() {
    let restored_at = Time::from_secs(160);
    let mut retry_slots = Vec::new();
    for seed in 0..25 {
        // All entries fail first at the same time, and retry until the service is restored.
        let mut backoff = Backoff::new(seed);
        let mut now = Time::from_secs(100);
        while now < restored_at {
            now = now + backoff.record_failure(now);
        }
        retry_slots.push(now.since(restored_at).as_millis() / 100);
    }
    let max_per_slot =
        (0..40).map(|slot| retry_slots.iter().filter(|at| **at == slot).count()).max();
    println!(
        "{max_per_slot:?} of 25 entries within 100 ms, the last after {:?}",
        retry_slots.iter().max()
    );
    assert!(max_per_slot <= Some(6), "{max_per_slot:?} of 25 entries retry within the same 100 ms");
    assert!(
        retry_slots.iter().all(|at| *at < 40),
        "an entry retries more than 4 s after the service is restored"
    );
}
