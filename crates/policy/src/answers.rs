//! Upper bound of how long an answer takes, from recent answers of its route.
//!
//! **Load pattern.** All instances are stopped one after the other while requests keep arriving.
//!
//! **Without it.** Beforehand, only the maximum number of tokens of an answer is known, and most
//! answers have a third of that. An instance that assumes the maximum refuses every request from
//! the moment it starts to stop, and as the others stop too, callers are sent from one to the next
//! until they give up.
//!
//! **Rule.** The longest of the last [`MAX_ANSWERS_PER_ROUTE`] answers of a route is the bound of
//! the next one. With fewer than [`MIN_ANSWERS`] there is no bound.
//!
//! **Grounds.** The next answer is longer than the longest of two hundred in one of two hundred
//! cases. It is cut off only if it is also among the last ones accepted: a handful for each stop.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

/// Maximum number of recent answers kept for each route.
const MAX_ANSWERS_PER_ROUTE: usize = 200;

/// Answers needed for a bound.
const MIN_ANSWERS: usize = 20;

/// Maximum number of routes kept; the one added first is evicted first. Sites have a few dozen
/// routes with traffic.
const MAX_ROUTES: usize = 512;

/// Durations of recent answers by route, from the first event to the last.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: IndexMap<String, VecDeque<Duration>>,
}

impl AnswerTimes {
    /// Records the duration of a complete answer.
    pub fn record(&mut self, route: &str, duration: Duration) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.shift_remove_index(0);
            }
            self.routes.insert(route.to_owned(), VecDeque::new());
        }
        let Some(times) = self.routes.get_mut(route) else { return };
        if times.len() >= MAX_ANSWERS_PER_ROUTE {
            times.pop_front();
        }
        times.push_back(duration);
    }

    /// Upper bound of the next answer's duration; none while too few answers are known.
    pub fn upper_bound(&self, route: &str) -> Option<Duration> {
        let times = self.routes.get(route).filter(|times| times.len() >= MIN_ANSWERS)?;
        times.iter().max().copied()
    }
}
