//! Lets a request wait at this instance until an engine has room for it ([`policy::waiting`]).
//!
//! Only first attempts wait, and only in groups that are scheduled for contention
//! ([`policy::contention`]). Retries, hedges and resumed streams are placed or refused at once: what
//! has begun goes first, and an answer that pauses can't wait.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use policy::{
    Time,
    waiting::{Entry, Standing, Turn, WaiterId},
};
use smol::Timer;

use super::{
    Refusal,
    call::{Call, OtherAttempt, Target},
    refusal::Reason,
};
use crate::{dialect::Dialect, lock, state::Group};

/// Share of its time that a caller waits for room at most. With the rest it can come back.
const MAX_WAIT_SHARE: f64 = 0.5;

/// How long before its caller disconnects a request has to be placed: the time to the first event
/// on an engine with room.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(400);

/// A request's place in the line, which it leaves when this is dropped.
struct Place {
    group: Arc<Group>,
    id: WaiterId,
}

impl Place {
    fn turn(&self, now: Time) -> Turn {
        let mut shares = lock(&self.group.shares);
        let standing = |workspace: Option<&_>| Standing::of(&mut shares, workspace, now);
        lock(&self.group.waiting).turn(self.id, standing, now)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.group.waiting).leave(self.id);
    }
}

impl<D: Dialect> Call<D> {
    /// Chooses where the next attempt is sent. A first attempt for which there is no room waits for
    /// it, unless that is useless to its caller.
    pub(super) async fn target_or_wait(&self, other: OtherAttempt) -> Result<Target, Refusal> {
        if other == OtherAttempt::InFlight {
            return self.next_target(other);
        }
        let decision = match self.next_target(other) {
            Err(refusal) if self.may_wait(refusal.reason) => self.wait_for_room(refusal).await,
            decision => decision,
        };
        decision.map_err(|refusal| self.promise_capacity(refusal))
    }

    fn may_wait(&self, reason: Reason) -> bool {
        matches!(reason, Reason::TooLate | Reason::Crowded)
            && self.received.route.is_streaming
            && self.received.forwarded.is_none()
            && self.is_first_attempt()
            && lock(&self.group.scheduler).is_contended()
    }

    async fn wait_for_room(&self, refusal: Refusal) -> Result<Target, Refusal> {
        let Some(place) = self.enter_line() else { return Err(refusal) };
        let entered = Instant::now();
        let class = self.class();
        log::info!(id = self.id(), class = class.as_str(), decided_by = refusal.reason.as_str();
            "waiting");
        let decision = self.try_in_turn(&place, refusal).await;
        let waited = entered.elapsed();
        let (outcome, decided_by) = match &decision {
            Ok(_) => ("placed", "room"),
            Err(refusal) => ("refused", refusal.reason.as_str()),
        };
        self.context.metrics.waited(class, outcome, waited);
        log::info!(id = self.id(), class = class.as_str(), outcome, decided_by,
            waited_ms = waited.as_millis() as u64; "waited");
        decision
    }

    /// Tries to be placed whenever it is the request's turn.
    async fn try_in_turn(&self, place: &Place, refusal: Refusal) -> Result<Target, Refusal> {
        let interval = self.class().retry_interval();
        let mut refusal = refusal;
        loop {
            // Randomised, so that instances don't all choose the same engine once it has room.
            Timer::after(interval.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
            self.context.check_stop_deadline(&self.received, &self.group)?;
            match place.turn(self.context.clock.now()) {
                Turn::Try { is_late } => {
                    self.set_late(is_late);
                    match self.next_target(OtherAttempt::None) {
                        Err(next) if self.may_wait(next.reason) => refusal = next,
                        decision => return decision,
                    }
                }
                Turn::Wait => {}
                Turn::GiveUp => return Err(refusal),
            }
        }
    }

    fn enter_line(&self) -> Option<Place> {
        let received = &self.received;
        let route = &received.route;
        let total = received.deadline.since(received.arrived);
        let earlier = self.earlier_refusals();
        // Callers count from their first attempt.
        let waited = earlier.map_or(Duration::ZERO, |earlier| earlier.first_refused_ago);
        let patience = route.gap_timeout.saturating_sub(FIRST_EVENT_MARGIN);
        let entry = Entry {
            class: self.class(),
            workspace: received.workspace().cloned(),
            refusals: earlier.map_or(0, |earlier| earlier.refusals),
            on_time_until: received.arrived + route.goal.saturating_sub(waited),
            useful_until: received.arrived + patience.min(total.mul_f64(MAX_WAIT_SHARE)),
            bytes: received.body.len(),
        };
        let now = self.context.clock.now();
        let mut shares = lock(&self.group.shares);
        let standing = |workspace: Option<&_>| Standing::of(&mut shares, workspace, now);
        let id = lock(&self.group.waiting).enter(entry, standing, now)?;
        Some(Place { group: self.group.clone(), id })
    }
}
