//! Who writes on an engine, counted by the pause that they bear.
//!
//! **Load pattern.** Callers with different goals for pauses write on the same engines.
//!
//! **Without it.** With fixed classes of pauses, a site whose callers bear less than the lowest class
//! looks undisturbed by passes that make every answer late.

use serde::{Deserialize, Serialize};

/// Different pauses that are told apart; a group of endpoints serves few kinds of callers.
const MOST: usize = 3;

/// Steps of a weight. Whole steps make sums over instances exact.
pub(super) const WEIGHT_STEPS: f64 = 100.0;

/// Writers that bear the same pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
struct Group {
    bears_ms: u16,
    steps: u32,
}

/// One instance's writers on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DecodingLoad([Group; MOST]);

impl DecodingLoad {
    /// Their weight.
    pub fn weight(&self) -> f64 {
        self.0.iter().map(|group| f64::from(group.steps)).sum::<f64>() / WEIGHT_STEPS
    }

    /// Each pause that some bear, in milliseconds.
    pub(super) fn pauses(&self) -> impl Iterator<Item = u16> {
        self.0.into_iter().filter(|group| group.steps > 0).map(|group| group.bears_ms)
    }

    pub(super) fn add(&mut self, pause_ms: f64, weight: f64) {
        let bears_ms = whole_ms(pause_ms);
        let place = self.place(bears_ms);
        let group = &mut self.0[place];
        if group.steps == 0 {
            group.bears_ms = bears_ms;
        }
        group.bears_ms = group.bears_ms.min(bears_ms);
        group.steps = group.steps.saturating_add(steps(weight));
    }

    pub(super) fn remove(&mut self, pause_ms: f64, weight: f64) {
        let place = self.place(whole_ms(pause_ms));
        let group = &mut self.0[place];
        group.steps = group.steps.saturating_sub(steps(weight));
    }

    /// The group that bears this pause, or else an empty one, or else the nearest.
    fn place(&self, bears_ms: u16) -> usize {
        let same = |group: &Group| group.steps > 0 && group.bears_ms == bears_ms;
        let empty = |group: &Group| group.steps == 0;
        let distance = |group: &Group| group.bears_ms.abs_diff(bears_ms);
        let found = self.0.iter().position(same).or_else(|| self.0.iter().position(empty));
        found.unwrap_or_else(|| {
            (0..MOST).min_by_key(|place| distance(&self.0[*place])).unwrap_or_default()
        })
    }
}

/// All instances' writers on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct TotalDecodingLoad(Vec<(u16, u64)>);

impl TotalDecodingLoad {
    pub(super) fn add(&mut self, writers: &DecodingLoad) {
        for group in writers.0.iter().filter(|group| group.steps > 0) {
            let steps = u64::from(group.steps);
            match self.0.iter_mut().find(|(bears_ms, _)| *bears_ms == group.bears_ms) {
                Some((_, sum)) => *sum += steps,
                None => self.0.push((group.bears_ms, steps)),
            }
        }
    }

    pub(super) fn remove(&mut self, writers: &DecodingLoad) {
        for group in writers.0 {
            if let Some((_, sum)) = self.0.iter_mut().find(|(ms, _)| *ms == group.bears_ms) {
                *sum = sum.saturating_sub(u64::from(group.steps));
            }
        }
        self.0.retain(|(_, sum)| *sum > 0);
    }

    /// Each pause that some bear, in milliseconds, and the weight of those who do.
    pub(super) fn by_pause(&self) -> impl Iterator<Item = (u16, f64)> {
        self.0.iter().map(|(ms, steps)| (*ms, *steps as f64 / WEIGHT_STEPS))
    }
}

fn steps(weight: f64) -> u32 {
    (weight * WEIGHT_STEPS).round() as u32
}

pub(super) fn whole_ms(pause_ms: f64) -> u16 {
    pause_ms.round() as u16
}
