//! Passing requests on through peers while an instance's own path to endpoints is cut.
//!
//! **Load pattern.** Some instances, or all of a data centre but one, lose the path to all endpoints
//! for seconds, while callers and the other instances reach them as before.
//!
//! **Without it.** Such an instance refuses what its peers could serve, and tries every endpoint
//! for every request. Reporting that it isn't ready doesn't help: callers keep their connections,
//! and a balancer doesn't leave a data centre without instances.
//!
//! **Rule.** Connections that fail at several endpoints, with no answer in between, show that the
//! path is cut ([`Path`]). Requests then go through a peer ([`Peers`]), which treats them as those of
//! its own callers but never passes them on. A peer whose own path is cut declines, and isn't asked
//! again for a while. Where nobody helps, the instance tries its own path as before. Probes find out
//! when the path works again.
//!
//! **Grounds.** Nothing is exchanged while no path is cut, and a cut costs one connection to a peer
//! for each request, whatever the number of instances: an instance learns who can help from the
//! requests that it passes on, and from reports of load that are sent anyway.

mod path;
mod peers;

pub use path::{Path, PathState};
pub use peers::{Peer, Peers};

/// Peers that are asked for one request. One that can't help declines within a round trip.
pub const MAX_PEERS_PER_REQUEST: usize = 3;

/// Connections that may fail for one request before it is passed on, although the path isn't known
/// to be cut.
pub const UNREACHED_UNTIL_FORWARDED: u32 = 2;
