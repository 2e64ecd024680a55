//! One link, from its hello to its end.

use std::{fmt, sync::Arc, time::Duration};

use futures_lite::{FutureExt, future::or};
use policy::{DataCentre, Incarnation, InstanceId, membership::MemberObservation};
use smol::{
    Timer,
    channel::{Receiver, bounded},
};

use crate::peer::{
    HELLO_TIMEOUT, PROTOCOL_VERSION, PeerEvent,
    compact::{Heard, PartOfLoad, Spoken},
    frame::{FrameError, FrameReader, FrameWriter},
    message::{Hello, Message, Origin, Packet, PacketError, encode},
    outbox::{Item, Outbox},
    shared::Shared,
    state::{Link, Rejected, State},
};

/// How long a replaced link is still read: the other end takes up the new link within this time,
/// and until then goes on writing to the old one.
const LINGER: Duration = HELLO_TIMEOUT;

/// The id of all links that aren't kept.
const NOT_KEPT: u64 = 0;

/// Both directions of a new stream between two instances.
pub(super) struct Streams {
    pub(super) reader: FrameReader,
    pub(super) writer: FrameWriter,
    /// Whether this side dialled.
    pub(super) dialled: bool,
}

/// Why a link didn't come about.
#[derive(Debug)]
pub(super) enum HelloError {
    /// The other end closed, or sent what is no packet.
    Frame(FrameError),
    /// The other end began with something else than a hello.
    NoHello,
    /// The other end speaks another protocol.
    Protocol(u32),
    /// The link isn't wanted.
    Rejected(Rejected),
}

impl fmt::Display for HelloError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HelloError::Frame(err) => write!(f, "no hello came: {err}"),
            HelloError::NoHello => write!(f, "the other end didn't begin with a hello in time"),
            HelloError::Protocol(theirs) => {
                write!(f, "the other end speaks protocol {theirs}, not {PROTOCOL_VERSION}")
            }
            HelloError::Rejected(Rejected::Myself) => write!(f, "it leads back to this instance"),
            HelloError::Rejected(Rejected::OldLife) => {
                write!(f, "the other end's life is known to have been replaced")
            }
            HelloError::Rejected(Rejected::Duplicate) => {
                write!(f, "the other end's own link is kept instead")
            }
        }
    }
}

impl From<FrameError> for HelloError {
    fn from(err: FrameError) -> Self {
        HelloError::Frame(err)
    }
}

/// Says hello and waits for the other end's.
pub(super) async fn greet(me: &Hello, streams: &mut Streams) -> Result<Hello, HelloError> {
    say_hello(me, streams).await?;
    hear_hello(streams).await
}

/// Waits for the hello of the end that dialled, and says one unless that is a life which has been
/// replaced: it would take the link as standing until it learned of its end.
pub(super) async fn greet_back(
    shared: &Shared,
    streams: &mut Streams,
) -> Result<Hello, HelloError> {
    let hello = hear_hello(streams).await?;
    if shared.lock().is_old_life(&hello) {
        return Err(HelloError::Rejected(Rejected::OldLife));
    }
    say_hello(&shared.me, streams).await?;
    Ok(hello)
}

async fn say_hello(me: &Hello, streams: &mut Streams) -> Result<(), HelloError> {
    let hello = encode(&Packet::Hello(me.clone())).map_err(FrameError::from)?;
    Ok(streams.writer.send(hello).await?)
}

async fn hear_hello(streams: &mut Streams) -> Result<Hello, HelloError> {
    match streams.reader.next().await? {
        Some(Packet::Hello(hello)) if hello.protocol == PROTOCOL_VERSION => Ok(hello),
        Some(Packet::Hello(hello)) => Err(HelloError::Protocol(hello.protocol)),
        Some(_) | None => Err(HelloError::NoHello),
    }
}

/// Runs a greeted link until it ends.
///
/// # Errors
///
/// [`HelloError::Rejected`] where the link isn't wanted.
pub(super) async fn run(
    shared: &Arc<Shared>,
    hello: Hello,
    streams: Streams,
) -> Result<(), HelloError> {
    let Streams { mut reader, writer, dialled } = streams;
    let (session, events) = match register(shared, &hello, dialled) {
        Ok(registered) => registered,
        Err(rejected) => {
            if rejected == Rejected::Duplicate {
                // The other end took this link up before it heard of the one that is kept.
                let peer = Peer { link: NOT_KEPT, hello };
                or(read(shared, &peer, &mut reader), linger()).await;
            }
            return Err(HelloError::Rejected(rejected));
        }
    };
    let Session { peer, outbox, stop } = session;
    log::debug!(peer = peer.hello.instance.as_str(), dialled; "peer_link_up");
    shared.emit(events).await;
    let reading = read(shared, &peer, &mut reader);
    let writing = write(&outbox, writer);
    let stopped = async {
        // Nothing is ever sent; this ends when the link is taken out of the table.
        stop.recv().await.ok();
        linger().await
    };
    let end = or(stopped, reading.or(writing)).await;
    shared.lock().unlink(&peer.hello.instance, peer.link);
    log::info!(peer = peer.hello.instance.as_str(), end:? = end; "peer_link_down");
    Ok(())
}

/// The time for which a link that another one takes the place of is still read.
async fn linger() -> End {
    Timer::after(LINGER).await;
    End::Replaced
}

/// How a link ended.
#[derive(Debug)]
enum End {
    /// The peer closed it, or the connection broke.
    Closed,
    /// It was silent, fell behind, or another link took its place.
    Replaced,
    /// This side has said all it had to say.
    Finished,
    /// The peer sent what makes no sense.
    Nonsense,
}

