//! When an instance asks the others what they know of a group's suspects and limits.
//!
//! **Load pattern.** An instance starts while a request that crashes endpoints goes on coming. It
//! finds its peers some milliseconds before it knows its groups, or seconds before where the log is
//! away.
//!
//! **Without it.** What the others tell a newcomer as soon as they see it belongs to groups that it
//! doesn't know yet, and is lost. It sends the request to endpoints once more.
//!
//! **Rule.** An instance asks a few peers about each group once it knows the group, and again after
//! growing pauses until one has answered, or it has asked often enough. It answers for the groups
//! that it has been told of, or has known for [`ANSWERS_AFTER`]: all may have started together, or it
//! was alone.
//!
//! **Grounds.** Nothing is exchanged once all groups have been answered for, and a group costs each
//! instance a few small datagrams where nobody has anything to tell.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{GroupTag, Time};

/// Peers that are asked at a time. One of them may have failed or be starting, too.
pub const PEERS_ASKED: usize = 3;

/// Pauses after each question.
const PAUSES: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(900),
    Duration::from_millis(2_700),
];

/// Time after which an instance answers for a group that nobody has told it of.
pub const ANSWERS_AFTER: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy)]
struct Progress {
    known_since: Time,
    times_asked: usize,
    due_at: Time,
    is_told: bool,
}

/// Which groups the others have been asked about.
#[derive(Debug, Default)]
pub struct CatchUp(IndexMap<GroupTag, Progress>);

impl CatchUp {
    /// Takes the groups to ask peers about now, of all that this instance knows.
    pub fn take_due(
        &mut self,
        groups: impl IntoIterator<Item = GroupTag>,
        has_peers: bool,
        now: Time,
    ) -> Vec<GroupTag> {
        let mut due = Vec::new();
        for group in groups {
            let new = Progress { known_since: now, times_asked: 0, due_at: now, is_told: false };
            let progress = self.0.entry(group).or_insert(new);
            if !has_peers || progress.is_told || now < progress.due_at {
                continue;
            }
            let Some(pause) = PAUSES.get(progress.times_asked) else { continue };
            progress.times_asked += 1;
            progress.due_at = now + *pause;
            due.push(group);
        }
        due
    }

    /// Records that a peer has told all that it knows of a group.
    pub fn record_answer(&mut self, group: GroupTag) {
        if let Some(progress) = self.0.get_mut(&group) {
            progress.is_told = true;
        }
    }

    /// Whether this instance may answer for a group.
    pub fn may_answer(&self, group: GroupTag, now: Time) -> bool {
        self.0.get(&group).is_some_and(|progress| {
            progress.is_told || now.since(progress.known_since) >= ANSWERS_AFTER
        })
    }
}
