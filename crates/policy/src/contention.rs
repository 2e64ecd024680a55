//! Which endpoint groups are scheduled for contention.
//!
//! **Load pattern.** Prompts that fill an engine's whole KV cache arrive in bursts between short
//! ones. Requests then compete for memory, while slots are free.
//!
//! **Without it.** See the components in `docs/design/contended-engines.md`.
//!
//! **Rule.** Operators set a share of the engines' memory. A group is contended if requests of
//! usual length in all slots would fill at least this share.
//!
//! **Grounds.** Where most of the memory is free with all slots taken, slots limit the group, and
//! the ordinary rules of placement suffice.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::routes::EngineRules;

/// A share of an engine's memory, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct MemoryShare(f64);

/// A number that isn't a share from 0 to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct InvalidShare(String);

impl fmt::Display for InvalidShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` isn't a share from 0 to 1", self.0)
    }
}

impl std::error::Error for InvalidShare {}

impl TryFrom<f64> for MemoryShare {
    type Error = InvalidShare;

    fn try_from(share: f64) -> Result<MemoryShare, InvalidShare> {
        match (0.0..=1.0).contains(&share) {
            true => Ok(MemoryShare(share)),
            false => Err(InvalidShare(share.to_string())),
        }
    }
}

impl FromStr for MemoryShare {
    type Err = InvalidShare;

    fn from_str(text: &str) -> Result<MemoryShare, InvalidShare> {
        let share: f64 = text.parse().map_err(|_| InvalidShare(text.to_owned()))?;
        MemoryShare::try_from(share)
    }
}

impl From<MemoryShare> for f64 {
    fn from(share: MemoryShare) -> f64 {
        share.0
    }
}

impl fmt::Display for MemoryShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl MemoryShare {
    /// Whether requests of usual length in all slots would fill this share of an engine's memory.
    pub fn is_reached(self, rules: &EngineRules) -> bool {
        let usual_tokens = f64::from(rules.slots) * rules.usual_context as f64;
        usual_tokens >= self.0 * rules.memory_tokens as f64
    }
}
