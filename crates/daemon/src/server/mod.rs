//! Listening for callers and operators.

pub mod connection;
pub mod registry;
pub mod respond;
pub mod router;
pub mod stream;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::AsyncWriteExt;
use smol::{
    Async, Timer,
    net::{TcpListener, TcpStream},
};
use socket2::{Domain, Protocol, Socket, Type};

use crate::{filter::Chain, server::connection::Connection, shared::Shared};

/// Which paths a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Callers only: model calls and services.
    Callers,
    /// Operators' tools and probes only.
    Operators,
    /// Both, where the settings name no address for operators.
    Both,
}

/// Connections that may wait to be accepted. The customary 128 overflows when a thousand callers
/// come at once, and each of those left over tries again only after a full second.
const BACKLOG: i32 = 4096;

/// Pause after a failed accept. The usual cause is that file descriptors have run out, and without
/// a pause the loop would keep a thread busy until one is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The answer to a connection over the limit. It is sent as it stands, because a caller over the
/// limit must cost next to nothing.
const TOO_MANY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
    retry-after: 1\r\nconnection: close\r\ncontent-length: 112\r\n\r\n\
    {\"error\":{\"code\":\"connections\",\"message\":\"too many connections are open here\",\"ran\":\"no\",\"retry_after\":1.0}}    ";

/// What a connection needs to serve requests.
pub struct Service {
    /// The instance.
    pub shared: Arc<Shared>,
    /// The filters.
    pub chain: Chain,
    /// Which paths are served.
    pub audience: Audience,
}

/// Binds a listener.
///
/// # Errors
///
/// Where the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A successor on the same instance must not wait for connections in their last state.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(Async::new(std::net::TcpListener::from(socket))?.into())
}

/// Accepts connections until it is dropped.
pub async fn serve(listener: TcpListener, service: Arc<Service>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if service.shared.connections.len() >= service.shared.settings.max_connections {
            service.shared.spawn(turn_away(stream));
            continue;
        }
        let conn = Connection::new(stream, service.shared.clock.now());
        let registered = registry::register(&service.shared, conn.clone());
        let service = service.clone();
        service.shared.clone().spawn(async move {
            conn.run(&service).await;
            drop(registered);
        });
    }
}

async fn turn_away(mut stream: TcpStream) {
    let say = async {
        // A caller that is gone already needs no answer.
        stream.write_all(TOO_MANY).await.ok();
    };
    let limit = async {
        Timer::after(Duration::from_secs(1)).await;
    };
    futures_lite::future::or(say, limit).await;
}
