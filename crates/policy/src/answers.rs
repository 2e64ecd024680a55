//! How long answers take to be written, as seen.
//!
//! **Load pattern.** All instances are stopped one after the other while questions keep coming.
//!
//! **Without it.** What is known of a question beforehand is the most tokens that its answer may have,
//! and most answers have a third of that. An instance that reckons with the most refuses every
//! question from the first moment of its stop on, and as the others stop too, callers are sent from
//! one to the next until they give up.
//!
//! **Rule.** The longest of the last [`KEPT`] answers of a route bounds the next one. Until [`ENOUGH`]
//! have been seen nothing is said.
//!
//! **Grounds.** The next answer is longer than the longest of two hundred once in two hundred times, and
//! it is cut only if it is also among the last that were taken on: a stop sees a handful of these.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

/// Answers of a route that are remembered.
const MAX_ANSWERS_PER_ROUTE: usize = 200;

/// Answers that have to be seen before they say anything of the next one.
const MIN_ANSWERS: usize = 20;

/// Routes that are remembered; the one that was noted first goes first. Sites have a few dozen with
/// traffic.
const MAX_ROUTES: usize = 512;

/// The times of the latest answers by route, from the first event to the last.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: IndexMap<String, VecDeque<Duration>>,
}

impl AnswerTimes {
    /// Takes note of a whole answer.
    pub fn record(&mut self, route: &str, decoding: Duration) {
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
        times.push_back(decoding);
    }

    /// How long the next answer takes at most, as far as that can be said.
    pub fn upper_bound(&self, route: &str) -> Option<Duration> {
        let times = self.routes.get(route).filter(|times| times.len() >= MIN_ANSWERS)?;
        times.iter().max().copied()
    }
}
