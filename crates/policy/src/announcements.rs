//! Changes that an instance tells all others at once.
//!
//! **Load pattern.** Rarely, an instance learns something that every other one has to act on within
//! a second: an endpoint died of a request, or asks for fewer requests.
//!
//! **Without it.** A change that is sent once is lost with its datagram; one that is repeated until
//! it is acknowledged costs most while links are bad.
//!
//! **Rule.** Each change is sent at once and four times more, after growing pauses. Only the
//! instance that made the change sends it. Receivers merge changes, so that order and repetition
//! don't matter.
//!
//! **Grounds.** Datagrams are lost in bursts of some hundred milliseconds. An instance that is cut
//! off for longer than the last repetition is removed meanwhile, and gets the whole state when it
//! appears again.

use std::{hash::Hash, time::Duration};

use indexmap::IndexMap;

use crate::Time;

/// Pauses between the times that a change is sent. Together they are longer than it takes to remove
/// an instance that is cut off.
const REPEAT_PAUSES: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_millis(900),
    Duration::from_millis(2_700),
    Duration::from_millis(8_100),
];

/// How long a change that nobody takes is kept.
const UNTAKEN_TTL: Duration = Duration::from_secs(10);

/// Keys whose latest change hasn't been sent often enough.
#[derive(Debug)]
pub struct Announcements<K>(IndexMap<K, Announcement>);

#[derive(Debug, Clone, Copy)]
struct Announcement {
    times_sent: usize,
    due_at: Time,
}

impl<K> Default for Announcements<K> {
    fn default() -> Self {
        Announcements(IndexMap::new())
    }
}

impl<K: Clone + Eq + Hash> Announcements<K> {
    /// Adds a change, in place of an earlier one of the same key.
    pub fn add(&mut self, key: K, now: Time) {
        self.0.insert(key, Announcement { times_sent: 0, due_at: now });
    }

    /// Takes the keys whose state has to be sent now.
    pub fn take_due(&mut self, now: Time) -> Vec<K> {
        let mut due = Vec::new();
        self.0.retain(|key, announcement| {
            if now < announcement.due_at {
                return true;
            }
            due.push(key.clone());
            let pause = REPEAT_PAUSES.get(announcement.times_sent);
            announcement.times_sent += 1;
            announcement.due_at = now + pause.copied().unwrap_or_default();
            pause.is_some()
        });
        due
    }

    /// Drops changes that nobody takes, as where instances exchange their whole state instead.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, announcement| now.since(announcement.due_at) < UNTAKEN_TTL);
    }
}
