//! Arrival times of an open-loop load, which do not depend on when earlier requests end.

use std::f64::consts::TAU;
use std::str::FromStr;
use std::time::Duration;

/// Share of a period during which a burst lasts.
const BURST_SHARE: f64 = 0.1;
/// Rate during a burst, as a multiple of the mean rate.
const BURST_RATE: f64 = 5.0;
/// Amplitude of the diurnal rate, as a share of the mean rate.
const DIURNAL_SWING: f64 = 0.8;
/// Number of bursts or simulated days in a run.
const PERIODS: f64 = 4.0;

/// How the arrival rate changes over a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// The rate is constant.
    Steady,
    /// During a tenth of the time the rate is five times the mean.
    Burst,
    /// The rate follows a sine, from trough to peak and back once per simulated day.
    Diurnal,
}

/// Holds the name of an unknown arrival pattern.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown arrival pattern `{0}`; expected steady, burst or diurnal")]
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
    /// Returns the rate at a point of the run, from 0 to 1, as a multiple of the mean rate.
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

/// Returns the arrival times of a Poisson process whose rate follows the pattern.
///
/// `rate` is the mean number of arrivals per second.
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
        // Thinning: arrivals are drawn at the peak rate and kept in proportion to the current rate.
        if random.f64() * pattern.peak_rate() < pattern.rate(now / length) {
            times.push(Duration::from_secs_f64(now));
        }
    }
}
