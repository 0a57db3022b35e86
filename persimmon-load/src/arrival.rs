//! Arrival times of an open-loop load: they do not wait for answers.

use std::f64::consts::TAU;
use std::str::FromStr;
use std::time::Duration;

/// Share of the period that a burst lasts.
const BURST_SHARE: f64 = 0.1;
/// Rate in a burst, as a multiple of the mean.
const BURST_RATE: f64 = 5.0;
/// Largest departure of the diurnal rate from the mean, as a share of it.
const DIURNAL_SWING: f64 = 0.8;
/// Number of bursts, and of days, in a run.
const PERIODS: f64 = 4.0;

/// How the rate changes over a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// It stays the same.
    Steady,
    /// A tenth of the time has five times the mean.
    Burst,
    /// It rises and falls like a day.
    Diurnal,
}

/// Reports a pattern that is not known.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no pattern; write steady, burst or diurnal")]
pub struct Error(String);

impl FromStr for Pattern {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "steady" => Ok(Self::Steady),
            "burst" => Ok(Self::Burst),
            "diurnal" => Ok(Self::Diurnal),
            other => Err(Error(other.to_owned())),
        }
    }
}

impl Pattern {
    /// Returns the rate at a point of the run, from 0 to 1, as a multiple of the mean.
    #[must_use]
    pub fn rate(self, point: f64) -> f64 {
        let phase = (point * PERIODS).fract();
        match self {
            Self::Steady => 1.0,
            Self::Burst if phase < BURST_SHARE => BURST_RATE,
            Self::Burst => (1.0 - BURST_SHARE * BURST_RATE) / (1.0 - BURST_SHARE),
            Self::Diurnal => 1.0 - DIURNAL_SWING * (TAU * phase).cos(),
        }
    }

    fn peak_rate(self) -> f64 {
        match self {
            Self::Steady => 1.0,
            Self::Burst => BURST_RATE,
            Self::Diurnal => 1.0 + DIURNAL_SWING,
        }
    }
}

/// Returns the arrival times of a run with a mean rate a second: a Poisson process whose rate
/// follows the pattern.
#[must_use]
pub fn times(pattern: Pattern, rate: f64, length: Duration, seed: u64) -> Vec<Duration> {
    let mut random = fastrand::Rng::with_seed(seed);
    let (length, max_rate) = (length.as_secs_f64(), rate * pattern.peak_rate());
    let mut times = Vec::new();
    let mut now = 0.0;
    loop {
        now -= (1.0 - random.f64()).ln() / max_rate;
        if now >= length {
            return times;
        }
        // Thinning: of the arrivals at the highest rate, those of the present rate are kept.
        if random.f64() * pattern.peak_rate() < pattern.rate(now / length) {
            times.push(Duration::from_secs_f64(now));
        }
    }
}
