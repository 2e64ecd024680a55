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
//! is the upper quantile [`QUANTILE`] of the last [`SAMPLES`] samples, or the throughput of all
//! instances while the engine wasn't idle, if that is higher. Where an engine has given no
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
pub(super) const SPEED_SAMPLES: usize = 24;
/// Which quantile of the samples counts as the speed.
const SPEED_QUANTILE: f64 = 0.92;
/// Seconds after which own samples are old.
const SAMPLE_MAX_AGE_S: f64 = 10.0;
/// Seconds for which a measured throughput counts: until the next two would have come.
const THROUGHPUT_MAX_AGE_S: f64 = 15.0;
/// Prefill speed before anything was seen, in tokens a second.
pub(super) const INITIAL_PREFILL_RATE: f64 = 8_000.0;
/// Decode speed of one stream before anything was seen, in tokens a second.
const INITIAL_DECODE_RATE: f64 = 30.0;
/// Ratios of actual to predicted time that are kept.
const ERROR_SAMPLES: usize = 40;
/// Which quantile of the ratios the margin covers: one promise in twenty may need the slack that
/// the bound has over the prediction.
const ERROR_QUANTILE: f64 = 0.95;
/// The margin's bounds. Below one would promise more than is predicted; above four nearly nothing
/// would be admitted, and nothing admitted means nothing learned.
const MARGIN_RANGE: std::ops::RangeInclusive<f64> = 0.5..=4.0;
/// Seconds without news after which half of the margin is forgotten: an overload lasts longer, and
/// so does a caller's patience.
const MARGIN_HALF_LIFE_S: f64 = 5.0;
/// Share of the allowed output that is expected before any answer was seen.
const INITIAL_OUTPUT_SHARE: f64 = 0.5;
/// Predictions below this many seconds aren't judged: scheduling noise, not a wrong model.
const MIN_EVALUATED_S: f64 = 0.02;

/// Prefill speed of one life of one engine.
#[derive(Debug, Clone)]
pub(super) struct PrefillSpeed {
    samples: Window<SPEED_SAMPLES>,
    sample_rate: Option<f64>,
    throughput: Option<Throughput>,
    /// The highest speed that other instances have learned of late.
    pub(super) peer_rate: Option<f64>,
    last_sample_at: f64,
    is_stale: bool,
}

#[derive(Debug, Clone, Copy)]
struct Throughput {
    rate: f64,
    at: f64,
}

impl PrefillSpeed {
    pub(super) fn unknown() -> PrefillSpeed {
        PrefillSpeed {
            samples: Window::new(),
            sample_rate: None,
            throughput: None,
            peer_rate: None,
            last_sample_at: 0.0,
            is_stale: true,
        }
    }

    /// Takes note that `tokens` of prefill took `seconds` up to `now`.
    pub(super) fn observe(&mut self, tokens: f64, seconds: f64, now: f64) {
        if tokens < 1.0 || seconds <= 0.0 {
            return;
        }
        self.last_sample_at = now;
        self.is_stale = false;
        self.samples.push(tokens / seconds);
        self.sample_rate = self.samples.quantile(SPEED_QUANTILE);
    }

    /// Takes note that all instances together had `tokens` prefilled in `seconds` up to `now`,
    /// during which the engine wasn't idle.
    pub(super) fn observe_throughput(&mut self, tokens: f64, seconds: f64, now: f64) {
        self.throughput = Some(Throughput { rate: tokens / seconds, at: now });
    }

    /// Drops a throughput that is too old to count beside the samples, and notes when the samples
    /// themselves are old.
    pub(super) fn age(&mut self, now: f64) {
        self.is_stale = now - self.last_sample_at > SAMPLE_MAX_AGE_S;
        if self.throughput.is_some_and(|throughput| now - throughput.at > THROUGHPUT_MAX_AGE_S) {
            self.throughput = None;
        }
    }

    /// Tokens a second, once anything was seen here or by others. Where own samples are old, the
    /// highest measure counts, as all err low: an instance that learned a speed far too low admits
    /// nothing, and so would never learn better by itself.
    pub(super) fn rate(&self) -> Option<f64> {
        let peers = self.peer_rate.filter(|_| self.is_stale);
        self.own_rate().into_iter().chain(peers).max_by(f64::total_cmp)
    }

