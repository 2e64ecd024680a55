//! Least outstanding requests.

use super::{BaselineEndpoint, EndpointPicker};

/// Sends each request immediately to the endpoint with the fewest running requests of this
/// instance.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl EndpointPicker for LeastOutstanding {
    fn pick(&mut self, endpoints: &[BaselineEndpoint]) -> Option<usize> {
        (0..endpoints.len()).min_by_key(|&index| endpoints[index].running)
    }
}
