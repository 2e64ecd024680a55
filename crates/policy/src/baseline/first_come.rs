//! First come, first served: one queue in order of arrival for all endpoints.

use super::{BaselineEndpoint, EndpointPicker};

/// Maximum number of requests running on one endpoint. Sixteen keeps an engine's batch filled with
/// short prompts, which is a common setting of such queues.
const MAX_RUNNING: u32 = 16;

/// Keeps requests in one queue in order of arrival, and sends the first one to the least busy
/// endpoint as soon as that has a free slot. A request that can't start blocks all later ones.
#[derive(Debug, Default)]
pub struct FirstComeFirstServed;

impl EndpointPicker for FirstComeFirstServed {
    fn pick(&mut self, endpoints: &[BaselineEndpoint]) -> Option<usize> {
        (0..endpoints.len())
            .filter(|&index| endpoints[index].running < MAX_RUNNING)
            .min_by_key(|&index| endpoints[index].running)
    }
}
