//! The last answer on a connection whose request was not or not wholly read.
//!
//! The failure: a socket that is closed with bytes unread is reset, and the reset overtakes the
//! answer. The caller sees a broken connection instead of what was wrong. So the sending side is
//! closed first, and what still comes is read and dropped for a moment.

use std::{net::Shutdown, time::Duration};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::{Timer, net::TcpStream};

/// How long all of it may take.
const LIMIT: Duration = Duration::from_secs(2);

/// Bytes that are dropped at a time.
const STEP: usize = 8 << 10;

/// Sends `bytes` and closes the connection.
pub(super) async fn say(mut socket: TcpStream, bytes: &[u8]) {
    let say = async {
        // A caller that is gone already needs no answer.
        if socket.write_all(bytes).await.is_err() || socket.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut dropped = vec![0; STEP];
        while socket.read(&mut dropped).await.is_ok_and(|len| len > 0) {}
    };
    let limit = async {
        Timer::after(LIMIT).await;
    };
    say.or(limit).await;
}
