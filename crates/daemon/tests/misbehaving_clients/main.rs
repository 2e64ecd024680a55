//! Crowds of clients that take up connections and memory, against real processes.
//!
//! Each case checks that the process lives, that its memory and descriptors stay within those of its
//! machine, and that an ordinary caller is answered while the crowd is still connected. Nothing here
//! depends on the speed of the machine. One case runs at a time.

#![allow(clippy::unwrap_used, unreachable_pub)]

mod changes;
mod clients;
#[path = "../common/mod.rs"]
mod common;
mod names;
mod own_interface;
mod process;
mod router;

/// Stand-ins of the platform's log service and endpoints.
#[allow(dead_code, missing_docs)]
#[path = "../../../../platform/tests/common"]
mod platform_standins {
    pub mod endpoint;
    pub mod http;
    pub mod store;
    pub mod wire;
}
