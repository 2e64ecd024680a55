//! What is short, long and longest.
//!
//! **Load pattern.** Prompts of a thousand and of a million tokens come to the same engines.
//!
//! **Without it.** A single queue serves them alike, and a question of a few words waits half a
//! minute behind a dossier. Fixed limits in tokens are wrong on every other engine.
//!
//! **Rule.** A prompt's band follows from how long its prefill takes alone on the deployment's
//! typical engine, by the limits [`LIMITS`]. Band 0 is short, the others are long; engines and
//! queues serve lower bands first. A request whose footprint is more than an engine's usable memory
//! spreads over several engines.
//!
//! **Grounds.** One second is the time after which a person notices that an answer is slow to
//! come, so what prefills in less can be answered without notice. Each further limit is eight
//! times the last: a prompt that waits for one band below its own to be served is delayed by less
//! than it takes itself, while more bands would each hold too few prompts to order.

use crate::{BANDS, Priority};

/// Seconds of prefill alone above which a prompt belongs to the next band.
pub(super) const LIMITS: [f64; BANDS - 1] = [1.0, 8.0, 64.0];

/// The share of an engine's memory that is planned with. Engines allocate in blocks and round up.
pub(super) const USABLE: f64 = 0.97;

/// A band of prompt lengths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Band(pub(super) u8);

impl Band {
    /// The band of short prompts.
    pub(super) const SHORT: Band = Band(0);

    /// All bands, shortest first.
    pub(super) fn all() -> impl Iterator<Item = Band> {
        (0..BANDS as u8).map(Band)
    }

    /// The band of `prompt` tokens on an engine that prefills `rate` tokens a second.
    pub(super) fn of(prompt: f64, rate: f64) -> Band {
        let seconds = prompt / rate.max(1.0);
        Band(LIMITS.iter().filter(|limit| seconds > **limit).count() as u8)
    }

    pub(super) fn is_long(self) -> bool {
        self != Band::SHORT
    }

    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The longest band that a prompt of this band waits for on an engine. A long prompt overtakes
    /// there only what is at least two bands longer: overtaking the next band gains its wait at
    /// most, and costs the overtaken one, which may be hardly longer, as much.
    pub(super) fn served_with(self) -> usize {
        if self.is_long() { (self.index() + 1).min(BANDS - 1) } else { 0 }
    }

    /// The engine priority of this band: higher is served first.
    pub(super) fn priority(self) -> Priority {
        Priority(200 - 50 * self.0)
    }
}
