//! Bands of prompt lengths.
//!
//! **Load pattern.** Prompts of a thousand and of a million tokens are sent to the same engines.
//!
//! **Without it.** A single queue causes head-of-line blocking: a short prompt waits half a
//! minute behind a long prompt. Fixed limits in tokens are wrong for any other engine.
//!
//! **Rule.** A prompt's band is determined by the time that its prefill takes alone on the
//! deployment's typical engine. Up to [`SHORT_MEDIAN_MULTIPLE`] times the median prompt's time
//! counts as short, within [`SHORT_LIMIT_RANGE_S`], and each further limit is [`BAND_LIMIT_RATIO`]
//! times the one before. Engines and queues serve lower bands first. A request whose footprint
//! exceeds an engine's usable memory is placed on several engines.
//!
//! **Grounds.** People notice a delay of a second, so nothing slower is ever short. On very fast
//! engines the limit is a tenth of that, because nobody notices a wait behind such a prompt. In
//! between, the site's median decides, so that a site's ordinary prompts are short on engines of
//! any speed. With a ratio of eight, a prompt that lets the band below go first is delayed by less
//! than its own prefill; more bands would contain too few prompts each for an order to matter.

use crate::{BANDS, Priority};

use super::window::Window;

/// Multiple of the median prompt's prefill time that still counts as short.
const SHORT_MEDIAN_MULTIPLE: f64 = 8.0;
/// Range of the limit for short prompts, in seconds of prefill.
const SHORT_LIMIT_RANGE_S: std::ops::RangeInclusive<f64> = 0.1..=1.0;
/// Ratio of a band's limit to that of the band below.
const BAND_LIMIT_RATIO: f64 = 8.0;
/// Prefill budget of short prompts per engine, as a share of their limit.
const SHORT_BUDGET_SHARE: f64 = 0.1;
/// Prefill budget of a longer band, as a share of the lower limit of the band.
const LONG_BUDGET_SHARE: f64 = 0.05;

/// Share of an engine's memory that is used for planning. Engines allocate in blocks and round up.
pub(super) const USABLE_MEMORY_SHARE: f64 = 0.97;

/// Share of an engine's memory that a prompt over several engines leaves to short ones, if the
/// engines together are large enough. Short prompts need a hundredth of it or less.
pub(super) const SHORT_MEMORY_SHARE: f64 = 0.05;

/// Band of prompt lengths; zero is the shortest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Band(pub(super) u8);

impl Band {
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

    /// The longest band that a prompt of this band has to wait for on an engine. A long prompt only
    /// overtakes prompts that are at least two bands longer. Overtaking the next band would save at
    /// most the wait for its prompt, and cost that prompt, which may be hardly longer, as much.
    pub(super) fn longest_band_ahead(self) -> usize {
        if self.is_long() { (self.index() + 1).min(BANDS - 1) } else { 0 }
    }

    /// The engine priority of this band; higher values are served first.
    pub(super) fn priority(self) -> Priority {
        Priority(200 - 50 * self.0)
    }
}

/// Limits between bands, in seconds of prefill without other load.
#[derive(Debug, Clone)]
pub(super) struct BandLimits {
    limits: [f64; BANDS - 1],
    prompts: Window<MEDIAN_SAMPLES>,
}

/// Number of recent prompts over which the median is taken.
const MEDIAN_SAMPLES: usize = 64;

impl BandLimits {
    pub(super) fn new() -> BandLimits {
        let mut bands = BandLimits { limits: [0.0; BANDS - 1], prompts: Window::new() };
        bands.update(f64::INFINITY);
        bands
    }

    /// Adds the length of a new prompt to the median.
    pub(super) fn observe(&mut self, prompt: f64) {
        self.prompts.push(prompt);
    }

    /// Sets the limits from the median prompt, on an engine that prefills `rate` tokens per second.
    pub(super) fn update(&mut self, rate: f64) {
        let median = self.prompts.quantile(0.5).map_or(f64::INFINITY, |prompt| prompt / rate);
        let short = (SHORT_MEDIAN_MULTIPLE * median)
            .clamp(*SHORT_LIMIT_RANGE_S.start(), *SHORT_LIMIT_RANGE_S.end());
        self.limits = std::array::from_fn(|step| short * BAND_LIMIT_RATIO.powi(step as i32));
    }

    /// The band of a prompt of `prompt` tokens on an engine that prefills `rate` tokens per second.
    pub(super) fn of(&self, prompt: f64, rate: f64) -> Band {
        let seconds = prompt / rate.max(1.0);
        Band(self.limits.iter().filter(|limit| seconds > **limit).count() as u8)
    }

    /// Maximum seconds of prefill ahead of a newly sent prompt of `band` on its engine.
    pub(super) fn budget(&self, band: Band) -> f64 {
        match band.index() {
            0 => SHORT_BUDGET_SHARE * self.limits[0],
            index => LONG_BUDGET_SHARE * self.limits[index - 1],
        }
    }
}
