//! Requests at one engine whose first event hasn't come yet, whoever sent them.
//!
//! **Load pattern.** A burst of long prompts, each read by a dozen engines; and an engine that turns
//! slow, hangs or dies without a word while dozens of instances send it questions.
//!
//! **Without it.** An engine that reads parts for as many others as it has slots refuses one more, and
//! with it the whole request, of which the other parts are read for nothing. An engine that answers
//! nobody looks idle, as what was sent there counts as read once its time is over: every instance has
//! to lose requests of its own there before it knows.
//!
//! **Rule.** A part counts until the first event of its request, of which its instance tells the
//! others, however late that is. What is foretold to be over by then isn't counted ahead, but what is
//! overdue is. A part of a split prompt that is overdue may be what its request waits for
//! ([`super::overdue`]), until a later part is known to have been read there. A prompt that its engine
//! reads alone and that is overdue shows for how long the engine has stalled, and that it may go on for
//! as long again. Where the word of a first event is lost, that of a later one clears it, or the end of
//! any caller's patience.

use crate::InstanceId;

use super::prefill::{Part, PartKey};

/// Milliseconds beyond what was foretold after which a part counts no more: callers have given up by
/// then.
const EXPIRY_MS: f64 = 15_000.0;

#[derive(Debug, Default)]
pub(super) struct UnansweredParts(Vec<UnansweredPart>);

#[derive(Debug)]
struct UnansweredPart {
    key: PartKey,
    /// Who placed it; none where this instance did.
    placed_by: Option<InstanceId>,
    role: Role,
    /// When it reaches the engine, in milliseconds of the instance's clock.
    arrives_at: f64,
    /// When all of its prompt is foretold to have been read.
    expected_at: f64,
    /// When the engine is thought to have read it.
    prefilled_at: Option<f64>,
    /// A part that came later has been read.
    is_cleared: bool,
}

impl UnansweredPart {
    /// Milliseconds that word of its first event may take, where that of others takes so long.
    fn update_delay_ms(&self, peer_delay_ms: f64) -> f64 {
        if self.placed_by.is_some() { peer_delay_ms } else { 0.0 }
    }
}

/// A part of a split prompt whose first event isn't known.
pub(super) struct UnansweredSplit {
    pub(super) key: PartKey,
    /// Milliseconds since a first event should have been known, as far as this engine goes.
    pub(super) overdue_ms: f64,
    /// Whether the engine has read a later part.
    pub(super) is_cleared: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// A part of another engine's prompt.
    Helper,
    /// A whole prompt.
    Whole,
    /// A part of its own prompt, which others read as well.
    Head,
}

impl UnansweredParts {
    /// Notes a part that anybody placed there.
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

    /// The engine is thought to have read a part.
    pub(super) fn record_prefilled(&mut self, key: PartKey, at: f64) {
        if let Some(part) = self.0.iter_mut().find(|part| part.key == key) {
            part.prefilled_at = Some(at);
        }
    }

    /// A request's first event came, or it is over; true where it was awaited. Whole prompts that came
    /// before it have been read as well. Where its part `was_read`, the engine reads.
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

    /// An instance is gone, and with it the requests that it had sent.
    pub(super) fn remove_peer(&mut self, placed_by: &InstanceId) {
        self.0.retain(|part| part.placed_by.as_ref() != Some(placed_by));
    }

    /// For how many others the engine will read parts at a time from now on.
    pub(super) fn count_helping(&self, at: f64, now: f64) -> usize {
        let counts = |part: &&UnansweredPart| match part.expected_at > now {
            _ if part.role != Role::Helper => false,
            true => part.expected_at > at,
            false => part.expected_at + EXPIRY_MS > now,
        };
        self.0.iter().filter(counts).count()
    }

    /// Parts of split prompts whose first events aren't known. Word of others' takes `told_after_ms`.
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

    /// For how long the engine has stalled, in milliseconds. What others sent counts only after
    /// `told_after_ms`, which word of a first event may take.
    pub(super) fn stalled_ms(&self, update_delay_ms: f64, now: f64) -> f64 {
        let stalled = self.0.iter().filter(|part| part.role == Role::Whole).filter_map(|part| {
            Some(now - part.prefilled_at? - part.update_delay_ms(update_delay_ms))
        });
        stalled.fold(0.0, f64::max)
    }
}
