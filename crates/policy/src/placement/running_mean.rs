//! A running mean in which older values weigh less.

/// An exponentially weighted mean; before `window` values, the first one dominates.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunningMean {
    value: Option<f64>,
    /// Number of values over which it is taken.
    window: f64,
}

impl RunningMean {
    pub(super) const fn new(window: f64) -> RunningMean {
        RunningMean { value: None, window }
    }

    pub(super) fn add(&mut self, value: f64) {
        let mean = self.value.get_or_insert(value);
        *mean += (value - *mean) / self.window;
    }

    /// The mean; none before the first value.
    pub(super) fn get(&self) -> Option<f64> {
        self.value
    }
}
