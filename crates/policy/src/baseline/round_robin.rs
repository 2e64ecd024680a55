//! Endpoints in turn.

use super::{BaselineEndpoint, EndpointPicker};

/// Sends each request at once to the next endpoint in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl EndpointPicker for RoundRobin {
    fn pick(&mut self, servers: &[BaselineEndpoint]) -> Option<usize> {
        if servers.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(self.turn % servers.len())
    }
}