    /// Tokens a second as seen here; what is told to others, lest they echo one another.
    pub(super) fn own_rate(&self) -> Option<f64> {
        let throughput = self.throughput.map(|throughput| throughput.rate);
        self.sample_rate.into_iter().chain(throughput).max_by(f64::total_cmp)
    }
}

/// How far predictions are off.
#[derive(Debug, Clone)]
pub(super) struct PredictionMargin {
    ratios: Window<ERROR_SAMPLES>,
    factor: f64,
    updated: f64,
}

impl PredictionMargin {
    pub(super) fn new() -> PredictionMargin {
        PredictionMargin { ratios: Window::new(), factor: 1.0, updated: 0.0 }
    }

    /// Takes note at `now` of one prediction and what became of it, in seconds.
    pub(super) fn observe(&mut self, predicted: f64, actual: f64, now: f64) {
        if actual < MIN_EVALUATED_S {
            return;
        }
        self.updated = now;
        self.ratios.push(actual / predicted.max(MIN_EVALUATED_S));
        let quantile = self.ratios.quantile(ERROR_QUANTILE).unwrap_or(1.0);
        self.factor = quantile.clamp(*MARGIN_RANGE.start(), *MARGIN_RANGE.end());
    }

    /// What a prediction is multiplied by before it becomes a promise. Without news it returns to
    /// one: a margin that lets nothing in would otherwise never hear that it is wrong.
    pub(super) fn factor(&self, now: f64) -> f64 {
        let age = (now - self.updated).max(0.0);
        1.0 + (self.factor - 1.0) * (-age / MARGIN_HALF_LIFE_S).exp2()
    }
}

/// How far one workspace's waits for its turn are off: a quantile that follows each ratio by a small
/// step, because a window for each of thousands of workspaces would cost too much memory.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueWaitMargin(f32);

/// The step of [`TurnMargin`]: a workspace that starts to overrun its share is met by a doubled
/// margin after about ten waits.
const QUEUE_WAIT_MARGIN_STEP: f64 = 0.1;

impl Default for QueueWaitMargin {
    fn default() -> Self {
        QueueWaitMargin(1.0)
    }
}

impl QueueWaitMargin {
    /// Takes note of a ratio of actual to predicted wait.
    pub(super) fn observe(&mut self, ratio: f64) {
        let above = ratio > f64::from(self.0);
        let step = if above { ERROR_QUANTILE } else { ERROR_QUANTILE - 1.0 };
        let next = f64::from(self.0) + QUEUE_WAIT_MARGIN_STEP * step;
        self.0 = next.clamp(*MARGIN_RANGE.start(), *MARGIN_RANGE.end()) as f32;
    }

    /// What a wait is multiplied by before it becomes a promise.
    pub(super) fn factor(self) -> f64 {
        f64::from(self.0)
    }
}

/// What a short prompt loses on an engine that prefills a long one: the chunk under way isn't
/// interrupted, and its length is the engine's own affair.
#[derive(Debug, Clone)]
pub(super) struct LongPrefillDelay {
    excess: Window<ERROR_SAMPLES>,
    seconds: f64,
}

impl LongPrefillDelay {
    pub(super) fn new() -> LongPrefillDelay {
        LongPrefillDelay { excess: Window::new(), seconds: 0.0 }
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
pub(super) struct DecodeModel {
    rates: Window<SPEED_SAMPLES>,
    shares: Window<ERROR_SAMPLES>,
    rate: f64,
    share: f64,
}

impl DecodeModel {
    pub(super) fn new() -> DecodeModel {
        DecodeModel {
            rates: Window::new(),
            shares: Window::new(),
            rate: INITIAL_DECODE_RATE,
            share: INITIAL_OUTPUT_SHARE,
        }
    }

    /// Takes note of one whole answer: `output` of the `allowed` tokens in `seconds` after the
    /// first token.
    pub(super) fn observe(&mut self, output: f64, allowed: f64, seconds: f64) {
        self.shares.push((output / allowed.max(1.0)).min(1.0));
        self.share = self.shares.quantile(ERROR_QUANTILE).unwrap_or(INITIAL_OUTPUT_SHARE);
        if output > 1.0 && seconds > 0.0 {
            self.rates.push(output / seconds);
            self.rate = self.rates.quantile(0.5).unwrap_or(INITIAL_DECODE_RATE);
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
