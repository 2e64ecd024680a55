//! Round robin.

use super::{BaselineEndpoint, EndpointPicker};

/// Sends each request immediately to the next endpoint in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    picks: usize,
}

impl EndpointPicker for RoundRobin {
    fn pick(&mut self, endpoints: &[BaselineEndpoint]) -> Option<usize> {
        if endpoints.is_empty() {
            return None;
        }
        self.picks = self.picks.wrapping_add(1);
        Some(self.picks % endpoints.len())
    }
}
