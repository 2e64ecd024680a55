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

use super::reading::{Part, PartKey};

/// Milliseconds beyond what was foretold after which a part counts no more: callers have given up by
/// then.
const LOST_AFTER_MS: f64 = 15_000.0;

#[derive(Debug, Default)]
pub(super) struct Awaited(Vec<Wait>);

#[derive(Debug)]
struct Wait {
    key: PartKey,
    /// Who placed it; none where this instance did.
    placed_by: Option<InstanceId>,
    role: Role,
    /// When it reaches the engine, in milliseconds of the instance's clock.
    arrives: f64,
    /// When all of its prompt is foretold to have been read.
    until: f64,
    /// When the engine is thought to have read it.
    read_at: Option<f64>,
    /// A part that came later has been read.
    is_cleared: bool,
}

impl Wait {
    /// Milliseconds that word of its first event may take, where that of others takes so long.
    fn told_after_ms(&self, of_others_ms: f64) -> f64 {
        if self.placed_by.is_some() { of_others_ms } else { 0.0 }
    }
}

/// A part of a split prompt whose first event isn't known.
pub(super) struct SplitWait {
    pub(super) key: PartKey,
    /// Milliseconds since a first event should have been known, as far as this engine goes.
    pub(super) overdue_ms: f64,
    /// Whether the engine has read a later part.
    pub(super) is_cleared: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// A part of another engine's prompt.
    Helps,
    /// A whole prompt.
    Whole,
    /// A part of its own prompt, which others read as well.
    Heads,
}

impl Awaited {
    /// Notes a part that anybody placed there.
    pub(super) fn note(&mut self, part: &Part, placed_by: Option<&InstanceId>, now: f64) {
        self.0.retain(|wait| wait.until + LOST_AFTER_MS > now);
        let role = match (part.is_head, part.overtakes) {
            (false, _) => Role::Helps,
            (true, true) => Role::Heads,
            (true, false) => Role::Whole,
        };
        self.0.push(Wait {
            key: part.key,
            placed_by: placed_by.cloned(),
            role,
            arrives: part.arrives,
            until: part.ready,
            read_at: None,
            is_cleared: false,
        });
    }

    /// The engine is thought to have read a part.
    pub(super) fn has_been_read(&mut self, key: PartKey, at: f64) {
        if let Some(wait) = self.0.iter_mut().find(|wait| wait.key == key) {
            wait.read_at = Some(at);
        }
    }

    /// A request's first event came, or it is over; true where it was awaited. Whole prompts that came
    /// before it have been read as well. Where its part `was_read`, the engine reads.
    pub(super) fn over(&mut self, key: PartKey, was_read: bool) -> bool {
        let Some(index) = self.0.iter().position(|wait| wait.key == key) else { return false };
        let over = self.0.remove(index);
        if was_read {
            let before = self.0.iter_mut().filter(|wait| wait.arrives < over.arrives);
            before.for_each(|wait| wait.is_cleared = true);
        }
        if over.role == Role::Whole {
            self.0.retain(|wait| wait.role != Role::Whole || wait.arrives >= over.arrives);
        }
        true
    }

    /// An instance is gone, and with it the requests that it had sent.
    pub(super) fn forget(&mut self, placed_by: &InstanceId) {
        self.0.retain(|wait| wait.placed_by.as_ref() != Some(placed_by));
    }

    /// For how many others the engine will read parts at a time from now on.
    pub(super) fn helping(&self, at: f64, now: f64) -> usize {
        let counts = |wait: &&Wait| match wait.until > now {
            _ if wait.role != Role::Helps => false,
            true => wait.until > at,
            false => wait.until + LOST_AFTER_MS > now,
        };
        self.0.iter().filter(counts).count()
    }

    /// Parts of split prompts whose first events aren't known. Word of others' takes `told_after_ms`.
    pub(super) fn split(&self, told_after_ms: f64, now: f64) -> impl Iterator<Item = SplitWait> {
        self.0.iter().filter(|wait| wait.role != Role::Whole).map(move |wait| {
            let read_at = wait.read_at.unwrap_or(f64::INFINITY);
            let overdue_ms = now - wait.until.max(read_at) - wait.told_after_ms(told_after_ms);
            SplitWait { key: wait.key, overdue_ms, is_cleared: wait.is_cleared }
        })
    }

    /// For how long the engine has stalled, in milliseconds. What others sent counts only after
    /// `told_after_ms`, which word of a first event may take.
    pub(super) fn stalled_ms(&self, told_after_ms: f64, now: f64) -> f64 {
        let stalled = self
            .0
            .iter()
            .filter(|wait| wait.role == Role::Whole)
            .filter_map(|wait| Some(now - wait.read_at? - wait.told_after_ms(told_after_ms)));
        stalled.fold(0.0, f64::max)
    }
}
