//! What a pattern sends, and when: everything drawn from the seed before the run.

use std::time::Duration;

use fastrand::Rng;
use policy::{Tokens, config::Weights};
use standin::{
    EngineConfig,
    client::{Prompt, PromptShape},
};

use crate::{
    bench::{
        band::Band,
        load::{Call, Fault},
    },
    fleet::{Fleet, MODEL, workspace_key},
};

/// Tokens that every call generates.
const OUTPUT: u64 = 16;

/// A pattern with all its arrivals.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// In order of time.
    pub arrivals: Vec<Arrival>,
    /// In order of time.
    pub faults: Vec<Fault>,
    /// The caller that sends far more than its share, if any.
    pub hot: Option<usize>,
    /// What the site weighs how much.
    pub weights: Weights,
}

/// One call to be made.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When, from the start of the run.
    pub at: Duration,
    /// The prompt's length.
    pub band: Band,
    /// Who sends it.
    pub workspace: usize,
    /// Makes its text its own.
    pub seed: u64,
    /// Leading tokens that it shares with all calls of the pattern that share any.
    pub shared: Tokens,
    /// How often its caller sends it again after a refusal or failure.
    pub resends: u32,
}

/// What a fault does.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// Kills an engine.
    Kill(usize),
    /// Begins its next life.
    Revive(usize),
    /// Changes its speed.
    Speed(usize, f64),
}

impl Action {
    /// Does it.
    pub fn apply(self, fleet: &Fleet) {
        match self {
            Action::Kill(engine) => fleet.engines[engine].kill(),
            // One that can't come back stays dead, which the figures show.
            Action::Revive(engine) => drop(fleet.engines[engine].revive()),
            Action::Speed(engine, factor) => fleet.engines[engine].set_speed(factor),
        }
    }
}

/// Draws arrivals.
pub struct Planner {
    rng: Rng,
    next_seed: u64,
    workspaces: usize,
    capacity: f64,
    /// The plan so far.
    pub plan: Plan,
}

/// Prompt tokens a second that one engine prefills when it does nothing else.
pub fn engine_capacity(cfg: &EngineConfig) -> f64 {
    let step = cfg.step_cost + cfg.prefill_rate.duration_for(cfg.chunk);
    cfg.chunk.0 as f64 / step.as_secs_f64()
}

impl Planner {
    /// Plans for engines that prefill `capacity` tokens a second together.
    pub fn new(seed: u64, workspaces: usize, capacity: f64) -> Planner {
        let rng = Rng::with_seed(seed);
        Planner { rng, next_seed: seed << 32, workspaces, capacity, plan: Plan::default() }
    }

    /// Adds arrivals of one band at random times, which use up this share of capacity. Their number
    /// isn't random: a run of some seconds has few long prompts, and one more or less of them would
    /// change the load that the pattern is named for.
    pub fn stream(&mut self, band: Band, load: f64, from: Duration, to: Duration) {
        let span = to.saturating_sub(from);
        let rate = load * self.capacity / band.tokens().0 as f64;
        let count = (rate * span.as_secs_f64()).round() as u64;
        for _ in 0..count {
            let at = from + span.mul_f64(self.rng.f64());
            let workspace = self.rng.usize(..self.workspaces);
            self.one(band, at, workspace);
        }
    }

    /// The share of capacity that so many arrivals of a band use up.
    pub fn share(&self, band: Band, count: u32, span: Duration) -> f64 {
        let tokens = band.tokens().0 as f64 * f64::from(count);
        tokens / (self.capacity * span.as_secs_f64())
    }

    /// Adds one arrival, and returns it for changes.
    pub fn one(&mut self, band: Band, at: Duration, workspace: usize) -> &mut Arrival {
        self.next_seed += 1;
        let seed = self.next_seed;
        let (shared, resends) = (Tokens::ZERO, 0);
        let index = self.plan.arrivals.len();
        self.plan.arrivals.push(Arrival { at, band, workspace, seed, shared, resends });
        &mut self.plan.arrivals[index]
    }

    /// The plan, in order of time.
    pub fn finish(mut self) -> Plan {
        self.plan.arrivals.sort_by_key(|arrival| arrival.at);
        self.plan
    }
}

impl Plan {
    /// The same plan with the calls of some bands only.
    pub fn only(&self, keep: impl Fn(Band) -> bool) -> Plan {
        let mut plan = self.clone();
        plan.arrivals.retain(|arrival| keep(arrival.band));
        plan
    }

    /// Whether it has calls of a band.
    pub fn has(&self, wanted: impl Fn(Band) -> bool) -> bool {
        self.arrivals.iter().any(|arrival| wanted(arrival.band))
    }

    /// The calls with their texts.
    pub fn calls(&self) -> Vec<Call> {
        self.arrivals.iter().map(Arrival::call).collect()
    }
}

impl Arrival {
    fn call(&self) -> Call {
        let deadline = deadline(self.band);
        let shape = PromptShape {
            model: MODEL.to_owned(),
            tokens: self.band.tokens(),
            output: OUTPUT,
            seed: self.seed,
            shared: self.shared,
            group: 1,
            patience: deadline,
        };
        let prompt = Prompt::new(shape).key(&workspace_key(self.workspace));
        Call {
            at: self.at,
            fingerprint: prompt.fingerprint,
            prompt,
            band: self.band,
            workspace: self.workspace,
            deadline,
            resends: self.resends,
        }
    }
}

/// How long callers of a band wait. The engines of the bench take 11 ms, 0.11 s, 1.1 s and 11 s for
/// the bands' prompts, so each deadline leaves room to wait, and less room the longer they are.
pub fn deadline(band: Band) -> Duration {
    Duration::from_millis(match band {
        Band::Short => 1_500,
        Band::Medium => 3_000,
        Band::Long => 8_000,
        Band::Longest => 35_000,
    })
}
