//! The lifetime of a link: handshake, registration, reading and writing, and its end.

use std::{fmt, sync::Arc, time::Duration};

use futures_lite::{FutureExt, future::or};
use policy::{DataCentre, Incarnation, InstanceId, membership::MemberObservation};
use smol::{
    Timer,
    channel::{Receiver, bounded},
};

use crate::peer::{
    HELLO_TIMEOUT, PROTOCOL_VERSION, PeerEvent,
    compact::{LoadDecoder, LoadEncoder, LoadPart},
    frame::{FrameError, FrameReader, FrameWriter},
    message::{Hello, Message, Origin, Packet, PacketError, encode},
    outbox::{Outbox, OutboxItem},
    shared::Shared,
    state::{Link, LinkRejection, State},
};

/// How long a replaced link is still read: the other end switches to the new link within this time,
/// and keeps writing to the old one until then.
const LINGER_DURATION: Duration = HELLO_TIMEOUT;

/// Id of links that aren't registered; registered ids start at 1.
const UNREGISTERED_LINK_ID: u64 = 0;

/// Both directions of a new stream between two instances.
pub(super) struct Streams {
    pub(super) reader: FrameReader,
    pub(super) writer: FrameWriter,
    /// Whether this side dialled.
    pub(super) dialled: bool,
}

/// Why a link wasn't established.
#[derive(Debug)]
pub(super) enum HandshakeError {
    /// The other end closed the stream, or sent an invalid packet.
    Frame(FrameError),
    /// The first packet wasn't a hello, or didn't arrive within the timeout.
    MissingHello,
    /// The other end uses this protocol version, which differs from [`PROTOCOL_VERSION`].
    UnsupportedProtocol(u32),
    /// The link was rejected after the hello.
    Rejected(LinkRejection),
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandshakeError::Frame(err) => write!(f, "no hello was received: {err}"),
            HandshakeError::MissingHello => {
                write!(f, "the other end sent no hello within the timeout")
            }
            HandshakeError::UnsupportedProtocol(theirs) => {
                write!(f, "the other end uses protocol version {theirs}, not {PROTOCOL_VERSION}")
            }
            HandshakeError::Rejected(LinkRejection::SelfConnection) => {
                write!(f, "the address belongs to this instance")
            }
            HandshakeError::Rejected(LinkRejection::StaleIncarnation) => {
                write!(f, "the other end is an incarnation that has been replaced")
            }
            HandshakeError::Rejected(LinkRejection::Duplicate) => {
                write!(f, "the link that the other end dialled is kept instead")
            }
        }
    }
}

impl From<FrameError> for HandshakeError {
    fn from(err: FrameError) -> Self {
        HandshakeError::Frame(err)
    }
}

/// Sends a hello and waits for the reply.
pub(super) async fn start_handshake(
    local: &Hello,
    streams: &mut Streams,
) -> Result<Hello, HandshakeError> {
    send_hello(local, streams).await?;
    receive_hello(streams).await
}

/// Waits for the hello of the dialling end and replies to it. A stale incarnation gets no reply: it
/// would consider the link established until it saw the link end.
pub(super) async fn accept_handshake(
    shared: &Shared,
    streams: &mut Streams,
) -> Result<Hello, HandshakeError> {
    let hello = receive_hello(streams).await?;
    if shared.lock().is_stale_incarnation(&hello) {
        return Err(HandshakeError::Rejected(LinkRejection::StaleIncarnation));
    }
    send_hello(&shared.local, streams).await?;
    Ok(hello)
}

async fn send_hello(local: &Hello, streams: &mut Streams) -> Result<(), HandshakeError> {
    let hello = encode(&Packet::Hello(local.clone())).map_err(FrameError::from)?;
    Ok(streams.writer.send(hello).await?)
}

async fn receive_hello(streams: &mut Streams) -> Result<Hello, HandshakeError> {
    match streams.reader.next().await? {
        Some(Packet::Hello(hello)) if hello.protocol == PROTOCOL_VERSION => Ok(hello),
        Some(Packet::Hello(hello)) => Err(HandshakeError::UnsupportedProtocol(hello.protocol)),
        Some(_) | None => Err(HandshakeError::MissingHello),
    }
}

