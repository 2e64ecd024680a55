//! Outgoing links: which addresses to dial, and when.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fastrand::Rng;
use policy::{InstanceId, Time};
use smol::net::TcpStream;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer::{
    count::CountedStream,
    frame::{FrameError, FrameReader, FrameWriter},
    link::{self, HandshakeError, Streams},
    listen::{run_with_connection, within_hello_timeout},
    shared::Shared,
    state::{LinkRejection, State},
};

/// Delay before the next dial after a link that ended; doubles with each failed dial.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(200);

/// Upper bound of the redial delay. An instance that comes back is linked within this time.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(5);

/// Address where another instance listens, or did.
#[derive(Debug, Clone, Default)]
pub(super) struct Target {
    /// Instance that answered at this address, or that is listed with it.
    pub(super) instance: Option<InstanceId>,
    /// Whether the settings name this address. Such a target is never removed.
    pub(super) is_seed: bool,
    /// Whether the address turned out to be this instance's own.
    is_this_instance: bool,
    is_dialling: bool,
    failures: u32,
    next_dial_at: Time,
}

impl Target {
    fn is_due(&self, now: Time) -> bool {
        !self.is_this_instance && !self.is_dialling && self.next_dial_at <= now
    }

    /// Schedules the next dial after a delay of which half is random, so that instances that lost
    /// each other at the same moment don't keep dialling each other simultaneously.
    fn schedule_next_dial(&mut self, now: Time, rng: &mut Rng) {
        let delay =
            MIN_REDIAL_DELAY.saturating_mul(1 << self.failures.min(8)).min(MAX_REDIAL_DELAY);
        self.next_dial_at = now + delay.mul_f64(0.5 + rng.f64() / 2.0);
    }
}

impl State {
    /// Returns the addresses to dial now, and marks them as being dialled until
    /// [`State::record_dial`].
    pub(super) fn take_due(&mut self, now: Time) -> Vec<SocketAddr> {
        let State { targets, links, wanted, .. } = self;
        let needs_dial = |instance: &Option<InstanceId>| match instance {
            Some(instance) => wanted.contains(instance) && !links.contains_key(instance),
            None => true,
        };
        targets
            .iter_mut()
            .filter(|(_, target)| target.is_due(now) && needs_dial(&target.instance))
            .map(|(address, target)| {
                target.is_dialling = true;
                *address
            })
            .collect()
    }

    /// Records which instance answered at an address.
    fn record_instance_at(&mut self, address: SocketAddr, instance: &InstanceId) {
        if let Some(target) = self.targets.get_mut(&address) {
            target.instance = Some(instance.clone());
        }
    }

    fn record_dial(
        &mut self,
        address: SocketAddr,
        dial_outcome: DialOutcome,
        now: Time,
        rng: &mut Rng,
    ) {
        let Some(target) = self.targets.get_mut(&address) else {
            return;
        };
        target.is_dialling = false;
        target.is_this_instance = matches!(dial_outcome, DialOutcome::ThisInstance);
        target.failures =
            if matches!(dial_outcome, DialOutcome::Peer) { 0 } else { target.failures + 1 };
        target.schedule_next_dial(now, rng);
    }
}

/// Result of a dial.
enum DialOutcome {
    Peer,
    ThisInstance,
    Failed,
}

/// Dials an address and runs the link until it ends.
pub(super) async fn run(shared: Arc<Shared>, address: SocketAddr) {
    let dial_outcome = match dial(&shared, address).await {
        Ok(()) => DialOutcome::Peer,
        Err(HandshakeError::Rejected(LinkRejection::SelfConnection)) => DialOutcome::ThisInstance,
        Err(HandshakeError::Rejected(LinkRejection::Duplicate)) => DialOutcome::Peer,
        Err(err) => {
            log::debug!(address:% = address, error:% = err; "peer_dial_failed");
            DialOutcome::Failed
        }
    };
    let now = shared.now();
    // The jitter only has to differ between instances, so the seed needs no entropy.
    let mut rng = Rng::with_seed(shared.local.incarnation.0 ^ now.0);
    shared.lock().record_dial(address, dial_outcome, now, &mut rng);
}

async fn dial(shared: &Arc<Shared>, address: SocketAddr) -> Result<(), HandshakeError> {
    let connection_closed = |_| HandshakeError::Frame(FrameError::Closed);
    let stream = within_hello_timeout(TcpStream::connect(address))
        .await
        .map_err(|_| connection_closed(()))?;
    // Without TCP_NODELAY small packets wait for acknowledgements. If it can't be set, the link is
    // only slower.
    stream.set_nodelay(true).ok();
    let stream = CountedStream { stream, counters: shared.traffic.clone() };
    let handshake = within_hello_timeout(h2::client::handshake(stream.compat()));
    let (mut requests, connection) = handshake.await.map_err(|_| connection_closed(()))?;
    let req = http::Request::post(format!("http://{address}/peer")).body(());
    let req = req.map_err(|_| connection_closed(()))?;
    let mut outcome = Err(connection_closed(()));
    let run_link = async {
        outcome = async {
            let (resp, writer) =
                requests.send_request(req, false).map_err(|_| connection_closed(()))?;
            let resp = within_hello_timeout(resp).await.map_err(|_| connection_closed(()))?;
            drop(requests);
            let mut streams = Streams {
                reader: FrameReader::new(resp.into_body()),
                writer: FrameWriter::new(writer),
                dialled: true,
            };
            let hello_exchange =
                within_hello_timeout(link::start_handshake(&shared.local, &mut streams));
            let hello =
                hello_exchange.await.map_err(|err| err.unwrap_or(HandshakeError::MissingHello))?;
            shared.lock().record_instance_at(address, &hello.instance);
            link::run(shared, hello, streams).await
        }
        .await;
    };
    let drive_connection = async {
        // The error is ignored: the end of the connection also ends the link's stream.
        connection.await.ok();
    };
    run_with_connection(run_link, drive_connection).await;
    outcome
}
