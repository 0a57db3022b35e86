//! Estimated run times: the owners' declarations, corrected by observed run times.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Spec;
use crate::unit::{Kind, Workspace};

/// Minimum and maximum factor applied to a declared run time.
const CORRECTION_BOUNDS: (f64, f64) = (0.2, 5.0);
/// Minimum weight of a new observation.
const MIN_OBSERVATION_WEIGHT: f64 = 0.1;
/// Lower bound on declared and remaining run times.
const MIN_RUN_TIME: Duration = Duration::from_secs(1);
/// Expected remaining run time of an overdue attempt, as a share of the time it has run.
const OVERDUE_SHARE: f64 = 0.25;

#[derive(Debug)]
struct Correction {
    log_factor: f64,
    observations: u32,
}

/// Learned correction factors, by workspace and kind of job.
#[derive(Debug, Default)]
pub struct Estimates {
    corrections: BTreeMap<(Workspace, Kind), Correction>,
}

impl Estimates {
    /// Updates the correction with a job that finished after running for `took`.
    pub fn learn(&mut self, spec: &Spec, took: Duration) {
        let declared = Duration::from(spec.run_ms).max(MIN_RUN_TIME).as_secs_f64();
        let ratio = (took.as_secs_f64() / declared).clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1);
        let key = (spec.workspace.clone(), spec.kind.clone());
        let correction =
            self.corrections.entry(key).or_insert(Correction { log_factor: 0.0, observations: 0 });
        correction.observations = correction.observations.saturating_add(1);
        // The declaration itself counts as one observation.
        let weight = (1.0 / f64::from(correction.observations.saturating_add(1)))
            .max(MIN_OBSERVATION_WEIGHT);
        correction.log_factor += (ratio.ln() - correction.log_factor) * weight;
    }

    /// Returns the ratio of expected to declared run time.
    #[must_use]
    pub fn factor(&self, spec: &Spec) -> f64 {
        // Building the key allocates, which is acceptable once per submission.
        let key = (spec.workspace.clone(), spec.kind.clone());
        let log_factor = self.corrections.get(&key).map_or(0.0, |correction| correction.log_factor);
        log_factor.exp().clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1)
    }

    /// Returns the expected run time of a job from its start to its end.
    #[must_use]
    pub fn expected_run(&self, spec: &Spec) -> Duration {
        let declared = Duration::from(spec.run_ms).max(MIN_RUN_TIME);
        declared.mul_f64(self.factor(spec))
    }
}

/// Returns the expected remaining run time of a job that has run for `ran`.
#[must_use]
pub fn remaining(expected: Duration, ran: Duration) -> Duration {
    expected.saturating_sub(ran).max(ran.mul_f64(OVERDUE_SHARE)).max(MIN_RUN_TIME)
}