/// Runs a link after its handshake until it ends.
///
/// # Errors
///
/// [`HandshakeError::Rejected`] if the link isn't kept.
pub(super) async fn run(
    shared: &Arc<Shared>,
    hello: Hello,
    streams: Streams,
) -> Result<(), HandshakeError> {
    let Streams { mut reader, writer, dialled } = streams;
    let (session, events) = match register(shared, &hello, dialled) {
        Ok(registered) => registered,
        Err(rejected) => {
            if rejected == LinkRejection::Duplicate {
                // The other end may have sent messages on this link before it learned which one is
                // kept.
                let peer = Peer { link_id: UNREGISTERED_LINK_ID, hello };
                or(read(shared, &peer, &mut reader), linger()).await;
            }
            return Err(HandshakeError::Rejected(rejected));
        }
    };
    let Session { peer, outbox, stop } = session;
    log::debug!(peer = peer.hello.instance.as_str(), dialled; "peer_link_up");
    shared.emit(events).await;
    let reading = read(shared, &peer, &mut reader);
    let writing = write(&outbox, writer);
    let stopped = async {
        // Nothing is ever sent on this channel; it closes when the link is removed from the table.
        stop.recv().await.ok();
        linger().await
    };
    let end = or(stopped, reading.or(writing)).await;
    shared.lock().remove_link(&peer.hello.instance, peer.link_id);
    log::info!(peer = peer.hello.instance.as_str(), end:? = end; "peer_link_down");
    Ok(())
}

/// Waits for as long as a replaced link is still read.
async fn linger() -> End {
    Timer::after(LINGER_DURATION).await;
    End::Replaced
}

/// How a link ended.
#[derive(Debug)]
enum End {
    /// The peer closed it, or the connection failed.
    Closed,
    /// It was silent, its queue overflowed, or another link replaced it.
    Replaced,
    /// This side sent everything and closed the link.
    Finished,
    /// The peer sent invalid data, or a load digest couldn't be encoded.
    Nonsense,
}

/// A link's id and the hello of its other end.
struct Peer {
    link_id: u64,
    hello: Hello,
}

struct Session {
    peer: Peer,
    outbox: Arc<Outbox>,
    stop: Receiver<()>,
}

fn register(
    shared: &Shared,
    hello: &Hello,
    dialled: bool,
) -> Result<(Session, Vec<PeerEvent>), LinkRejection> {
    let now = shared.now();
    let mut state = shared.lock();
    state.check_link(&shared.local.instance, hello, dialled, now)?;
    let events = state.record_linked(hello, now);
    // An instance that listens on all its addresses doesn't know which of them others can reach.
    if !hello.address.ip().is_unspecified() {
        state.add_target(hello.address, Some(hello.instance.clone()));
    }
    let (stop_tx, stop) = bounded(1);
    let id = state.next_link_id;
    state.next_link_id += 1;
    let outbox = Arc::new(Outbox::new());
    if let Some(old) = state.links.get(&hello.instance).filter(|old| old.is_same_incarnation(hello))
    {
        outbox.take_packets_of(&old.outbox);
    }
    let link = Link {
        id,
        hello: hello.clone(),
        dialled,
        outbox: outbox.clone(),
        established_at: now,
        received_at: now,
        sent_at: now,
        leaving: false,
        receivers: Default::default(),
        _stop: stop_tx,
    };
    if shared.sends_load_to(&link) {
        for (deployment, load) in &state.loads {
            outbox.push_load(deployment, &load.sender.full_digest(&load.digest));
        }
    }
    state.links.insert(hello.instance.clone(), link);
    if state.leaving {
        let packet = Packet::Heartbeat { leaving: true };
        // A heartbeat never exceeds the packet limit.
        shared.push(&mut state, std::slice::from_ref(&hello.instance), &packet).ok();
    }
    shared.choose_links(&mut state);
    shared.traffic.links_established.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let peer = Peer { link_id: id, hello: hello.clone() };
    Ok((Session { peer, outbox, stop }, events))
}

async fn write(outbox: &Outbox, mut writer: FrameWriter) -> End {
    let mut load_encoder = LoadEncoder::default();
    while let Some(item) = outbox.next().await {
        let encoded = match item {
            OutboxItem::Packet(bytes) => Ok(bytes),
            OutboxItem::Load(load) => {
                let LoadPart { deployment, part } = *load;
                encode(&Packet::Load(load_encoder.compact(deployment, part)))
            }
        };
        let bytes = match encoded {
            Ok(bytes) => bytes,
            Err(err) => {
                // The encoder has interned names that the other end won't receive, so a new link is
                // needed.
                log::error!(error:% = err; "peer_load_not_sent");
                return End::Nonsense;
            }
        };
        if writer.send(bytes).await.is_err() {
            return End::Closed;
        }
    }
    writer.finish();
    End::Finished
}

