//! The HTTP side that all stand-ins share: a listener on a loopback port with its own thread, whose
//! connections can be cut and whose port can be opened again.

use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener as StdListener},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use futures_lite::FutureExt;
use http_types::{Body, Request, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use smol::{
    Executor, Task, Timer,
    net::{TcpListener, TcpStream},
};
use socket2::{Domain, Socket, Type};

use crate::free_address;

/// How often a port is tried again while something else still holds it.
const BIND_TRIES: u32 = 200;
/// Connections that may wait to be accepted. The standard library asks for 128, which a burst of two
/// thousand callers overflows; those left out are reset after a second.
const BACKLOG: i32 = 4_096;
/// How long between two tries to bind, and between two looks for a hang-up while data is pending.
const PAUSE: Duration = Duration::from_millis(5);

/// How a stand-in ends a call.
pub(crate) enum Reply {
    /// With an answer.
    Answer(Box<Response>),
    /// By closing the connection without a word.
    Cut,
    /// Not at all: the connection stays open and silent.
    Silence,
}

/// What a stand-in does with calls.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one call.
    fn handle(&self, req: Request) -> impl Future<Output = Reply> + Send;
}

/// What a stand-in does with connections. Whatever answers HTTP calls serves them as HTTP.
pub(crate) trait ConnectionHandler: Send + Sync + 'static {
    /// Serves one connection to its end.
    fn connection(&self, stream: TcpStream) -> impl Future<Output = ()> + Send;
}

impl<H: Handler> ConnectionHandler for H {
    async fn connection(&self, stream: TcpStream) {
        serve_connection(stream, self).await;
    }
}

/// A listener and its connections.
pub(crate) struct Host {
    address: SocketAddr,
    ex: Arc<Executor<'static>>,
    shared: Arc<HostState>,
    stop: smol::channel::Sender<()>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

struct HostState {
    listener: Mutex<Option<Task<()>>>,
    connections: Mutex<Vec<Task<()>>>,
    accepted: AtomicU64,
}

impl Host {
    /// Takes a free loopback port and starts the thread; nothing is served before
    /// [`Host::serve`].
    pub(crate) fn start(name: &str) -> io::Result<Host> {
        let address = free_address()?;
        let ex = Arc::new(Executor::new());
        let (stop, stopped) = smol::channel::bounded(1);
        let runner = ex.clone();
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            // An error means that the sender is gone, which ends the thread as well.
            let _ = smol::block_on(runner.run(stopped.recv()));
        })?;
        let shared = Arc::new(HostState {
            listener: Mutex::new(None),
            connections: Mutex::new(Vec::new()),
            accepted: AtomicU64::new(0),
        });
        Ok(Host { address, ex, shared, stop, thread: Mutex::new(Some(thread)) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Listens and serves connections by `handler`.
    pub(crate) fn serve<H: ConnectionHandler>(&self, handler: Arc<H>) -> io::Result<()> {
        let listener = TcpListener::from(smol::Async::new(bind(self.address)?)?);
        let (ex, shared) = (self.ex.clone(), self.shared.clone());
        let task = self.ex.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.accepted.fetch_add(1, Ordering::Relaxed);
                let handler = handler.clone();
                let task = ex.spawn(async move { handler.connection(stream).await });
                let mut connections = lock(&shared.connections);
                connections.retain(|task| !task.is_finished());
                connections.push(task);
            }
        });
        *lock(&self.shared.listener) = Some(task);
        Ok(())
    }

    /// Runs a task beside the connections.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        lock(&self.shared.connections).push(self.ex.spawn(task));
    }

    /// Closes the listener, and returns once it is closed; connections go on.
    pub(crate) fn stop_listening(&self) {
        let listener = lock(&self.shared.listener).take();
        if let Some(listener) = listener {
            smol::block_on(listener.cancel());
        }
    }

    /// Closes the listener and every connection, as a process that dies would, and returns once
    /// they are closed. Not to be called by a task of this host, which would wait for itself.
    pub(crate) fn cut(&self) {
        self.stop_listening();
        let connections = std::mem::take(&mut *lock(&self.shared.connections));
        for connection in connections {
            smol::block_on(connection.cancel());
        }
    }

    /// Cuts and ends the thread.
    pub(crate) fn close(&self) {
        self.cut();
        let _ = self.stop.try_send(());
        if let Some(thread) = lock(&self.thread).take() {
            let _ = thread.join();
        }
    }
}

/// Takes a lock whether or not a holder panicked: a stand-in's state stays readable for the test
/// that has to report the panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An answer with a JSON body.
pub(crate) fn json<T: Serialize>(content: &T) -> Response {
    let mut resp = Response::new(StatusCode::Ok);
    match serde_json::to_vec(content) {
        Ok(body) => resp.set_body(body),
        Err(_) => resp.set_status(StatusCode::InternalServerError),
    }
    resp.insert_header("content-type", "application/json");
    resp
}

/// Why a call is refused.
#[derive(Debug, Clone)]
pub(crate) struct Refused {
    pub(crate) status: StatusCode,
    pub(crate) message: String,
}

impl Refused {
    pub(crate) fn new(status: StatusCode, message: impl Into<String>) -> Refused {
        Refused { status, message: message.into() }
    }
}

impl From<Refused> for Response {
    fn from(refused: Refused) -> Response {
        let mut resp = Response::new(refused.status);
        resp.set_body(Body::from_string(refused.message));
        resp
    }
}

impl From<Response> for Reply {
    fn from(resp: Response) -> Reply {
        Reply::Answer(Box::new(resp))
    }
}

impl From<Refused> for Reply {
    fn from(refused: Refused) -> Reply {
        Response::from(refused).into()
    }
}

/// The body of a call as JSON, or the refusal that says what is wrong with it.
pub(crate) async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, Refused> {
    let body = req.body_bytes().await.unwrap_or_default();
    serde_json::from_slice(&body).map_err(|error| {
        Refused::new(StatusCode::BadRequest, format!("the body is wrong: {error}"))
    })
}

/// A header as text.
pub(crate) fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|values| values.last().as_str())
}

/// A number from the query, as in `?from=7`.
pub(crate) fn query(req: &Request, name: &str) -> Option<u64> {
    query_text(req, name)?.parse().ok()
}

/// A text from the query.
pub(crate) fn query_text(req: &Request, name: &str) -> Option<String> {
    let (_, value) = req.url().query_pairs().find(|(key, _)| key == name)?;
    Some(value.into_owned())
}

fn bind(address: SocketAddr) -> io::Result<StdListener> {
    for _ in 0..BIND_TRIES {
        match listen(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => std::thread::sleep(PAUSE),
            other => return other,
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn listen(address: SocketAddr) -> io::Result<StdListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: &H) {
    let _ = stream.set_nodelay(true);
    let calls = async {
        let answer = async |req: Request| match handler.handle(req).await {
            Reply::Answer(resp) => Ok(*resp),
            Reply::Cut => Err(http_types::Error::from_str(StatusCode::BadGateway, "cut")),
            Reply::Silence => smol::future::pending().await,
        };
        let _ = async_h1::accept(stream.clone(), answer).await;
    };
    calls.or(hang_up(&stream)).await;
}

/// Ends when the caller hangs up. async-h1 notices that only on the next write, which for a
/// waiting request may come much later.
async fn hang_up(stream: &TcpStream) {
    let mut byte = [0];
    while let Ok(1) = stream.peek(&mut byte).await {
        Timer::after(PAUSE).await;
    }
}
