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
use smol::{Timer, net::TcpListener};

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
        if context.shared.connections.len() >= context.shared.settings.max_connections {
            let bytes = respond::raw_error(&too_many_connections_error(), None);
            context.shared.spawn(async move { final_response::send(stream, &bytes).await });
            continue;
        }
        let conn = Connection::new(stream, context.shared.clock.now());
        let registration = registry::register(&context.shared, conn.clone());
        let context = context.clone();
        context.shared.clone().spawn(async move {
            conn.run(&context).await;
            drop(registration);
        });
    }
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
