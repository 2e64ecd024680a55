//! The endpoint with the fewest requests of this instance.

use super::{BaselineEndpoint, EndpointPicker};

/// Sends each request at once to the endpoint that has the fewest of this instance's requests.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl EndpointPicker for LeastOutstanding {
    fn pick(&mut self, servers: &[BaselineEndpoint]) -> Option<usize> {
        (0..servers.len()).min_by_key(|&index| servers[index].running)
    }
}
