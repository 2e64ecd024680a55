//! One queue in order of arrival before all endpoints.

use super::{BaselineEndpoint, EndpointPicker};

/// Requests that one endpoint gets at once. Sixteen keeps an engine's batch filled with short
/// prompts, which is how such queues are set up in the field.
const MAX_RUNNING: u32 = 16;

/// Keeps requests in one queue in order of arrival, and sends the first to the least busy endpoint
/// once that has a free slot. Whatever stands first blocks the rest.
#[derive(Debug, Default)]
pub struct FirstComeFirstServed;

impl EndpointPicker for FirstComeFirstServed {
    fn pick(&mut self, servers: &[BaselineEndpoint]) -> Option<usize> {
        (0..servers.len())
            .filter(|&index| servers[index].running < MAX_RUNNING)
            .min_by_key(|&index| servers[index].running)
    }
}
