//! Sizes, rates and points in time as types.

use std::{
    fmt,
    iter::Sum,
    ops::{Add, AddAssign, Sub, SubAssign},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an origin that the driver chooses. The daemon takes its
/// start as origin; tests count from zero.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);
    /// Later than every other point in time.
    pub const MAX: Time = Time(u64::MAX);

    /// The point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1000)
    }

    /// How long after `earlier` this point is, or zero where it isn't after it.
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

    /// Reads a count of microseconds.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Time)
    }
}

/// A count of tokens.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Tokens = Tokens(0);

    /// The difference, or zero where `other` is larger.
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

    /// Saturates at zero: a count below zero has no meaning, and a wrapped one would block an
    /// endpoint for good.
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

/// Tokens a second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// The slowest rate that a span is computed with, so that a rate learned as nearly zero
    /// yields a long wait and not an infinite one.
    const MIN_TOKENS_PER_S: f64 = 0.001;

    /// How long `tokens` take at this rate.
    pub fn duration_for(self, tokens: Tokens) -> Duration {
        Duration::try_from_secs_f64(self.seconds(tokens)).unwrap_or(Duration::MAX)
    }

    /// The same in seconds, for sums over many endpoints.
    pub fn seconds(self, tokens: Tokens) -> f64 {
        tokens.0 as f64 / self.0.max(Self::MIN_TOKENS_PER_S)
    }

    /// How many tokens this rate gives in `span`.
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
