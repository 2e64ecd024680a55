//! Unit tests of packet decoding, deduplication of fleet-wide messages, and load encoding.

use policy::{
    DataCentre, Deployment, EndpointId, Incarnation, InstanceId, LoadDigest, TokenRate, Tokens,
    Workspace,
    config::Version,
    report::{EndpointShare, WorkspaceShare},
    scheduler::EndpointState,
};
use quickcheck::quickcheck;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use smol::{Executor, Timer, channel::Receiver};

use super::{
    PeerConfig, PeerEvent, PeerMesh,
    compact::{LoadDecoder, LoadEncoder, LoadPart},
    dial,
    flood::FloodFilter,
    message::{
        EndpointStateUpdate, Hello, LENGTH_PREFIX_BYTES, Message, Origin, PROTOCOL_VERSION, Packet,
        decode, encode,
    },
};

fn origin(incarnation: u64, number: u64) -> Origin {
    let instance = InstanceId::new("entry-1").unwrap();
    Origin { instance, incarnation: Incarnation(incarnation), number }
}

#[test]
fn a_length_within_a_packet_allocates_nothing_it_cannot_hold() {
    // A configuration whose length says 2^60 bytes, none of which follow.
    let packet = Packet::Direct(Message::Config { version: Version(1), content: vec![].into() });
    let mut bytes = encode(&packet).unwrap()[LENGTH_PREFIX_BYTES..].to_vec();
    bytes.pop();
    bytes.extend([0xfd, 0, 0, 0, 0, 0, 0, 0, 0x10]);
    assert!(decode(&bytes).is_err());
}

macro_rules! flood_filter_accepts {
    ($($case:ident: $messages:expr => $new:expr;)*) => {$(
        #[test]
        fn $case() {
            let mut flood = FloodFilter::default();
            let new = $messages.map(|(incarnation, number)| flood.insert(&origin(incarnation, number)));
            assert_eq!(new, $new);
        }
    )*};
}

flood_filter_accepts! {
    copies_by_two_gateways_count_once: [(1, 1), (1, 1), (1, 2), (1, 2)] => [true, false, true, false];
    messages_may_overtake_each_other: [(1, 3), (1, 1), (1, 2), (1, 1)] => [true, true, true, false];
    a_new_life_counts_anew: [(1, 3), (2, 1), (1, 4)] => [true, true, false];
    what_is_too_late_is_old: [(1, 100), (1, 37), (1, 36)] => [true, true, false];
    a_jump_forgets_nothing_new: [(1, 1), (1, u64::MAX), (1, u64::MAX - 1)] => [true, true, true];
}

fn load(waiting: u64) -> LoadDigest {
    LoadDigest {
        instance: origin(1, 1).instance,
        incarnation: Incarnation(1),
        sequence: waiting,
        endpoints: vec![EndpointShare {
            endpoint: EndpointId::new("model-redactare-0001").unwrap(),
            incarnation: Incarnation(1_764_720_000_000_000),
            waiting_prefill: Tokens(waiting),
            waiting_bands: [Tokens(waiting), Tokens(0), Tokens(0), Tokens(0)],
            running: 3,
            held: Tokens(waiting),
            prefill_rate: TokenRate(20_000.0),
            ejected: false,
            prefilled: Tokens(9 * waiting),
        }],
        workspaces: vec![WorkspaceShare {
            workspace: Workspace::new("desk").unwrap(),
            waiting: Tokens(waiting),
            served: TokenRate(512.0),
        }],
        queued: Default::default(),
        demand: Default::default(),
        pending_reservations: Vec::new(),
        suspicions: Vec::new(),
        suspect_endpoints: Vec::new(),
        long_prompts_starved: true,
    }
}

