//! What is short, long and longest.
//!
//! **Load pattern.** Prompts of a thousand and of a million tokens come to the same engines.
//!
//! **Without it.** A single queue serves them alike, and a question of a few words waits half a
//! minute behind a dossier. Fixed limits in tokens are wrong on every other engine.
//!
//! **Rule.** A prompt's band follows from how long its prefill takes alone on the deployment's
//! typical engine. What takes up to [`SHORT_SPAN`] times as long as the median prompt is short,
//! within [`SHORT_LIMITS`]; each further limit is [`STEP`] times the last. Engines and queues serve
//! lower bands first. A request whose footprint is more than an engine's usable memory spreads over
//! several engines.
//!
//! **Grounds.** A second is the time after which a person notices that an answer is slow to come,
//! so nothing slower is ever short; on very fast engines a tenth of it is the limit, since behind
//! that nobody notices anything. Between them the site's own median decides, so that on engines of
//! any speed its ordinary prompts are the short ones. A step of eight: a prompt that lets the band
//! below go first is delayed by less than it takes itself, while more bands would each hold too few
//! prompts to order.

use crate::{BANDS, Priority};

use super::window::Window;

/// How many times the median prompt's prefill is still short.
const SHORT_MEDIAN_MULTIPLE: f64 = 8.0;
/// The least and the most seconds of prefill that are short.
const SHORT_LIMIT_RANGE_S: std::ops::RangeInclusive<f64> = 0.1..=1.0;
/// Each band's limit over that of the band below.
const BAND_LIMIT_RATIO: f64 = 8.0;
/// The budget of short prefill on one engine, as a share of the short limit.
const SHORT_BUDGET_SHARE: f64 = 0.1;
/// The budget of a longer band, as a share of its lower limit.
const LONG_BUDGET_SHARE: f64 = 0.05;

/// The share of an engine's memory that is planned with. Engines allocate in blocks and round up.
pub(super) const USABLE_MEMORY_SHARE: f64 = 0.97;

/// The share of an engine's memory that a prompt over several engines leaves to short ones, where
/// the engines are large enough together. Short prompts are a hundredth of that or less.
pub(super) const SHORT_MEMORY_SHARE: f64 = 0.05;

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

    pub(super) fn is_long(self) -> bool {
        self != Band::SHORT
    }

    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The longest band that a prompt of this band waits for on an engine. A long prompt overtakes
    /// there only what is at least two bands longer: overtaking the next band gains its wait at
    /// most, and costs the overtaken one, which may be hardly longer, as much.
    pub(super) fn longest_band_ahead(self) -> usize {
        if self.is_long() { (self.index() + 1).min(BANDS - 1) } else { 0 }
    }

    /// The engine priority of this band: higher is served first.
    pub(super) fn priority(self) -> Priority {
        Priority(200 - 50 * self.0)
    }
}

/// The limits between bands, in seconds of prefill alone.
#[derive(Debug, Clone)]
pub(super) struct BandLimits {
    limits: [f64; BANDS - 1],
    prompts: Window<MEDIAN_SAMPLES>,
}

/// Prompts over which the median is taken.
const MEDIAN_SAMPLES: usize = 64;

impl BandLimits {
    pub(super) fn new() -> BandLimits {
        let mut bands = BandLimits { limits: [0.0; BANDS - 1], prompts: Window::new() };
        bands.update(f64::INFINITY);
        bands
    }

    /// Takes note of a prompt that came in.
    pub(super) fn observe(&mut self, prompt: f64) {
        self.prompts.push(prompt);
    }

    /// Sets the limits by the median prompt on an engine that prefills `rate` tokens a second.
    pub(super) fn update(&mut self, rate: f64) {
        let median = self.prompts.quantile(0.5).map_or(f64::INFINITY, |prompt| prompt / rate);
        let short = (SHORT_MEDIAN_MULTIPLE * median)
            .clamp(*SHORT_LIMIT_RANGE_S.start(), *SHORT_LIMIT_RANGE_S.end());
        self.limits = std::array::from_fn(|step| short * BAND_LIMIT_RATIO.powi(step as i32));
    }

    /// The band of `prompt` tokens on an engine that prefills `rate` tokens a second.
    pub(super) fn of(&self, prompt: f64, rate: f64) -> Band {
        let seconds = prompt / rate.max(1.0);
        Band(self.limits.iter().filter(|limit| seconds > **limit).count() as u8)
    }

    /// Seconds of prefill that may stand before a newly sent prompt of `band` on its engine.
    pub(super) fn budget(&self, band: Band) -> f64 {
        match band.index() {
            0 => SHORT_BUDGET_SHARE * self.limits[0],
            index => LONG_BUDGET_SHARE * self.limits[index - 1],
        }
    }
}