/// Who is at the other end of which link.
struct Peer {
    link: u64,
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
) -> Result<(Session, Vec<PeerEvent>), Rejected> {
    let now = shared.now();
    let mut state = shared.lock();
    state.check(&shared.me.instance, hello, dialled, now)?;
    let events = state.met(hello, now);
    // An instance that listens on all its addresses can't say which of them others reach.
    if !hello.address.ip().is_unspecified() {
        state.add_target(hello.address, Some(hello.instance.clone()));
    }
    let (stop_tx, stop) = bounded(1);
    let id = state.next_link;
    state.next_link += 1;
    let outbox = Arc::new(Outbox::new());
    if let Some(old) = state.links.get(&hello.instance).filter(|old| old.is_same_life(hello)) {
        outbox.take_over(&old.outbox);
    }
    let link = Link {
        id,
        hello: hello.clone(),
        dialled,
        outbox: outbox.clone(),
        since: now,
        heard: now,
        sent: now,
        leaving: false,
        listeners: Default::default(),
        _stop: stop_tx,
    };
    if shared.tells_load_to(&link) {
        for (deployment, load) in &state.loads {
            outbox.push_load(deployment, &load.teller.full_digest(&load.digest));
        }
    }
    state.links.insert(hello.instance.clone(), link);
    if state.leaving {
        let packet = Packet::Heartbeat { leaving: true };
        // A heartbeat is never too long.
        shared.push(&mut state, std::slice::from_ref(&hello.instance), &packet).ok();
    }
    shared.choose_links(&mut state);
    shared.traffic.links_established.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let peer = Peer { link: id, hello: hello.clone() };
    Ok((Session { peer, outbox, stop }, events))
}

async fn write(outbox: &Outbox, mut writer: FrameWriter) -> End {
    let mut names = Spoken::default();
    while let Some(item) = outbox.next().await {
        let encoded = match item {
            Item::Packet(bytes) => Ok(bytes),
            Item::Load(load) => {
                let PartOfLoad { deployment, part } = *load;
                encode(&Packet::Load(names.compact(deployment, part)))
            }
        };
        let bytes = match encoded {
            Ok(bytes) => bytes,
            Err(err) => {
                // The names of this part are lost to the other end, so the link has to begin anew.
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
    let mut names = Heard::default();
    loop {
        let taken = match reader.next().await {
            Ok(Some(packet)) => take_in(shared, peer, &mut names, packet),
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

/// Takes in a packet and says what the instance has to hear; none where the peer has no link any
/// more, or a new life. On a link that another one of the same life has replaced, only messages
/// count: load and heartbeats are told anew on the new link.
fn take_in(
    shared: &Shared,
    peer: &Peer,
    names: &mut Heard,
    packet: Packet,
) -> Result<Option<Vec<PeerEvent>>, PacketError> {
    let now = shared.now();
    let mut state = shared.lock();
    let (instance, incarnation) = (&peer.hello.instance, peer.hello.incarnation);
    let Some(link) = state.links.get_mut(instance).filter(|link| link.is_same_life(&peer.hello))
    else {
        return Ok(None);
    };
    if link.id != peer.link && !matches!(packet, Packet::Direct(_) | Packet::Flood { .. }) {
        return Ok(Some(Vec::new()));
    }
    link.heard = now;
    let events = match packet {
        Packet::Hello(_) | Packet::Heartbeat { leaving: false } => Vec::new(),
        Packet::Heartbeat { leaving: true } => {
            let known = std::mem::replace(&mut link.leaving, true);
            state.members.observe(instance, incarnation, MemberObservation::Leaving, now);
            let leaving = PeerEvent::Leaving { instance: instance.clone(), incarnation };
            if known { Vec::new() } else { vec![leaving] }
        }
        Packet::Load(load) => {
            let PartOfLoad { deployment, part } = names.expand(&peer.hello, load)?;
            let listener = link.listeners.entry(deployment.clone()).or_default();
            let digest = listener.merge(part).cloned();
            digest.map(|digest| PeerEvent::Load { deployment, digest }).into_iter().collect()
        }
        Packet::Direct(message) => vec![PeerEvent::Message { from: instance.clone(), message }],
        Packet::Flood { origin, message } => flooded(shared, &mut state, peer, origin, message),
        Packet::Goodbye => goodbye(&mut state, instance, incarnation, now),
    };
    state.members.observe(instance, incarnation, MemberObservation::Alive, now);
    Ok(Some(events))
}

fn flooded(
    shared: &Shared,
    state: &mut State,
    peer: &Peer,
    origin: Origin,
    message: Message,
) -> Vec<PeerEvent> {
    if origin.instance == shared.me.instance || !state.flood.take_in(&origin) {
        return Vec::new();
    }
    let from = origin.instance.clone();
    shared.pass_on(state, peer, &Packet::Flood { origin, message: message.clone() });
    vec![PeerEvent::Message { from, message }]
}

fn goodbye(
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
    /// Whether all instances have links with all.
    pub(super) fn is_full_mesh(&self) -> bool {
        self.full_mesh.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Passes a message for all on between data centres: what comes from another one goes to all
    /// here, what comes from here goes to the others that this instance is a gateway to.
    fn pass_on(&self, state: &mut State, peer: &Peer, packet: &Packet) {
        if self.is_full_mesh() {
            return;
        }
        let here = |data_centre: &DataCentre| *data_centre == self.me.data_centre;
        let from_here = here(&peer.hello.data_centre);
        let onward: Vec<InstanceId> = state
            .links
            .iter()
            .filter(|(instance, link)| {
                **instance != peer.hello.instance && here(&link.hello.data_centre) != from_here
            })
            .map(|(instance, _)| instance.clone())
            .collect();
        // The packet came over a link, so it isn't too long for one.
        self.push(state, &onward, packet).ok();
    }
}
