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
//! growing pauses until one has answered. A peer answers for the groups that it has caught up on
//! itself. One that has asked often enough counts as caught up: all may have started together.
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

#[derive(Debug, Clone, Copy)]
enum Progress {
    Asking { times_asked: usize, due_at: Time },
    CaughtUp,
}

/// Which groups the others have been asked about.
#[derive(Debug, Default)]
pub struct CatchUp(IndexMap<GroupTag, Progress>);

impl CatchUp {
    /// Takes the groups to ask peers about now, of all that this instance knows. Call it only where
    /// there are peers.
    pub fn take_due(
        &mut self,
        groups: impl IntoIterator<Item = GroupTag>,
        now: Time,
    ) -> Vec<GroupTag> {
        let mut due = Vec::new();
        for group in groups {
            let new = Progress::Asking { times_asked: 0, due_at: now };
            let progress = self.0.entry(group).or_insert(new);
            let Progress::Asking { times_asked, due_at } = progress else { continue };
            if now < *due_at {
                continue;
            }
            match PAUSES.get(*times_asked) {
                Some(pause) => {
                    *times_asked += 1;
                    *due_at = now + *pause;
                    due.push(group);
                }
                None => *progress = Progress::CaughtUp,
            }
        }
        due
    }

    /// Records that a peer has answered for a group.
    pub fn record_answer(&mut self, group: GroupTag) {
        if let Some(progress) = self.0.get_mut(&group) {
            *progress = Progress::CaughtUp;
        }
    }

    /// Whether this instance may answer for a group.
    pub fn has_caught_up(&self, group: GroupTag) -> bool {
        matches!(self.0.get(&group), Some(Progress::CaughtUp))
    }
}
