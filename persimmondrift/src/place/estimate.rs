//! Run times: what owners declare, corrected by what was observed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Spec;
use crate::unit::{Kind, Workspace};

/// Least and greatest correction of a declared run time.
const CORRECTION_BOUNDS: (f64, f64) = (0.2, 5.0);
/// Least weight of a new observation.
const MIN_OBSERVATION_WEIGHT: f64 = 0.1;
/// Shortest run time that is reckoned with.
const MIN_RUN_TIME: Duration = Duration::from_secs(1);
/// Share of the time already run that an overdue attempt is taken to need still.
const OVERDUE_SHARE: f64 = 0.25;

#[derive(Debug)]
struct Correction {
    log_factor: f64,
    observations: u32,
}

/// The corrections learned by workspace and kind.
#[derive(Debug, Default)]
pub struct Estimates {
    corrections: BTreeMap<(Workspace, Kind), Correction>,
}

impl Estimates {
    /// Learns from a job that finished after running for `took`.
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

    /// Returns the factor between declared and expected run time.
    #[must_use]
    pub fn factor(&self, spec: &Spec) -> f64 {
        // The key is built only here; a planner asks once for each submission and end.
        let key = (spec.workspace.clone(), spec.kind.clone());
        let log_factor = self.corrections.get(&key).map_or(0.0, |correction| correction.log_factor);
        log_factor.exp().clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1)
    }

    /// Returns the expected run time of a whole job.
    #[must_use]
    pub fn expected_run(&self, spec: &Spec) -> Duration {
        let declared = Duration::from(spec.run_ms).max(MIN_RUN_TIME);
        declared.mul_f64(self.factor(spec))
    }
}

/// Returns the time that is left of an expected run.
#[must_use]
pub fn remaining(expected: Duration, ran: Duration) -> Duration {
    expected.saturating_sub(ran).max(ran.mul_f64(OVERDUE_SHARE)).max(MIN_RUN_TIME)
}
