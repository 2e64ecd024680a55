//! Memory on engines whose links break long answers, such as the listing of what they hold.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use common::{Daemon, Site, exchange, held, open_stream, post, prompt};
use policy::Tokens;
use protocols::engine::{Engine as _, http::HttpEngine};
use standin::{
    Engine, EngineConfig,
    proxy::{Direction, FaultProxy, Mode},
};

/// How long after its last request an engine may still hold memory, as the scenarios have it.
const EMPTY_WITHIN: Duration = Duration::from_secs(8);

/// Streams whose entries take about 1,500 bytes of a listing.
const STREAMS: usize = 12;

type Caller = BufReader<TcpStream>;

/// Slow engines behind proxies, and a daemon that knows them by the proxies' addresses.
struct Desk {
    engines: Vec<Engine>,
    proxies: Vec<FaultProxy>,
    daemon: Daemon,
}

impl Desk {
    fn start(name: &str, count: usize) -> Desk {
        let engines: Vec<Engine> =
            (0..count).map(|_| Engine::start(EngineConfig::default()).unwrap()).collect();
        let proxies: Vec<FaultProxy> =
            engines.iter().map(|engine| FaultProxy::start(engine.address()).unwrap()).collect();
        let addresses: Vec<SocketAddr> = proxies.iter().map(FaultProxy::address).collect();
        let daemon = Daemon::start(name, &Site::of_engines(&addresses));
        let desk = Desk { engines, proxies, daemon };
        desk.set_speed(0.02);
        desk
    }

    fn set_speed(&self, speed: f64) {
        self.engines.iter().for_each(|engine| engine.set_speed(speed));
    }

    fn streams(&self, count: usize) -> Vec<Caller> {
        let open = |number| {
            let body = prompt(&format!("question {number}"), 10_000, true);
            open_stream(self.daemon.address, &body)
        };
        (0..count).map(open).collect()
    }

    fn cut_after(&self, bytes: u64) {
        self.set_mode(Mode::CutAfter(bytes));
    }

    fn set_mode(&self, mode: Mode) {
        self.proxies.iter().for_each(|proxy| proxy.set_mode(mode).unwrap());
    }

    /// Waits until the first engine holds this many entries.
    fn holds_within(&self, count: usize, limit: Duration) {
        let (engine, started) = (self.engines[0].address(), Instant::now());
        while held(engine).held.len() != count {
            assert!(started.elapsed() < limit, "{:?}", held(engine).held);
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

fn hang_up(callers: Vec<Caller>) {
    callers.iter().for_each(|caller| caller.get_ref().shutdown(Shutdown::Both).unwrap());
}

/// Guards against memory that is renewed for good because the listing that would show it breaks off.
macro_rules! released_beside_a_wanted_stream {
    ($($case:ident: $bytes:expr),* $(,)?) => {$(
        #[test]
        fn $case() {
            let desk = Desk::start(&stringify!($case).replace('_', "-"), 1);
            let _kept = desk.streams(1);
            let left = desk.streams(STREAMS);
            desk.cut_after($bytes);
            hang_up(left);
            desk.holds_within(1, EMPTY_WITHIN);
        }
    )*};
}

released_beside_a_wanted_stream! {
    answers_of_300_bytes: 300,
    answers_of_600_bytes: 600,
    answers_of_900_bytes: 900,
    whole_answers: u64::MAX,
}

/// Guards against memory of an earlier life that stays because no listing arrives whole.
#[test]
fn a_predecessors_memory_is_found_in_parts_of_the_listing() {
    let mut desk = Desk::start("successor", 1);
    let _streams = desk.streams(STREAMS);
    desk.set_mode(Mode::SilenceAll(Direction::Both));
    desk.daemon.child.kill().unwrap();
    desk.daemon.child.wait().unwrap();
    desk.cut_after(900);
    assert_eq!(held(desk.engines[0].address()).held.len(), STREAMS);
    let address = desk.proxies[0].address();
    let _successor = Daemon::start("successor", &Site::of_engines(&[address]));
    desk.holds_within(0, EMPTY_WITHIN);
}

/// Guards against a run that is given up as silent while its engine reads the prompt, because the
/// listing that shows it breaks off.
#[test]
fn a_run_is_seen_in_parts_of_the_listing() {
    let desk = Desk::start("reading", 1);
    let engine = HttpEngine::new(desk.engines[0].address());
    let other = "other/1".parse().unwrap();
    for number in 0..STREAMS {
        let id = format!("other/1/{number}/1");
        smol::block_on(engine.reserve(&id, &other, Tokens(1), 60_000)).unwrap();
    }
    let mut caller = TcpStream::connect(desk.daemon.address).unwrap();
    let body = prompt(&"word ".repeat(20_000), 5, true);
    caller.write_all(post("/v1/completions", &body).as_bytes()).unwrap();
    desk.holds_within(STREAMS + 1, EMPTY_WITHIN);
    desk.set_speed(0.001);
    desk.cut_after(900);
    std::thread::sleep(Duration::from_secs(5));
    let metrics = desk.daemon.get("/metrics");
    assert!(!metrics.contains("trefoilhall_attempt_failures"), "{metrics}");
}

/// Guards against prompts that are refused as crashing engines, because a listing that breaks off
/// looks like an engine's death.
#[test]
fn a_prompt_on_breaking_links_is_no_suspect() {
    let desk = Desk::start("suspect", 3);
    let _streams = desk.streams(3 * STREAMS);
    desk.set_speed(1.0);
    desk.cut_after(900);
    for _ in 0..4 {
        let call = post("/v1/completions", &prompt("when are you open", 40, false));
        let answer = exchange(desk.daemon.address, &call);
        assert!(!answer.contains("quarantined"), "{answer}");
        // Deaths that are closer together count as one.
        std::thread::sleep(Duration::from_millis(2_100));
    }
}
