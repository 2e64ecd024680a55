//! `trefoilhalld`, the daemon.

fn main() {}