#[test]
fn load_reads_back_and_names_are_spelled_once() {
    let deployment = Deployment::new("model-redactare").unwrap();
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        instance: origin(1, 1).instance,
        incarnation: Incarnation(1),
        data_centre: DataCentre::new("brasov-a").unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
    };
    let (mut encoder, mut decoder) = (LoadEncoder::default(), LoadDecoder::default());
    let mut lengths = Vec::new();
    for waiting in [1_000, 2_000, 3_000] {
        let compact = encoder.compact(deployment.clone(), load(waiting));
        lengths.push(encode(&Packet::Load(compact.clone())).unwrap().len());
        let part = decoder.expand(&hello, compact).unwrap();
        assert_eq!(part, LoadPart { deployment: deployment.clone(), part: load(waiting) });
    }
    println!("bytes of a part with one endpoint and one workspace: {lengths:?}");
    assert!(lengths[1] + 40 < lengths[0] && lengths[1] == lengths[2], "{lengths:?}");
    let foreign = encoder.compact(deployment, load(1));
    assert!(LoadDecoder::default().expand(&hello, foreign).is_err(), "indices without names");
}

fn mesh(name: &str, executor: &Arc<Executor<'static>>) -> (PeerMesh, Receiver<PeerEvent>) {
    let cfg = PeerConfig {
        instance: InstanceId::new(name).unwrap(),
        incarnation: Incarnation(1),
        data_centre: DataCentre::new("brasov-a").unwrap(),
        listen: ([127, 0, 0, 1], 0).into(),
        seeds: Vec::new(),
        load_bytes_per_second: 10_000,
        origin: Instant::now(),
        executor: executor.clone(),
    };
    PeerMesh::start(cfg).unwrap()
}

fn endpoint_update(incarnation: u64) -> Message {
    let endpoint = EndpointId::new("model-redactare-0001").unwrap();
    let (incarnation, state) = (Incarnation(incarnation), EndpointState::Leaving);
    Message::Endpoint(EndpointStateUpdate { endpoint, incarnation, state })
}

async fn next_update(events: &Receiver<PeerEvent>) -> Option<u64> {
    let endpoint_update = async {
        loop {
            if let PeerEvent::Message { message: Message::Endpoint(endpoint_update), .. } =
                events.recv().await.unwrap()
            {
                return Some(endpoint_update.incarnation.0);
            }
        }
    };
    let timeout = async {
        Timer::after(Duration::from_secs(5)).await;
        None
    };
    futures_lite::future::or(endpoint_update, timeout).await
}

/// Guards against lost messages: a second dial replaces a link on which messages still wait.
#[test]
fn what_was_said_on_a_replaced_link_arrives() {
    let executor = Arc::new(Executor::new());
    let (first, _events) = mesh("entry-1", &executor);
    let (second, events) = mesh("entry-2", &executor);
    smol::block_on(executor.run(async {
        let mut sent = 0;
        for _ in 0..20 {
            // A dial by the smaller name replaces an established link.
            first.shared.spawn(dial::run(first.shared.clone(), second.address()));
            for _ in 0..20 {
                sent += 1;
                first.broadcast(endpoint_update(sent)).unwrap();
                Timer::after(Duration::from_micros(200)).await;
            }
        }
        // Messages sent before the first link is established reach nobody. Messages sent on a
        // replaced link may arrive after those sent on the new one.
        let (mut received, mut first_received) = (Vec::new(), sent);
        while received.len() as u64 <= sent - first_received
            && let Some(number) = next_update(&events).await
        {
            received.push(number);
            first_received = first_received.min(number);
        }
        assert!(first_received < sent / 2, "{first_received} of {sent}");
        let lost: Vec<u64> =
            (first_received..=sent).filter(|number| !received.contains(number)).collect();
        assert_eq!(lost, Vec::<u64>::new());
        assert_eq!(received.len() as u64, sent + 1 - first_received, "each once");
    }));
}

quickcheck! {
    fn any_bytes_are_a_packet_or_refused(bytes: Vec<u8>) -> bool {
        match decode(&bytes) {
            Ok(packet) => encode(&packet).is_ok(),
            Err(_) => true,
        }
    }

    fn a_packet_reads_back(version: u64, content: Vec<u8>) -> bool {
        let content = content.into();
        let packet = Packet::Direct(Message::Config { version: Version(version), content });
        encode(&packet).is_ok_and(|bytes| decode(&bytes[LENGTH_PREFIX_BYTES..]) == Ok(packet))
    }
}
