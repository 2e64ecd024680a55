//! Addresses for stand-ins and processes that must keep theirs over a restart.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// The first port that is given out. The ports lie below those that the system gives to outgoing
/// connections (from 32,768 on, usually).
const FIRST: u16 = 12_000;
/// How many ports there are.
const PORTS: u16 = 20_000;
/// Spreads the processes that run at the same time over the ports.
const STRIDE: u32 = 997;

/// A loopback address that nobody listens on and that no outgoing connection takes.
///
/// A port that the system chose would do until its owner dies: an outgoing connection of any
/// process may then take it, and the owner can't come back. Seen as a test that found its address
/// in use once in some hundred restarts.
///
/// # Errors
///
/// Where every port is taken.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let begin = process::id().wrapping_mul(STRIDE) % u32::from(PORTS);
    for _ in 0..PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + ((begin + u32::from(step)) % u32::from(PORTS)) as u16;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return Ok((Ipv4Addr::LOCALHOST, port).into());
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
