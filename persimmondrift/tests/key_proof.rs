//! API keys are checked only against a configuration that was recently proved to be the newest.

use std::sync::Arc;
use std::time::Duration;

use persimmondrift::cell::access::{Access, Config, Verdict, Workspace};
use persimmondrift::unit::{Time, Version};
use standin::cell::queue;

const REVOKE_WITHIN: Duration = Duration::from_secs(5);

fn config(version: u64, keys: &[&str]) -> Arc<Config> {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    Arc::new(Config {
        version: Version(version),
        queues: vec![queue("normal", 1), queue("normal-long", 1)],
        workspaces: vec![Workspace { name: "ana".to_owned(), keys, guaranteed: 0 }],
        services: Vec::new(),
        max_body_bytes: 0,
    })
}

fn check(access: &Access, second: u64, key: &str) -> Verdict {
    access.check(Time::from_secs(second), "studio.example", "/normal/1", Some(key))
}

fn is_admitted(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Admitted { .. })
}

#[test]
fn no_configuration_is_unready() {
    let access = Access::new(REVOKE_WITHIN);
    assert_eq!(check(&access, 1, "a"), Verdict::Unready);
}

#[test]
fn old_proof_is_unready() {
    let mut access = Access::new(REVOKE_WITHIN);
    access.update(&config(3, &["a"]), Time::from_secs(10));
    assert!(is_admitted(&check(&access, 14, "a")));
    assert_eq!(check(&access, 15, "a"), Verdict::Unready, "the key may have been revoked since");
    access.confirm_unchanged(Time::from_secs(15));
    assert!(is_admitted(&check(&access, 16, "a")));
}

#[test]
fn older_configuration_is_ignored() {
    let mut access = Access::new(REVOKE_WITHIN);
    assert!(access.update(&config(3, &["b"]), Time::from_secs(10)));
    assert!(!access.update(&config(2, &["a"]), Time::from_secs(20)));
    assert_eq!(check(&access, 12, "a"), Verdict::BadKey);
    assert_eq!(check(&access, 21, "b"), Verdict::Unready, "an older configuration proves nothing");
}

#[test]
fn unknown_keys_and_queues_are_refused() {
    let mut access = Access::new(REVOKE_WITHIN);
    access.update(&config(1, &["a"]), Time::from_secs(1));
    assert_eq!(check(&access, 1, "z"), Verdict::BadKey);
    let at = |path| access.check(Time::from_secs(1), "studio.example", path, Some("a"));
    assert_eq!(at("/other/1"), Verdict::NoQueue);
    let Verdict::Admitted { queue, workspace, rest } = at("/normal-long/0123") else {
        panic!("not admitted");
    };
    assert_eq!((&*queue.name, &*rest), ("normal-long", "0123"));
    assert_eq!(workspace.as_deref(), Some("ana"));
}
