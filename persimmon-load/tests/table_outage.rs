//! During an outage of the table service a new entry serves the version of its peers, changes are
//! refused, and a confirmation whose answer is lost takes effect once.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_load::bench::{Cluster, Layout, TOKEN, entry_settings};
use persimmon_load::demo::{plan_and_confirm_quietly, status};
use persimmondrift::config::{Change, Serving};
use persimmondrift::entry;
use persimmondrift::unit::Version;
use standin::fault::Fault;

/// Time within which an awaited condition must hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn change(timeout_ms: u64) -> Vec<Change> {
    let service = "taller-app".parse().expect("valid");
    vec![Change::PutService { service, serving: Serving { timeout_ms } }]
}

fn post(operator: SocketAddr, path: &str, body: &[u8]) -> (u16, serde_json::Value) {
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let url = format!("http://{operator}{path}");
    let header = format!("Bearer {TOKEN}");
    let sent = ureq::Agent::new_with_config(config).post(&url).header("Authorization", header);
    let mut response = sent.send(body).expect("an answer");
    let body = response.body_mut().read_to_vec().expect("a body");
    (response.status().as_u16(), serde_json::from_slice(&body).expect("JSON"))
}

fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let begin = Instant::now();
    while !is_met() {
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {condition}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn configuration_does_not_revert_during_table_outage() {
    let layout = Layout {
        service: "taller-app".parse().expect("valid"),
        regions: vec!["sac-a".parse().expect("valid")],
        entries: 2,
        workers: 1,
        service_time: Duration::ZERO,
    };
    let mut cluster = Cluster::start(&layout).expect("a system");
    let operator = cluster.entries[0].operators();
    for timeout in 1..=3 {
        plan_and_confirm_quietly(operator, &change(timeout)).expect("accepted");
    }
    wait_until("both entries are at version 3", || {
        cluster.entries.iter().all(|entry| entry.version() == Version(3))
    });

    // A new entry takes the version from its peers and serves no older one.
    cluster.table.switch.set(Some(Fault::Refuse));
    let known = cluster.entries.iter().map(entry::Handle::address).collect();
    let services = (cluster.table.url(), cluster.objects.url());
    let settings = entry_settings(&layout, 2, known, services).expect("settings");
    let new_entry = entry::start(settings).expect("an entry");
    assert_eq!(
        new_entry.version(),
        Version(3),
        "the new entry serves another version than its peers"
    );

    // Planning succeeds; the confirmation is refused, and the response says that nothing changed.
    let (code, planned) = post(operator, "/v1/plans", &json(&change(9)));
    assert_eq!(code, 200, "{planned}");
    let draft = &planned["planned"];
    let path = format!("/v1/plans/{}/confirm", draft["plan"]);
    let (code, answer) = post(operator, &path, draft.to_string().as_bytes());
    let error = answer["error"].as_str().unwrap_or_default();
    assert_eq!(code, 503, "{answer}");
    assert!(error.starts_with("nothing was accepted"), "{error}");
    assert_eq!(status(operator).expect("a status").config.version, Version(3));

    // The response to a write is lost: confirming the same plan again, also at another entry, does
    // not apply it twice.
    cluster.table.switch.set(None);
    cluster.table.switch.script([None, Some(Fault::LoseAnswer)]);
    let other = new_entry.operators();
    let (code, answer) = post(operator, &path, draft.to_string().as_bytes());
    assert!(code == 200 || code == 504, "{answer}");
    let (code, again) = post(other, &path, draft.to_string().as_bytes());
    assert_eq!((code, &again["confirmed"]), (200, &serde_json::json!(4)), "{again}");
    let (code, twice) = post(operator, &path, draft.to_string().as_bytes());
    assert_eq!((code, &twice["confirmed"]), (200, &serde_json::json!(4)), "{twice}");
    cluster.entries.push(new_entry);
    wait_until("all entries and agents are at version 4", || {
        let entries = cluster.entries.iter().all(|entry| entry.version() == Version(4));
        entries && cluster.machines.iter().all(|machine| machine.agent.version() == Version(4))
    });
    cluster.stop();
}

fn json(changes: &[Change]) -> Vec<u8> {
    serde_json::to_vec(changes).expect("encoded")
}
