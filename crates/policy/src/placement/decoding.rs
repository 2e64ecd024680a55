//! The requests that decode on an engine, counted by pause goal.
//!
//! **Load pattern.** Callers with different pause goals have requests on the same engines.
//!
//! **Without it.** With fixed classes of pause goals, requests whose goal is below the lowest class
//! look undisturbed by passes that make all their answers late.

use serde::{Deserialize, Serialize};

/// Pause goals that are counted separately; a group of endpoints serves few kinds of callers.
const MAX_PAUSE_GROUPS: usize = 3;

/// Steps per unit of weight. Whole steps make sums over instances exact.
pub(super) const WEIGHT_STEPS: f64 = 100.0;

/// Requests with the same pause goal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
struct PauseGroup {
    pause_goal_ms: u16,
    weight_steps: u32,
}

/// The requests of one instance that decode on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DecodingLoad([PauseGroup; MAX_PAUSE_GROUPS]);

impl DecodingLoad {
    /// Their total weight.
    pub fn weight(&self) -> f64 {
        self.0.iter().map(|group| f64::from(group.weight_steps)).sum::<f64>() / WEIGHT_STEPS
    }

    /// Their pause goals, in milliseconds.
    pub(super) fn pause_goals_ms(&self) -> impl Iterator<Item = u16> {
        self.0.into_iter().filter(|group| group.weight_steps > 0).map(|group| group.pause_goal_ms)
    }

    pub(super) fn add(&mut self, pause_ms: f64, weight: f64) {
        let pause_goal_ms = whole_ms(pause_ms);
        let index = self.index(pause_goal_ms);
        let group = &mut self.0[index];
        if group.weight_steps == 0 {
            group.pause_goal_ms = pause_goal_ms;
        }
        group.pause_goal_ms = group.pause_goal_ms.min(pause_goal_ms);
        group.weight_steps = group.weight_steps.saturating_add(weight_steps(weight));
    }

    pub(super) fn remove(&mut self, pause_ms: f64, weight: f64) {
        let index = self.index(whole_ms(pause_ms));
        let group = &mut self.0[index];
        group.weight_steps = group.weight_steps.saturating_sub(weight_steps(weight));
    }

    /// Index of the group with this pause goal, or else of an empty one, or else of the nearest.
    fn index(&self, pause_goal_ms: u16) -> usize {
        let same =
            |group: &PauseGroup| group.weight_steps > 0 && group.pause_goal_ms == pause_goal_ms;
        let empty = |group: &PauseGroup| group.weight_steps == 0;
        let distance = |group: &PauseGroup| group.pause_goal_ms.abs_diff(pause_goal_ms);
        let found = self.0.iter().position(same).or_else(|| self.0.iter().position(empty));
        found.unwrap_or_else(|| {
            (0..MAX_PAUSE_GROUPS).min_by_key(|index| distance(&self.0[*index])).unwrap_or_default()
        })
    }
}

/// The requests of all instances that decode on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct TotalDecodingLoad(Vec<(u16, u64)>);

impl TotalDecodingLoad {
    pub(super) fn add(&mut self, load: &DecodingLoad) {
        for group in load.0.iter().filter(|group| group.weight_steps > 0) {
            let weight_steps = u64::from(group.weight_steps);
            match self.0.iter_mut().find(|(pause_goal_ms, _)| *pause_goal_ms == group.pause_goal_ms)
            {
                Some((_, sum)) => *sum += weight_steps,
                None => self.0.push((group.pause_goal_ms, weight_steps)),
            }
        }
    }

    pub(super) fn remove(&mut self, load: &DecodingLoad) {
        for group in load.0 {
            if let Some((_, sum)) = self.0.iter_mut().find(|(ms, _)| *ms == group.pause_goal_ms) {
                *sum = sum.saturating_sub(u64::from(group.weight_steps));
            }
        }
        self.0.retain(|(_, sum)| *sum > 0);
    }

    /// Each pause goal in milliseconds, and the weight of the requests that have it.
    pub(super) fn by_pause_goal(&self) -> impl Iterator<Item = (u16, f64)> {
        self.0.iter().map(|(ms, weight_steps)| (*ms, *weight_steps as f64 / WEIGHT_STEPS))
    }
}

fn weight_steps(weight: f64) -> u32 {
    (weight * WEIGHT_STEPS).round() as u32
}

pub(super) fn whole_ms(pause_ms: f64) -> u16 {
    pause_ms.round() as u16
}
