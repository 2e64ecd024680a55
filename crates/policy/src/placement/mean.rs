//! A running mean, in which what is older weighs less.

/// A running mean.
#[derive(Debug, Clone, Copy)]
pub(super) struct Mean {
    value: Option<f64>,
    /// Values over which it is taken.
    over: f64,
}

impl Mean {
    pub(super) const fn over(values: f64) -> Mean {
        Mean { value: None, over: values }
    }

    /// Takes one more value in.
    pub(super) fn add(&mut self, value: f64) {
        let mean = self.value.get_or_insert(value);
        *mean += (value - *mean) / self.over;
    }

    /// The mean; none before the first value.
    pub(super) fn get(&self) -> Option<f64> {
        self.value
    }
}
