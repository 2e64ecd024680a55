//! Listening for callers and operators.

pub mod connection;
mod last_words;
pub mod registry;
pub mod respond;
pub mod router;
pub mod stream;

use std::{sync::Arc, time::Duration};

use http_types::StatusCode;
use policy::RunStatus;
use smol::{Timer, net::TcpListener};

use crate::{error::CallError, filter::Chain, server::connection::Connection, shared::Shared};

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

/// Pause after a failed accept. The usual cause is that file descriptors have run out, and without
/// a pause the loop would keep a thread busy until one is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
pub use ::router::net::listen as bind;

/// Accepts connections until it is dropped.
pub async fn serve(listener: TcpListener, service: Arc<Service>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if service.shared.connections.len() >= service.shared.settings.max_connections {
            let bytes = respond::raw(&too_many(), None);
            service.shared.spawn(async move { last_words::say(stream, &bytes).await });
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

fn too_many() -> CallError {
    CallError {
        status: StatusCode::ServiceUnavailable,
        code: "connections",
        message: "too many connections are open here".to_owned(),
        ran: RunStatus::No,
        retry_after: Some(Duration::from_secs(1)),
    }
}
