//! The HTTP server for callers and operators.

pub mod connection;
mod final_response;
pub mod registry;
pub mod respond;
pub mod router;
pub mod stream;

use std::{sync::Arc, time::Duration};

use http_types::StatusCode;
use policy::RunStatus;
use smol::{
    Timer,
    net::{TcpListener, TcpStream},
};

use crate::{error::CallError, filter::Chain, server::connection::Connection, shared::Shared};

/// The clients that a listener serves, which determines its paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Callers only: model calls and services.
    Callers,
    /// Operators' tools and probes only.
    Operators,
    /// Both, if the settings name no separate address for operators.
    Both,
}

/// Delay after a failed accept. The usual cause is that no file descriptor is free, and without a
/// delay the loop would keep a thread busy until one is.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest head that the HTTP library reads.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Connections beyond those of callers that operators may open.
const OPERATORS_CONNECTIONS: usize = 64;

/// Refusals that are sent at the same time; further connections are just closed.
const MAX_REFUSALS: usize = 64;

/// What the connections of a listener need to serve requests.
pub struct ListenerContext {
    /// The state of the instance.
    pub shared: Arc<Shared>,
    /// The filters that process calls, in order.
    pub chain: Chain,
    /// The clients that the listener serves.
    pub audience: Audience,
}

/// Binds a listener.
pub use ::router::net::listen as bind;

/// Accepts connections until the future is dropped. Connections beyond `max_connections` get an
/// error response.
pub async fn serve(listener: TcpListener, context: Arc<ListenerContext>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let max = context.max_connections();
        let Some(admitted) = context.shared.resources.admit(max).await else {
            let bytes = respond::raw_error(&too_many_connections_error(), None);
            refuse(&context.shared, stream, bytes);
            continue;
        };
        let conn = Connection::new(stream, admitted.holder().clone(), context.shared.clock.now());
        let registration = registry::register(&context.shared, conn.clone(), admitted);
        let context = context.clone();
        context.shared.clone().spawn(async move {
            conn.run(&context).await;
            drop(registration);
        });
    }
}

impl ListenerContext {
    /// Open connections, of all listeners, at which this one accepts another.
    fn max_connections(&self) -> usize {
        let max = self.shared.resources.limits().connections(MAX_HEAD_BYTES);
        match self.audience {
            Audience::Callers | Audience::Both => max,
            Audience::Operators => max + OPERATORS_CONNECTIONS,
        }
    }
}

/// Sends a refusal to a caller whose request isn't read to its end, unless many are being sent.
fn refuse(shared: &Shared, stream: TcpStream, bytes: Vec<u8>) {
    let telling = shared.refusals.clone();
    if Arc::strong_count(&telling) > MAX_REFUSALS {
        return;
    }
    shared.spawn(async move {
        final_response::send(stream, &bytes).await;
        drop(telling);
    });
}

fn too_many_connections_error() -> CallError {
    CallError {
        status: StatusCode::ServiceUnavailable,
        code: "connections",
        message: "too many connections are open here".to_owned(),
        ran: RunStatus::No,
        retry_after: Some(Duration::from_secs(1)),
    }
}
