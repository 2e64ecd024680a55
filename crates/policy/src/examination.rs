//! Whether an endpoint has died, by what instances find out about it.
//!
//! **Load pattern.** A request crashes all endpoints of a small group within a second, and comes
//! again once they are back. Beside it, instances lose their paths to one group, or to all.
//!
//! **Without it.** A death can be proved only while another endpoint of the group accepts
//! connections, so nobody learns of the last ones. Where a refused connection alone counts as a
//! death, an instance that is cut off has harmless requests refused by all instances.
//!
//! **Rule.** An endpoint that isn't reached has died if another one of its group is reached
//! ([`Finding::Dead`]). Where none of the group is reached, the endpoint has to refuse a connection
//! while an endpoint of another group in its data centre accepts one ([`Finding::Refused`]), and no
//! instance that is asked may be connected. More instances are asked then, because a path may be cut
//! to one group only.
//!
//! **Grounds.** A process that has ended refuses connections for as long as it isn't started again,
//! which takes seconds. The other group shows that the machines and links of the data centre work.
//! A connection that any instance has proves that the endpoint lives.

use serde::{Deserialize, Serialize};

/// Instances that are asked about an endpoint at first. One of them may be cut off or frozen.
pub const FIRST_WITNESSES: usize = 2;

/// Instances that are asked in all where no endpoint of the group is reached.
pub const MAX_WITNESSES: usize = 8;

/// What one instance finds out about an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// It accepts connections.
    Alive,
    /// It doesn't, while another endpoint of its group does, or there is no other endpoint to compare
    /// it with; or a later incarnation has registered.
    Dead,
    /// This instance can't tell.
    Unknown,
    /// It refuses connections and no endpoint of its group is reached, while one of another group
    /// in its data centre is.
    Refused,
}

/// What the findings prove so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint lives.
    Alive,
    /// It has died.
    Dead,
    /// Neither is proved.
    Unknown,
}

/// Collects the findings about one endpoint.
#[derive(Debug, Default)]
pub struct Inquiry {
    is_refused: bool,
}

impl Inquiry {
    /// Adds a finding; returns the verdict if it is proof by itself.
    pub fn record(&mut self, finding: Finding) -> Option<Verdict> {
        match finding {
            Finding::Alive => Some(Verdict::Alive),
            Finding::Dead => Some(Verdict::Dead),
            Finding::Refused => {
                self.is_refused = true;
                None
            }
            Finding::Unknown => None,
        }
    }

    /// Number of instances to ask in all, by what is known so far.
    pub fn witnesses(&self) -> usize {
        if self.is_refused { MAX_WITNESSES } else { FIRST_WITNESSES }
    }

    /// The verdict once all instances that were asked have answered or timed out.
    pub fn close(self) -> Verdict {
        if self.is_refused { Verdict::Dead } else { Verdict::Unknown }
    }
}
