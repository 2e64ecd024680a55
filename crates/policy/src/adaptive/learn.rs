//! Learns what an engine can do from its answers.
//!
//! **Load pattern.** Operators configure neither the speed nor the memory of their engines. Engines
//! differ, and one may be replaced by a slower one while requests run.
//!
//! **Without it.** A slow engine gets as much work as a fast one, and its callers wait longest.
//! Admission promises first tokens that no engine can deliver in time.
//!
//! **Rule.** Each first token gives a sample of the prefill speed: the work ahead of the request
//! when it was sent, the work that overtook it, and its own uncached prompt, divided by the time
//! taken. The speed is the quantile [`SPEED_QUANTILE`] of the last [`SPEED_SAMPLES`] samples, or
//! the throughput of all instances while the engine was busy, if that is higher. For an engine
//! without samples in its current incarnation, the typical speed of the other engines is used, and
//! failing that [`INITIAL_PREFILL_RATE`]. Prediction errors are learned in the same way, as the
//! quantile [`ERROR_QUANTILE`] of the ratio of actual to predicted time to first token.
//!
//! **Grounds.** Everything unforeseen (another request's prompt, a chunk in progress, the network)
//! lengthens the time. Samples therefore err towards slow, and the true speed lies in their upper
//! part, the more so the busier the other instances keep the engine: with a quantile of 0.7, four
//! instances at 75% load learned 5,500 tokens per second for engines that do 10,000. Sixteen
//! samples with a quantile of 0.85 detect a faster engine after three first tokens and a slower one
//! after thirteen, which takes seconds at the rate of short prompts; two outliers change nothing.
//! Until then, the cost reflects a slower engine by its lateness and its health.
//! [`INITIAL_PREFILL_RATE`] is at the low end of what one accelerator does with a mid-size model:
//! too low a value refuses some requests in the first second, while too high a value would lead to
//! broken promises.

use super::window::Window;

/// Number of speed samples kept per engine.
pub(super) const SPEED_SAMPLES: usize = 24;
/// Quantile of the samples that is taken as the speed.
const SPEED_QUANTILE: f64 = 0.92;
/// Age in seconds above which the latest own sample is stale.
const SAMPLE_MAX_AGE_S: f64 = 10.0;
/// Age in seconds up to which a measured throughput is used: by then the next two measurements
/// should have been made.
const THROUGHPUT_MAX_AGE_S: f64 = 15.0;
/// Assumed prefill speed before any measurement, in tokens per second.
pub(super) const INITIAL_PREFILL_RATE: f64 = 8_000.0;
/// Assumed decode speed of one stream before any measurement, in tokens per second.
const INITIAL_DECODE_RATE: f64 = 30.0;
/// Number of ratios of actual to predicted time that are kept.
const ERROR_SAMPLES: usize = 40;
/// Quantile of the ratios that the margin covers. One promise in twenty may exceed it and needs the
/// slack between the predicted time and the deadline.
const ERROR_QUANTILE: f64 = 0.95;
/// Range of the margin. Below one, more is promised than predicted. Above four, hardly any request
/// would be admitted, and without admitted requests nothing is learned.
const MARGIN_RANGE: std::ops::RangeInclusive<f64> = 0.5..=4.0;
/// Seconds without a new ratio after which half of the margin is forgotten. An overload lasts
/// longer than this, and so do callers' timeouts.
const MARGIN_HALF_LIFE_S: f64 = 5.0;
/// Assumed share of the allowed output before any answer was seen.
const INITIAL_OUTPUT_SHARE: f64 = 0.5;
/// Measured times below this many seconds aren't compared with predictions: they show scheduling
/// noise, not errors of the model.
const MIN_EVALUATED_S: f64 = 0.02;

/// Prefill speed of one incarnation of an engine.
#[derive(Debug, Clone)]
pub(super) struct PrefillSpeed {
    samples: Window<SPEED_SAMPLES>,
    sample_rate: Option<f64>,
    throughput: Option<Throughput>,
    /// The highest speed that other instances have learned recently, in tokens per second.
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

    /// Records that `tokens` of prefill took `seconds` and ended at `now`.
    pub(super) fn observe(&mut self, tokens: f64, seconds: f64, now: f64) {
        if tokens < 1.0 || seconds <= 0.0 {
            return;
        }
        self.last_sample_at = now;
        self.is_stale = false;
        self.samples.push(tokens / seconds);
        self.sample_rate = self.samples.quantile(SPEED_QUANTILE);
    }

    /// Records that `tokens` were prefilled for all instances together in the `seconds` up to
    /// `now`, in which the engine was never idle.
    pub(super) fn observe_throughput(&mut self, tokens: f64, seconds: f64, now: f64) {
        self.throughput = Some(Throughput { rate: tokens / seconds, at: now });
    }

    /// Drops an outdated throughput, and updates whether the samples are stale.
    pub(super) fn age(&mut self, now: f64) {
        self.is_stale = now - self.last_sample_at > SAMPLE_MAX_AGE_S;
        if self.throughput.is_some_and(|throughput| now - throughput.at > THROUGHPUT_MAX_AGE_S) {
            self.throughput = None;
        }
    }

    /// Tokens per second, if measured here or by other instances. If the own samples are stale, the
    /// highest measurement is used, because all of them err towards slow: an instance that learned
    /// a speed far too low admits nothing, so it would never correct the speed by itself.
    pub(super) fn rate(&self) -> Option<f64> {
        let peers = self.peer_rate.filter(|_| self.is_stale);
        self.own_rate().into_iter().chain(peers).max_by(f64::total_cmp)
    }

