//! Endpoints in turn.

use super::{Pick, Server};

/// Sends each request at once to the next endpoint in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Pick for RoundRobin {
    fn pick(&mut self, servers: &[Server]) -> Option<usize> {
        if servers.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(self.turn % servers.len())
    }
}
