//! What an engine can do, learned from the answers seen.
//!
//! **Load pattern.** Operators state neither speed nor memory of their engines; engines differ, and
//! one may be swapped for a slower one while requests run.
//!
//! **Without it.** A slow engine gets as much work as a fast one and its callers wait longest;
//! admission promises first tokens that nobody can deliver.
//!
//! **Rule.** Each first token gives a sample of prefill speed: the work that stood before it when
//! it was sent, what overtook it, and its own uncached prompt, over the time it took. The speed
//! is the upper quantile [`QUANTILE`] of the last [`SAMPLES`] samples. Where an engine has given no
//! sample in its present life the typical speed of the others counts, and failing that
//! [`FIRST_GUESS`]. The error of predictions is learned in the same way: the quantile
//! [`ERROR_QUANTILE`] of actual over predicted time to first token.
//!
//! **Grounds.** Everything unforeseen (another's prompt, a chunk under way, the network) lengthens
//! the time, so samples err towards slow and the truth lies in their upper part, the more so the
//! busier the other instances keep the engine: with a quantile of 0.7 four instances at 75% load
//! learned 5,500 tokens a second of engines that do 10,000. Sixteen samples with a quantile of 0.85
//! notice a faster engine after three and a slower one after thirteen first tokens, which is seconds
//! at the rate of short prompts; two wild samples change nothing. Until then the cost sees a slower
//! engine by its lateness and its health. [`FIRST_GUESS`] is the low end of what one accelerator does
//! with a mid-size model: too low refuses some requests in the first second, too high would break
//! promises.

use super::window::Window;

/// Samples of speed that are kept for each engine.
pub(super) const SAMPLES: usize = 16;
/// Which quantile of the samples counts as the speed.
const QUANTILE: f64 = 0.85;
/// Prefill speed before anything was seen, in tokens a second.
pub(super) const FIRST_GUESS: f64 = 8_000.0;
/// Decode speed of one stream before anything was seen, in tokens a second.
const DECODE_GUESS: f64 = 30.0;
/// Ratios of actual to predicted time that are kept.
const ERRORS: usize = 40;
/// Which quantile of the ratios the margin covers: one promise in ten may need the slack that
/// the bound has over the prediction.
const ERROR_QUANTILE: f64 = 0.9;
/// The margin's bounds. Below one would promise more than is predicted; above four nearly nothing
/// would be admitted, and nothing admitted means nothing learned.
const MARGIN: std::ops::RangeInclusive<f64> = 1.0..=4.0;
/// Share of the allowed output that is expected before any answer was seen.
const OUTPUT_GUESS: f64 = 0.5;
/// Predictions below this many seconds aren't judged: scheduling noise, not a wrong model.
const SHORTEST_JUDGED: f64 = 0.02;

/// Prefill speed of one life of one engine.
#[derive(Debug, Clone)]
pub(super) struct Speed {
    samples: Window<SAMPLES>,
    rate: Option<f64>,
}

impl Speed {
    pub(super) fn unknown() -> Speed {
        Speed { samples: Window::new(), rate: None }
    }

    /// Takes note that `tokens` of prefill took `seconds`.
    pub(super) fn observe(&mut self, tokens: f64, seconds: f64) {
        if tokens < 1.0 || seconds <= 0.0 {
            return;
        }
        self.samples.push(tokens / seconds);
        self.rate = self.samples.quantile(QUANTILE);
    }

    /// Tokens a second, once anything was seen.
    pub(super) fn rate(&self) -> Option<f64> {
        self.rate
    }
}

/// How far predictions are off.
#[derive(Debug, Clone)]
pub(super) struct Margin {
    ratios: Window<ERRORS>,
    factor: f64,
}

impl Margin {
    pub(super) fn new() -> Margin {
        Margin { ratios: Window::new(), factor: 1.0 }
    }

    /// Takes note of one prediction and what became of it, in seconds.
    pub(super) fn observe(&mut self, predicted: f64, actual: f64) {
        if actual < SHORTEST_JUDGED {
            return;
        }
        self.ratios.push(actual / predicted.max(SHORTEST_JUDGED));
        let quantile = self.ratios.quantile(ERROR_QUANTILE).unwrap_or(1.0);
        self.factor = quantile.clamp(*MARGIN.start(), *MARGIN.end());
    }

    /// What a prediction is multiplied by before it becomes a promise.
    pub(super) fn factor(&self) -> f64 {
        self.factor
    }
}

/// What a short prompt loses on an engine that prefills a long one: the chunk under way isn't
/// interrupted, and its length is the engine's own affair.
#[derive(Debug, Clone)]
pub(super) struct BesideLongs {
    excess: Window<ERRORS>,
    seconds: f64,
}

impl BesideLongs {
    pub(super) fn new() -> BesideLongs {
        BesideLongs { excess: Window::new(), seconds: 0.0 }
    }

    /// Takes note of a first token that took `actual` instead of `expected` seconds.
    pub(super) fn observe(&mut self, expected: f64, actual: f64) {
        self.excess.push(actual - expected);
        self.seconds = self.excess.quantile(0.5).unwrap_or(0.0).max(0.0);
    }

    /// The median loss.
    pub(super) fn seconds(&self) -> f64 {
        self.seconds
    }
}

/// How long answers take once their first token is out.
#[derive(Debug, Clone)]
pub(super) struct Decode {
    rates: Window<SAMPLES>,
    shares: Window<ERRORS>,
    rate: f64,
    share: f64,
}

impl Decode {
    pub(super) fn new() -> Decode {
        Decode {
            rates: Window::new(),
            shares: Window::new(),
            rate: DECODE_GUESS,
            share: OUTPUT_GUESS,
        }
    }

    /// Takes note of one whole answer: `output` of the `allowed` tokens in `seconds` after the
    /// first token.
    pub(super) fn observe(&mut self, output: f64, allowed: f64, seconds: f64) {
        self.shares.push((output / allowed.max(1.0)).min(1.0));
        self.share = self.shares.quantile(ERROR_QUANTILE).unwrap_or(OUTPUT_GUESS);
        if output > 1.0 && seconds > 0.0 {
            self.rates.push(output / seconds);
            self.rate = self.rates.quantile(0.5).unwrap_or(DECODE_GUESS);
        }
    }

    /// Expected seconds from the first to the last token of an answer of at most `allowed` tokens.
    pub(super) fn seconds(&self, allowed: f64) -> f64 {
        allowed * self.share / self.rate.max(0.1)
    }

    /// Tokens expected of an answer of at most `allowed`.
    pub(super) fn expected(&self, allowed: f64) -> f64 {
        allowed * self.share
    }
}
