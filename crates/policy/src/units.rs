//! Types for points in time, token counts and token rates.

use std::{
    fmt,
    iter::Sum,
    ops::{Add, AddAssign, Sub, SubAssign},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an origin that the caller of this crate chooses. The
/// daemon uses its start as the origin; tests count from zero.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The origin of the time scale.
    pub const ZERO: Time = Time(0);
    /// Later than every other point in time.
    pub const MAX: Time = Time(u64::MAX);

    /// The point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1000)
    }

    /// The time since `earlier`, or zero if this point isn't later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl FromStr for Time {
    type Err = std::num::ParseIntError;

    /// Parses a number of microseconds.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Time)
    }
}

/// A number of tokens.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Tokens = Tokens(0);

    /// The difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }
}

impl Add for Tokens {
    type Output = Tokens;

    fn add(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Tokens) {
        *self = *self + other;
    }
}

impl Sub for Tokens {
    type Output = Tokens;

    /// Saturates at zero: a negative count has no meaning, and one that wrapped around would block
    /// an endpoint forever.
    fn sub(self, other: Tokens) -> Tokens {
        self.saturating_sub(other)
    }
}

impl SubAssign for Tokens {
    fn sub_assign(&mut self, other: Tokens) {
        *self = *self - other;
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Tokens>>(iter: I) -> Tokens {
        iter.fold(Tokens::ZERO, Add::add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Tokens {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Tokens)
    }
}

/// A rate in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// Minimum rate used to compute a duration, so that a learned rate close to zero results in a
    /// long wait instead of an infinite one.
    const MIN_TOKENS_PER_S: f64 = 0.001;

    /// The time that `tokens` take at this rate.
    pub fn duration_for(self, tokens: Tokens) -> Duration {
        Duration::try_from_secs_f64(self.seconds(tokens)).unwrap_or(Duration::MAX)
    }

    /// The time that `tokens` take at this rate, in seconds, for sums over many endpoints.
    pub fn seconds(self, tokens: Tokens) -> f64 {
        tokens.0 as f64 / self.0.max(Self::MIN_TOKENS_PER_S)
    }

    /// The number of tokens processed at this rate in `span`.
    pub fn tokens_in(self, span: Duration) -> Tokens {
        Tokens((self.0 * span.as_secs_f64()) as u64)
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} tokens/s", self.0)
    }
}

impl FromStr for TokenRate {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches(" tokens/s").parse().map(TokenRate)
    }
}
