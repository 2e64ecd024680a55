//! Sliding windows with quantiles, and decaying rates.

/// The last `N` values. Older ones are forgotten, so after a change a quantile is correct again
/// within `N` values, and no single value can move it far.
#[derive(Debug, Clone)]
pub(super) struct Window<const N: usize> {
    values: [f32; N],
    len: usize,
    next: usize,
}

impl<const N: usize> Window<N> {
    pub(super) fn new() -> Self {
        Window { values: [0.0; N], len: 0, next: 0 }
    }

    pub(super) fn push(&mut self, value: f64) {
        if !value.is_finite() {
            return;
        }
        self.values[self.next] = value as f32;
        self.next = (self.next + 1) % N;
        self.len = (self.len + 1).min(N);
    }

    /// The value below which the share `q` of the window lies; none if the window is empty.
    pub(super) fn quantile(&self, q: f64) -> Option<f64> {
        if self.len == 0 {
            return None;
        }
        let mut sorted = self.values;
        let sorted = &mut sorted[..self.len];
        sorted.sort_unstable_by(f32::total_cmp);
        let index = (q * (self.len - 1) as f64).round() as usize;
        Some(f64::from(sorted[index.min(self.len - 1)]))
    }
}

/// Rate per second in which past counts lose half of their weight every `half_life` seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayedRate {
    sum: f64,
    updated_at: f64,
}

impl DecayedRate {
    /// Adds `amount` at `now`, in seconds.
    pub(super) fn add(&mut self, amount: f64, now: f64, half_life: f64) {
        self.sum = self.decayed(now, half_life) + amount;
        self.updated_at = now;
    }

    /// The rate per second at `now`.
    pub(super) fn rate(&self, now: f64, half_life: f64) -> f64 {
        self.decayed(now, half_life) * std::f64::consts::LN_2 / half_life
    }

    fn decayed(&self, now: f64, half_life: f64) -> f64 {
        self.sum * (-(now - self.updated_at).max(0.0) / half_life).exp2()
    }
}
