//! A TCP proxy in front of one target, whose faults are switched at run time.

use std::{
    io,
    net::{Shutdown, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::{Timer, net::TcpStream};
use socket2::SockRef;

use crate::http::{ConnectionHandler, Host, lock};

const BUF_BYTES: usize = 16 << 10;

/// What the proxy does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Refuses connections; open ones go on.
    Refuse,
    /// Resets open connections at once, and new ones when their first byte comes.
    Reset,
    /// Passes everything on this much later.
    Delay(Direction, Duration),
    /// Connections open now go silent for good; new ones pass.
    SilenceOpen(Direction),
    /// Open connections go silent for good, and so does every new one.
    SilenceAll(Direction),
    /// New connections are cut once this many bytes went to the caller.
    CutAfter(u64),
    /// New connections pass the request on and are cut when the answer comes.
    LoseAnswer,
}

/// Which way a fault works.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the caller to the target.
    ToTarget,
    /// From the target to the caller.
    ToCaller,
    /// Both.
    Both,
}

impl Direction {
    fn covers(self, other: Direction) -> bool {
        self == Direction::Both || self == other
    }
}

/// A running proxy.
pub struct FaultProxy {
    host: Host,
    shared: Arc<Shared>,
}

struct Shared {
    target: SocketAddr,
    mode: Mutex<Mode>,
    links: Mutex<Vec<Arc<Link>>>,
}

/// One connection through the proxy.
struct Link {
    caller: TcpStream,
    target: TcpStream,
    silent_to_target: AtomicBool,
    silent_to_caller: AtomicBool,
    /// Bytes that may still go to the caller.
    allowance: AtomicU64,
    broken: AtomicBool,
}

impl FaultProxy {
    /// Starts a proxy before `target` on a free loopback port.
    pub fn start(target: SocketAddr) -> io::Result<FaultProxy> {
        let shared = Arc::new(Shared {
            target,
            mode: Mutex::new(Mode::Pass),
            links: Mutex::new(Vec::new()),
        });
        let host = Host::start("proxy")?;
        host.serve(shared.clone())?;
        Ok(FaultProxy { host, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Switches to another mode.
    pub fn set_mode(&self, mode: Mode) -> io::Result<()> {
        let before = std::mem::replace(&mut *lock(&self.shared.mode), mode);
        match mode {
            Mode::SilenceOpen(direction) | Mode::SilenceAll(direction) => {
                self.each_link(|link| link.silence(direction));
            }
            Mode::Reset => self.each_link(Link::reset),
            _ => {}
        }
        match (before, mode) {
            (Mode::Refuse, Mode::Refuse) => Ok(()),
            (_, Mode::Refuse) => {
                self.host.stop_listening();
                Ok(())
            }
            (Mode::Refuse, _) => self.host.serve(self.shared.clone()),
            _ => Ok(()),
        }
    }

    /// How many connections it ever accepted.
    pub fn accepted(&self) -> u64 {
        self.host.accepted()
    }

    /// How many connections are open through it.
    pub fn open(&self) -> usize {
        self.shared.purge();
        lock(&self.shared.links).len()
    }

    /// Ends it and cuts what is open.
    pub fn close(self) {
        self.each_link(Link::reset);
        self.host.close();
    }

    fn each_link(&self, act: impl Fn(&Link)) {
        lock(&self.shared.links).iter().for_each(|link| act(link));
    }
}

impl ConnectionHandler for Shared {
    async fn connection(&self, caller: TcpStream) {
        let mode = *lock(&self.mode);
        if mode == Mode::Reset {
            // After the first byte, so that the caller can't take it for a refused connect.
            let _ = caller.peek(&mut [0]).await;
            return reset(&caller);
        }
        let Ok(target) = TcpStream::connect(self.target).await else { return reset(&caller) };
        let _ = (caller.set_nodelay(true), target.set_nodelay(true));
        let link = Arc::new(Link::new(caller, target, mode));
        lock(&self.links).push(link.clone());
        let there = self.pump(&link, Direction::ToTarget);
        let back = self.pump(&link, Direction::ToCaller);
        futures_lite::future::zip(there, back).or(link.until_broken()).await;
        link.broken.store(true, Ordering::Relaxed);
        // The last handle closes both ends: as usual, or with a reset where one was asked for.
        self.purge();
    }
}

impl Shared {
    fn purge(&self) {
        lock(&self.links).retain(|link| !link.broken.load(Ordering::Relaxed));
    }

    /// Passes bytes one way until that way ends.
    async fn pump(&self, link: &Link, direction: Direction) {
        let (mut from, mut to) = match direction {
            Direction::ToTarget => (link.caller.clone(), link.target.clone()),
            _ => (link.target.clone(), link.caller.clone()),
        };
        let mut buf = vec![0; BUF_BYTES];
        loop {
            let read = from.read(&mut buf).await.unwrap_or(0);
            let mode = *lock(&self.mode);
            if let Mode::Delay(delayed, delay) = mode
                && delayed.covers(direction)
            {
                Timer::after(delay).await;
            }
            if link.is_silent(direction) {
                // Neither data nor the end of the stream gets through.
                smol::future::pending::<()>().await;
            }
            let allowed = link.allow(direction, read);
            if to.write_all(&buf[..allowed]).await.is_err() || allowed < read {
                link.broken.store(true, Ordering::Relaxed);
                return;
            }
            if read == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}

impl Link {
    fn new(caller: TcpStream, target: TcpStream, mode: Mode) -> Link {
        let allowance = match mode {
            Mode::CutAfter(bytes) => bytes,
            Mode::LoseAnswer => 0,
            _ => u64::MAX,
        };
        let link = Link {
            caller,
            target,
            silent_to_target: AtomicBool::new(false),
            silent_to_caller: AtomicBool::new(false),
            allowance: AtomicU64::new(allowance),
            broken: AtomicBool::new(false),
        };
        if let Mode::SilenceAll(direction) = mode {
            link.silence(direction);
        }
        link
    }

    fn silence(&self, direction: Direction) {
        if direction.covers(Direction::ToTarget) {
            self.silent_to_target.store(true, Ordering::Relaxed);
        }
        if direction.covers(Direction::ToCaller) {
            self.silent_to_caller.store(true, Ordering::Relaxed);
        }
    }

    fn is_silent(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.silent_to_target.load(Ordering::Relaxed),
            _ => self.silent_to_caller.load(Ordering::Relaxed),
        }
    }

    /// How many of `bytes` may go that way.
    fn allow(&self, direction: Direction, bytes: usize) -> usize {
        if direction == Direction::ToTarget {
            return bytes;
        }
        let left = self.allowance.load(Ordering::Relaxed);
        let allowed = left.min(bytes as u64);
        self.allowance.store(left - allowed, Ordering::Relaxed);
        allowed as usize
    }

    fn reset(&self) {
        self.broken.store(true, Ordering::Relaxed);
        reset(&self.caller);
        reset(&self.target);
    }

    /// Ends soon after the link was marked as broken, whatever its two ways wait for.
    async fn until_broken(&self) -> ((), ()) {
        const LOOK: Duration = Duration::from_millis(2);
        while !self.broken.load(Ordering::Relaxed) {
            Timer::after(LOOK).await;
        }
        ((), ())
    }
}

/// Makes the close of this connection a reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
