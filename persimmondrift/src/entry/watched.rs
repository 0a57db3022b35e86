//! The metrics of an entry. Gauges of its state are set only when the metrics are read.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use super::Shared;
use crate::member::{Judgement, View};
use crate::metric::gauge_value;

/// Sets the gauges from the entry's state and renders all metrics.
pub fn render(shared: &Shared) -> String {
    let metrics = &shared.metrics;
    metrics.leaving.set(i64::from(shared.leaving.load(Ordering::Relaxed)));
    {
        let core = shared.core();
        metrics.version.set(gauge_value(core.config.version.0));
        metrics.jobs.set(gauge_value(core.config.jobs.len()));
        for (role, counts) in
            [("agent", count_judgements(&core.agents)), ("entry", count_judgements(&core.entries))]
        {
            for (judgement, count) in counts {
                metrics.members.with_label_values(&[role, judgement]).set(count);
            }
        }
        metrics.free.reset();
        metrics.zone_jobs.reset();
        for (zone, role) in &core.roles {
            let summary = role.summary();
            metrics.free.with_label_values(&[zone.as_str()]).set(summary.free.0.into());
            let waiting = metrics.zone_jobs.with_label_values(&[zone.as_str(), "waiting"]);
            waiting.set(gauge_value(summary.waiting));
        }
    }
    metrics.render()
}

fn count_judgements<T>(view: &View<T>) -> BTreeMap<&'static str, i64> {
    let mut counts = BTreeMap::from([("alive", 0), ("suspect", 0), ("dead", 0)]);
    for (_, member) in view.iter() {
        let word = match member.judgement {
            Judgement::Alive => "alive",
            Judgement::Suspect => "suspect",
            Judgement::Dead => "dead",
        };
        *counts.entry(word).or_default() += 1;
    }
    counts
}
