//! What instances tell each other, and when.

use policy::placement::update_interval;

use crate::simulation::{Event, World};

impl World<'_> {
    /// Tells the levels that are due.
    pub(crate) fn take_turn(&mut self, instance: usize) {
        self.tell(instance, true);
        let every = update_interval(self.spec.instances - 1);
        self.after(every.as_secs_f64() * 1000.0, Event::Tell(instance));
    }

    /// Tells what others have to hear; where levels aren't due, only what can't wait.
    pub(crate) fn tell(&mut self, from: usize, is_due: bool) {
        let words = self.placers[from].take_updates(is_due);
        if words.is_empty() {
            return;
        }
        for to in (0..self.spec.instances).filter(|to| *to != from) {
            if self.rng.f64() >= self.spec.word_loss {
                let words = words.clone();
                self.after(self.spec.word_ms, Event::Words { to, from, words });
            }
        }
    }
}