async fn read(shared: &Shared, peer: &Peer, reader: &mut FrameReader) -> End {
    let mut load_decoder = LoadDecoder::default();
    loop {
        let taken = match reader.next().await {
            Ok(Some(packet)) => apply_packet(shared, peer, &mut load_decoder, packet),
            Ok(None) | Err(FrameError::Closed) => return End::Closed,
            Err(FrameError::Packet(err)) => Err(err),
        };
        match taken {
            Ok(Some(events)) => shared.emit(events).await,
            Ok(None) => return End::Replaced,
            Err(err) => {
                log::warn!(peer = peer.hello.instance.as_str(), error:% = err; "peer_nonsense");
                return End::Nonsense;
            }
        }
    }
}

/// Applies a packet and returns the events that result; `None` if the peer no longer has a link, or
/// has a newer incarnation. On a link that another one of the same incarnation has replaced, only
/// messages are applied: load and heartbeats are sent again on the new link.
fn apply_packet(
    shared: &Shared,
    peer: &Peer,
    load_decoder: &mut LoadDecoder,
    packet: Packet,
) -> Result<Option<Vec<PeerEvent>>, PacketError> {
    let now = shared.now();
    let mut state = shared.lock();
    let (instance, incarnation) = (&peer.hello.instance, peer.hello.incarnation);
    let Some(link) =
        state.links.get_mut(instance).filter(|link| link.is_same_incarnation(&peer.hello))
    else {
        return Ok(None);
    };
    if link.id != peer.link_id && !matches!(packet, Packet::Direct(_) | Packet::Flood { .. }) {
        return Ok(Some(Vec::new()));
    }
    link.received_at = now;
    let events = match packet {
        Packet::Hello(_) | Packet::Heartbeat { leaving: false } => Vec::new(),
        Packet::Heartbeat { leaving: true } => {
            let known = std::mem::replace(&mut link.leaving, true);
            state.members.observe(instance, incarnation, MemberObservation::Leaving, now);
            let leaving = PeerEvent::Leaving { instance: instance.clone(), incarnation };
            if known { Vec::new() } else { vec![leaving] }
        }
        Packet::Load(load) => {
            let LoadPart { deployment, part } = load_decoder.expand(&peer.hello, load)?;
            let receiver = link.receivers.entry(deployment.clone()).or_default();
            let digest = receiver.merge(part).cloned();
            digest.map(|digest| PeerEvent::Load { deployment, digest }).into_iter().collect()
        }
        Packet::Direct(message) => vec![PeerEvent::Message { from: instance.clone(), message }],
        Packet::Flood { origin, message } => apply_flood(shared, &mut state, peer, origin, message),
        Packet::Goodbye => apply_goodbye(&mut state, instance, incarnation, now),
    };
    state.members.observe(instance, incarnation, MemberObservation::Alive, now);
    Ok(Some(events))
}

fn apply_flood(
    shared: &Shared,
    state: &mut State,
    peer: &Peer,
    origin: Origin,
    message: Message,
) -> Vec<PeerEvent> {
    if origin.instance == shared.local.instance || !state.flood_filter.insert(&origin) {
        return Vec::new();
    }
    let from = origin.instance.clone();
    shared.forward(state, peer, &Packet::Flood { origin, message: message.clone() });
    vec![PeerEvent::Message { from, message }]
}

fn apply_goodbye(
    state: &mut State,
    instance: &InstanceId,
    incarnation: Incarnation,
    now: policy::Time,
) -> Vec<PeerEvent> {
    state.members.observe(instance, incarnation, MemberObservation::Stopped, now);
    state.announced.swap_remove(instance);
    vec![PeerEvent::Removed { instance: instance.clone(), incarnation }]
}

impl Shared {
    /// Whether every instance has a link to every other one.
    pub(super) fn is_full_mesh(&self) -> bool {
        self.full_mesh.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Forwards a fleet-wide message between data centres. A message from another data centre goes
    /// to all linked instances in this one; a message from this one goes to the other data centres
    /// that this instance is a gateway to.
    fn forward(&self, state: &mut State, peer: &Peer, packet: &Packet) {
        if self.is_full_mesh() {
            return;
        }
        let is_local = |data_centre: &DataCentre| *data_centre == self.local.data_centre;
        let is_from_local = is_local(&peer.hello.data_centre);
        let targets: Vec<InstanceId> = state
            .links
            .iter()
            .filter(|(instance, link)| {
                **instance != peer.hello.instance
                    && is_local(&link.hello.data_centre) != is_from_local
            })
            .map(|(instance, _)| instance.clone())
            .collect();
        // The packet arrived over a link, so it doesn't exceed the limit.
        self.push(state, &targets, packet).ok();
    }
}
