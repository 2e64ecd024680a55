//! Delivery of updates between instances.

use policy::placement::update_interval;

use crate::simulation::{Event, Simulation};

impl Simulation<'_> {
    /// Sends the periodic updates of an instance and schedules the next ones.
    pub(crate) fn send_periodic_updates(&mut self, instance: usize) {
        self.send_updates(instance, true);
        let interval = update_interval(self.spec.instances - 1);
        self.schedule_after(interval.as_secs_f64() * 1000.0, Event::SendUpdates(instance));
    }

    /// Sends an instance's updates to all others: all of them if `is_due`, otherwise only the
    /// urgent ones.
    pub(crate) fn send_updates(&mut self, from: usize, is_due: bool) {
        let updates = self.placers[from].take_updates(is_due);
        if updates.is_empty() {
            return;
        }
        for to in (0..self.spec.instances).filter(|to| *to != from) {
            if self.rng.f64() >= self.spec.word_loss {
                let updates = updates.clone();
                self.schedule_after(
                    self.spec.word_ms,
                    Event::UpdatesReceived { to, from, updates },
                );
            }
        }
    }
}
