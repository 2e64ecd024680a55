//! Bands of prompt length.

use std::fmt;

use policy::Tokens;
use serde::{Deserialize, Serialize};

/// Prompts of about one length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Band {
    /// Short questions, of about a thousand tokens.
    #[serde(rename = "1k")]
    Short,
    /// Case files, of about ten thousand.
    #[serde(rename = "10k")]
    Medium,
    /// Dossiers and plan sets, of about a hundred thousand.
    #[serde(rename = "100k")]
    Long,
    /// The longest, of about a million; they need more than two engines' memory.
    #[serde(rename = "1M")]
    Longest,
}

impl Band {
    /// All bands, shortest first.
    pub const ALL: [Band; 4] = [Band::Short, Band::Medium, Band::Long, Band::Longest];

    /// The band of a prompt.
    pub fn of(tokens: Tokens) -> Band {
        match tokens.0 {
            0..4_000 => Band::Short,
            4_000..40_000 => Band::Medium,
            40_000..400_000 => Band::Long,
            _ => Band::Longest,
        }
    }

    /// The prompt size that stands for the band.
    pub fn tokens(self) -> Tokens {
        Tokens(match self {
            Band::Short => 1_000,
            Band::Medium => 10_000,
            Band::Long => 100_000,
            Band::Longest => 1_000_000,
        })
    }

    /// Whether prompts of this band count as long in the summary figures.
    pub fn is_long(self) -> bool {
        self >= Band::Long
    }
}

impl fmt::Display for Band {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Band::Short => "1k",
            Band::Medium => "10k",
            Band::Long => "100k",
            Band::Longest => "1M",
        })
    }
}
