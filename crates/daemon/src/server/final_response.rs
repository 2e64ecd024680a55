//! Sends the final response on a connection whose request wasn't read, or not completely.
//!
//! Guards against a lost error response: closing a socket that has unread data resets the
//! connection, and the reset can reach the caller before the response, so it sees a broken
//! connection instead of the error. Therefore only the sending side is closed at first, and
//! received data is discarded until the caller closes or a timeout expires.

use std::{net::Shutdown, time::Duration};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::{Timer, net::TcpStream};

/// Limits sending the response and discarding received data together.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(2);

const DISCARD_BUFFER_BYTES: usize = 8 << 10;

/// Sends `bytes` and closes the connection without resetting it.
pub(super) async fn send(mut socket: TcpStream, bytes: &[u8]) {
    let send = async {
        // An error means that the caller has already closed the connection.
        if socket.write_all(bytes).await.is_err() || socket.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut discard_buffer = vec![0; DISCARD_BUFFER_BYTES];
        while socket.read(&mut discard_buffer).await.is_ok_and(|len| len > 0) {}
    };
    let timeout = async {
        Timer::after(TOTAL_TIMEOUT).await;
    };
    send.or(timeout).await;
}
