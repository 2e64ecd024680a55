//! Retries of refused requests in contended groups; see [`policy::returns`].

use std::sync::atomic::Ordering;

use policy::{
    returns::{PromptClass, Refused, Return},
    waiting::Class,
};

use super::{Refusal, call::Call, refusal::Reason};
use crate::{dialect::Dialect, lock};

impl<D: Dialect> Call<D> {
    /// Earlier refusals of the same request, here or at other instances. None in a group that isn't
    /// contended.
    pub(super) fn earlier_refusals(&self) -> Option<Return> {
        lock(&self.group.returns).returned(self.received.fingerprint, self.context.clock.now())
    }

    /// Class of the prompt; none in a group that isn't contended.
    fn contended_class(&self) -> Option<PromptClass> {
        let (prompt, _) = self.received.caller.tokens?;
        let scheduler = lock(&self.group.scheduler);
        scheduler.is_contended().then(|| match scheduler.class(prompt) == Class::Short {
            true => PromptClass::Short,
            false => PromptClass::Long,
        })
    }

    /// Counts the request as placed, once.
    pub(super) fn record_placed(&self) {
        if std::mem::replace(&mut lock(&self.progress).is_placed, true) {
            return;
        }
        if let Some(class) = self.contended_class() {
            lock(&self.group.returns).record_placed(class, self.context.clock.now());
        }
    }

    /// Tells a caller whose request is refused for want of capacity when to retry, as far as this
    /// instance has capacity then. Its `Retry-After` so far is the earliest time.
    pub(super) fn promise_capacity(&self, refusal: Refusal) -> Refusal {
        let is_for_capacity = matches!(refusal.reason, Reason::TooLate | Reason::Crowded);
        let Some(earliest) = refusal.retry_after.filter(|_| is_for_capacity) else {
            return refusal;
        };
        let Some(class) = self.contended_class() else { return refusal };
        let earlier = self.earlier_refusals();
        let refused = Refused { class, earlier, earliest, time_left: self.time_left() };
        let now = self.context.clock.now();
        let instances = self.context.instances.load(Ordering::Relaxed);
        let promise = {
            let mut returns = lock(&self.group.returns);
            returns.record_refusal(self.received.fingerprint, now);
            returns.promise(&refused, instances, now)
        };
        self.context.metrics.return_promised(promise.is_booked);
        if earlier.is_some() {
            self.context.metrics.returned("refused");
        }
        let returned = Some(earlier.map_or(0, |earlier| earlier.refusals));
        Refusal { retry_after: Some(promise.after), returned, ..refusal }
    }

    /// Records that the caller gets an answer, so that earlier refusals no longer count.
    pub(super) fn record_served(&self) {
        if self.earlier_refusals().is_some() {
            let now = self.context.clock.now();
            lock(&self.group.returns).record_served(self.received.fingerprint, now);
            self.context.metrics.returned("served");
        }
    }
}
