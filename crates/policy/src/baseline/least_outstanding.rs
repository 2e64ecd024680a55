//! The endpoint with the fewest requests of this instance.

use super::{Pick, Server};

/// Sends each request at once to the endpoint that has the fewest of this instance's requests.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl Pick for LeastOutstanding {
    fn pick(&mut self, servers: &[Server]) -> Option<usize> {
        (0..servers.len()).min_by_key(|&index| servers[index].running)
    }
}
