//! Links dialled from here.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fastrand::Rng;
use policy::{InstanceId, Time};
use smol::net::TcpStream;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer::{
    count::Counted,
    frame::{FrameError, FrameReader, FrameWriter},
    link::{self, HelloError, Streams},
    listen::{run_beside, within},
    shared::Shared,
    state::{Rejected, State},
};

/// The first pause after a dial that failed, and after a link that ended.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// No pause is longer. An instance that comes back is linked within this time.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// An address where another instance listens, or did.
#[derive(Debug, Clone, Default)]
pub(super) struct Target {
    /// Who was met there, or is said to be there.
    pub(super) instance: Option<InstanceId>,
    /// Whether the settings name it. Such a target is never forgotten.
    pub(super) seed: bool,
    /// Whether it turned out to be this instance itself.
    myself: bool,
    dialling: bool,
    failures: u32,
    next: Time,
}

impl Target {
    fn is_due(&self, now: Time) -> bool {
        !self.myself && !self.dialling && self.next <= now
    }

    /// Half of the pause is drawn, so that instances that lost each other in the same moment
    /// don't dial in the same moment for ever.
    fn pause(&mut self, now: Time, rng: &mut Rng) {
        let span = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8)).min(MAX_PAUSE);
        self.next = now + span.mul_f64(0.5 + rng.f64() / 2.0);
    }
}

impl State {
    /// The addresses to dial now; they count as being dialled until [`State::dialled`].
    pub(super) fn take_due(&mut self, now: Time) -> Vec<SocketAddr> {
        let State { targets, links, wanted, .. } = self;
        let wants = |instance: &Option<InstanceId>| match instance {
            Some(instance) => wanted.contains(instance) && !links.contains_key(instance),
            None => true,
        };
        targets
            .iter_mut()
            .filter(|(_, target)| target.is_due(now) && wants(&target.instance))
            .map(|(address, target)| {
                target.dialling = true;
                *address
            })
            .collect()
    }

    /// Takes note of who listens at an address.
    fn met_at(&mut self, address: SocketAddr, instance: &InstanceId) {
        if let Some(target) = self.targets.get_mut(&address) {
            target.instance = Some(instance.clone());
        }
    }

    fn dialled(&mut self, address: SocketAddr, met: Met, now: Time, rng: &mut Rng) {
        let Some(target) = self.targets.get_mut(&address) else {
            return;
        };
        target.dialling = false;
        target.myself = matches!(met, Met::Myself);
        target.failures = if matches!(met, Met::Peer) { 0 } else { target.failures + 1 };
        target.pause(now, rng);
    }
}

/// Whom a dial met.
enum Met {
    Peer,
    Myself,
    Nobody,
}

/// Dials an address and runs the link until it ends.
pub(super) async fn run(shared: Arc<Shared>, address: SocketAddr) {
    let met = match dial(&shared, address).await {
        Ok(()) => Met::Peer,
        Err(HelloError::Rejected(Rejected::Myself)) => Met::Myself,
        Err(HelloError::Rejected(Rejected::Duplicate)) => Met::Peer,
        Err(err) => {
            log::debug!(address:% = address, error:% = err; "peer_dial_failed");
            Met::Nobody
        }
    };
    let now = shared.now();
    // The jitter only has to differ between instances.
    let mut rng = Rng::with_seed(shared.me.incarnation.0 ^ now.0);
    shared.lock().dialled(address, met, now, &mut rng);
}

async fn dial(shared: &Arc<Shared>, address: SocketAddr) -> Result<(), HelloError> {
    let closed = |_| HelloError::Frame(FrameError::Closed);
    let stream = within(TcpStream::connect(address)).await.map_err(|_| closed(()))?;
    // Without it small packets wait for acknowledgements; a socket that refuses is just slower.
    stream.set_nodelay(true).ok();
    let stream = Counted { stream, counters: shared.traffic.clone() };
    let handshake = within(h2::client::handshake(stream.compat()));
    let (mut requests, connection) = handshake.await.map_err(|_| closed(()))?;
    let req = http::Request::post(format!("http://{address}/peer")).body(());
    let req = req.map_err(|_| closed(()))?;
    let mut outcome = Err(closed(()));
    let linked = async {
        outcome = async {
            let (resp, writer) = requests.send_request(req, false).map_err(|_| closed(()))?;
            let resp = within(resp).await.map_err(|_| closed(()))?;
            drop(requests);
            let mut streams = Streams {
                reader: FrameReader::new(resp.into_body()),
                writer: FrameWriter::new(writer),
                dialled: true,
            };
            let greeting = within(link::greet(&shared.me, &mut streams));
            let hello = greeting.await.map_err(|late| late.unwrap_or(HelloError::NoHello))?;
            shared.lock().met_at(address, &hello.instance);
            link::run(shared, hello, streams).await
        }
        .await;
    };
    let driven = async {
        // How the connection ends shows in its stream.
        connection.await.ok();
    };
    run_beside(linked, driven).await;
    outcome
}
