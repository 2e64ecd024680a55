//! Requests of all instances that one engine works on and whose first event hasn't come yet.
//!
//! **Load pattern.** A burst of long prompts, each prefilled by a dozen engines; or an engine that
//! turns slow, hangs or dies silently while dozens of instances send it questions.
//!
//! **Without it.** An engine that prefills parts for as many other engines as it has slots refuses
//! one more. The whole request is refused then, and its other parts are prefilled for nothing. An
//! engine that answers nothing looks idle, because what was sent there counts as prefilled once its
//! predicted time is over, so every instance has to lose requests there before it avoids the
//! engine.
//!
//! **Rule.** A part counts until the first event of its request, which its instance reports to the
//! others, however late that is. A part that will be finished by a given time according to its
//! prediction isn't counted for that time, but an overdue one is. An overdue part of a split prompt
//! may be what its request waits for ([`super::overdue`]), until a part that arrived later has been
//! prefilled there. An overdue prompt that its engine prefills alone shows for how long the engine
//! has stalled, and that it may stall for as long again. If the report of a first event is lost,
//! the report of a later one replaces it, or the part expires.

use crate::InstanceId;

use super::prefill::{Part, PartKey};

/// Milliseconds after the predicted time when a part no longer counts: all callers have given up by
/// then.
const EXPIRY_MS: f64 = 15_000.0;

#[derive(Debug, Default)]
pub(super) struct UnansweredParts(Vec<UnansweredPart>);

#[derive(Debug)]
struct UnansweredPart {
    key: PartKey,
    /// The instance that placed it; none for this one.
    placed_by: Option<InstanceId>,
    role: Role,
    /// When it reaches the engine, in milliseconds of the instance's clock.
    arrives_at: f64,
    /// When all of its prompt is predicted to be prefilled.
    expected_at: f64,
    /// When the engine finished it according to the simulation.
    prefilled_at: Option<f64>,
    /// A part that arrived later has been prefilled.
    is_cleared: bool,
}

impl UnansweredPart {
    /// Milliseconds until its first event is known here; `peer_delay_ms` applies to other
    /// instances' parts.
    fn update_delay_ms(&self, peer_delay_ms: f64) -> f64 {
        if self.placed_by.is_some() { peer_delay_ms } else { 0.0 }
    }
}

/// A part of a split prompt whose first event isn't known.
pub(super) struct UnansweredSplit {
    pub(super) key: PartKey,
    /// Milliseconds since the first event should have been known, as far as this engine is
    /// concerned.
    pub(super) overdue_ms: f64,
    /// Whether the engine has prefilled a part that arrived later.
    pub(super) is_cleared: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// A part of another engine's prompt.
    Helper,
    /// A whole prompt.
    Whole,
    /// A part of its own prompt, which helpers prefill as well.
    Head,
}

impl UnansweredParts {
    /// Adds a part that any instance placed there.
    pub(super) fn add(&mut self, new: &Part, placed_by: Option<&InstanceId>, now: f64) {
        self.0.retain(|part| part.expected_at + EXPIRY_MS > now);
        let role = match (new.is_head, new.is_split) {
            (false, _) => Role::Helper,
            (true, true) => Role::Head,
            (true, false) => Role::Whole,
        };
        self.0.push(UnansweredPart {
            key: new.key,
            placed_by: placed_by.cloned(),
            role,
            arrives_at: new.arrives_at,
            expected_at: new.ready_at,
            prefilled_at: None,
            is_cleared: false,
        });
    }

    /// Records that the simulation has finished a part.
    pub(super) fn record_prefilled(&mut self, key: PartKey, at: f64) {
        if let Some(part) = self.0.iter_mut().find(|part| part.key == key) {
            part.prefilled_at = Some(at);
        }
    }

    /// Removes a request whose first event came or that ended; true if it was known. Whole prompts
    /// that arrived earlier have been prefilled as well. If its part `was_prefilled`, parts that
    /// arrived earlier are cleared.
    pub(super) fn remove(&mut self, key: PartKey, was_prefilled: bool) -> bool {
        let Some(index) = self.0.iter().position(|part| part.key == key) else { return false };
        let removed = self.0.remove(index);
        if was_prefilled {
            let before = self.0.iter_mut().filter(|part| part.arrives_at < removed.arrives_at);
            before.for_each(|part| part.is_cleared = true);
        }
        if removed.role == Role::Whole {
            self.0.retain(|part| part.role != Role::Whole || part.arrives_at >= removed.arrives_at);
        }
        true
    }

    /// Removes the requests of an instance that has failed or left.
    pub(super) fn remove_peer(&mut self, placed_by: &InstanceId) {
        self.0.retain(|part| part.placed_by.as_ref() != Some(placed_by));
    }

    /// For how many other engines' prompts the engine will have parts at time `at`.
    pub(super) fn count_helping(&self, at: f64, now: f64) -> usize {
        let counts = |part: &&UnansweredPart| match part.expected_at > now {
            _ if part.role != Role::Helper => false,
            true => part.expected_at > at,
            false => part.expected_at + EXPIRY_MS > now,
        };
        self.0.iter().filter(counts).count()
    }

    /// Parts of split prompts whose first events aren't known. Other instances report theirs within
    /// `update_delay_ms`.
    pub(super) fn splits(
        &self,
        update_delay_ms: f64,
        now: f64,
    ) -> impl Iterator<Item = UnansweredSplit> {
        self.0.iter().filter(|part| part.role != Role::Whole).map(move |part| {
            let prefilled_at = part.prefilled_at.unwrap_or(f64::INFINITY);
            let overdue_ms =
                now - part.expected_at.max(prefilled_at) - part.update_delay_ms(update_delay_ms);
            UnansweredSplit { key: part.key, overdue_ms, is_cleared: part.is_cleared }
        })
    }

    /// For how long the engine has stalled, in milliseconds. Other instances' requests count only
    /// after `update_delay_ms`, within which their first events are reported.
    pub(super) fn stalled_ms(&self, update_delay_ms: f64, now: f64) -> f64 {
        let stalled = self.0.iter().filter(|part| part.role == Role::Whole).filter_map(|part| {
            Some(now - part.prefilled_at? - part.update_delay_ms(update_delay_ms))
        });
        stalled.fold(0.0, f64::max)
    }
}
