//! Options of connections between instances, to endpoints and to callers.

#![allow(clippy::unwrap_used)]

use std::{net::TcpListener, time::Duration};

use router::net;
use socket2::SockRef;

/// How long a sound machine may be silent.
const SOUND_SILENCE: Duration = Duration::from_secs(2);

/// Guards against connections to a machine that is silent for a moment and goes on. Linux closes a
/// connection whose last byte came `TCP_USER_TIMEOUT` ago if a keep-alive probe is unanswered, however
/// few there were; the last answered probe may be a whole interval old when the silence begins.
#[test]
fn a_connection_outlasts_a_sound_machines_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let stream = smol::block_on(net::connect(address, Duration::from_secs(1))).unwrap();
    let socket = SockRef::from(&stream);
    let user_timeout = socket.tcp_user_timeout().unwrap().unwrap();
    let interval =
        socket.tcp_keepalive_time().unwrap().max(socket.tcp_keepalive_interval().unwrap());
    assert!(user_timeout > interval + SOUND_SILENCE, "{user_timeout:?}, {interval:?}");
    let probes = socket.tcp_keepalive_retries().unwrap();
    assert!(interval * probes > SOUND_SILENCE);
}

/// Guards against probes whose unread requests the kernel keeps without a bound. Linux reports twice
/// the size that was set.
#[test]
fn connections_of_probes_have_a_small_receive_buffer() {
    smol::block_on(async {
        let listener = net::listen_for_probes(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let _client = net::connect(address, Duration::from_secs(1)).await.unwrap();
        let (accepted, _) = listener.accept().await.unwrap();
        let bytes = SockRef::from(&accepted).recv_buffer_size().unwrap();
        assert!(bytes <= 2 * (16 << 10), "{bytes}");
    });
}
