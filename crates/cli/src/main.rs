//! `trefoilhall`, the command-line tool.

fn main() {}