    /// Tokens per second as measured by this instance. Only this value is reported to the others,
    /// so that instances don't repeat each other's measurements.
    pub(super) fn own_rate(&self) -> Option<f64> {
        let throughput = self.throughput.map(|throughput| throughput.rate);
        self.sample_rate.into_iter().chain(throughput).max_by(f64::total_cmp)
    }
}

/// Margin that is learned from the errors of predictions.
#[derive(Debug, Clone)]
pub(super) struct PredictionMargin {
    ratios: Window<ERROR_SAMPLES>,
    factor: f64,
    updated_at: f64,
}

impl PredictionMargin {
    pub(super) fn new() -> PredictionMargin {
        PredictionMargin { ratios: Window::new(), factor: 1.0, updated_at: 0.0 }
    }

    /// Records the actual time for a prediction, both in seconds.
    pub(super) fn observe(&mut self, predicted: f64, actual: f64, now: f64) {
        if actual < MIN_EVALUATED_S {
            return;
        }
        self.updated_at = now;
        self.ratios.push(actual / predicted.max(MIN_EVALUATED_S));
        let quantile = self.ratios.quantile(ERROR_QUANTILE).unwrap_or(1.0);
        self.factor = quantile.clamp(*MARGIN_RANGE.start(), *MARGIN_RANGE.end());
    }

    /// Factor applied to a prediction before it is promised. Without new observations it returns to
    /// one; otherwise a margin that lets no request in would never be corrected.
    pub(super) fn factor(&self, now: f64) -> f64 {
        let age = (now - self.updated_at).max(0.0);
        1.0 + (self.factor - 1.0) * (-age / MARGIN_HALF_LIFE_S).exp2()
    }
}

/// Margin for the predicted waits in one workspace's queue. It estimates a quantile by a small step
/// per observed ratio, because a window for each of thousands of workspaces would take too much
/// memory.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueWaitMargin(f32);

/// Step of [`QueueWaitMargin`]: once a workspace overruns its share, its margin doubles within
/// about ten waits.
const QUEUE_WAIT_MARGIN_STEP: f64 = 0.1;

impl Default for QueueWaitMargin {
    fn default() -> Self {
        QueueWaitMargin(1.0)
    }
}

impl QueueWaitMargin {
    /// Records a ratio of actual to predicted wait.
    pub(super) fn observe(&mut self, ratio: f64) {
        let above = ratio > f64::from(self.0);
        let step = if above { ERROR_QUANTILE } else { ERROR_QUANTILE - 1.0 };
        let next = f64::from(self.0) + QUEUE_WAIT_MARGIN_STEP * step;
        self.0 = next.clamp(*MARGIN_RANGE.start(), *MARGIN_RANGE.end()) as f32;
    }

    /// Factor applied to a predicted wait before it is promised.
    pub(super) fn factor(self) -> f64 {
        f64::from(self.0)
    }
}

/// Delay of a short prompt on an engine that prefills a long one. The chunk in progress isn't
/// interrupted, and its length depends on the engine.
#[derive(Debug, Clone)]
pub(super) struct LongPrefillDelay {
    delays: Window<ERROR_SAMPLES>,
    seconds: f64,
}

impl LongPrefillDelay {
    pub(super) fn new() -> LongPrefillDelay {
        LongPrefillDelay { delays: Window::new(), seconds: 0.0 }
    }

    /// Records a first token that took `actual` instead of `expected` seconds.
    pub(super) fn observe(&mut self, expected: f64, actual: f64) {
        self.delays.push(actual - expected);
        self.seconds = self.delays.quantile(0.5).unwrap_or(0.0).max(0.0);
    }

    /// The median delay.
    pub(super) fn seconds(&self) -> f64 {
        self.seconds
    }
}

/// Learned length and decode speed of answers.
#[derive(Debug, Clone)]
pub(super) struct DecodeModel {
    decode_rates: Window<SPEED_SAMPLES>,
    output_shares: Window<ERROR_SAMPLES>,
    rate: f64,
    output_share: f64,
}

impl DecodeModel {
    pub(super) fn new() -> DecodeModel {
        DecodeModel {
            decode_rates: Window::new(),
            output_shares: Window::new(),
            rate: INITIAL_DECODE_RATE,
            output_share: INITIAL_OUTPUT_SHARE,
        }
    }

    /// Records a complete answer that used `output` of its `allowed` tokens and took `seconds`
    /// after the first token.
    pub(super) fn observe(&mut self, output: f64, allowed: f64, seconds: f64) {
        self.output_shares.push((output / allowed.max(1.0)).min(1.0));
        self.output_share =
            self.output_shares.quantile(ERROR_QUANTILE).unwrap_or(INITIAL_OUTPUT_SHARE);
        if output > 1.0 && seconds > 0.0 {
            self.decode_rates.push(output / seconds);
            self.rate = self.decode_rates.quantile(0.5).unwrap_or(INITIAL_DECODE_RATE);
        }
    }

    /// Expected seconds from the first to the last token of an answer of at most `allowed` tokens.
    pub(super) fn seconds(&self, allowed: f64) -> f64 {
        allowed * self.output_share / self.rate.max(0.1)
    }

    /// Expected tokens of an answer of at most `allowed` tokens.
    pub(super) fn expected(&self, allowed: f64) -> f64 {
        allowed * self.output_share
    }
}
