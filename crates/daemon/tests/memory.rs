//! Release of memory on engines whose links cut long answers, such as the listing of held memory.

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

/// How long an engine may hold memory after its last request; the same limit as in the scenarios.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of streams; their entries take about 1,500 bytes of a listing.
const STREAM_COUNT: usize = 12;

type Caller = BufReader<TcpStream>;

/// Slow engines behind fault proxies, and a daemon that reaches them through the proxies.
struct Setup {
    engines: Vec<Engine>,
    proxies: Vec<FaultProxy>,
    daemon: Daemon,
}

impl Setup {
    fn start(name: &str, count: usize) -> Setup {
        let engines: Vec<Engine> =
            (0..count).map(|_| Engine::start(EngineConfig::default()).unwrap()).collect();
        let proxies: Vec<FaultProxy> =
            engines.iter().map(|engine| FaultProxy::start(engine.address()).unwrap()).collect();
        let addresses: Vec<SocketAddr> = proxies.iter().map(FaultProxy::address).collect();
        let daemon = Daemon::start(name, &Site::of_engines(&addresses));
        let setup = Setup { engines, proxies, daemon };
        setup.set_speed(0.02);
        setup
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

    /// Waits until the first engine lists `count` entries, and panics after `limit`.
    fn wait_for_held_count(&self, count: usize, limit: Duration) {
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

/// Guards against memory that is renewed forever because the listing that would show it is cut off.
macro_rules! released_beside_a_wanted_stream {
    ($($case:ident: $bytes:expr),* $(,)?) => {$(
        #[test]
        fn $case() {
            let setup = Setup::start(&stringify!($case).replace('_', "-"), 1);
            let _kept = setup.streams(1);
            let left = setup.streams(STREAM_COUNT);
            setup.cut_after($bytes);
            hang_up(left);
            setup.wait_for_held_count(1, RELEASE_TIMEOUT);
        }
    )*};
}

released_beside_a_wanted_stream! {
    answers_of_300_bytes: 300,
    answers_of_600_bytes: 600,
    answers_of_900_bytes: 900,
    whole_answers: u64::MAX,
}

/// Guards against memory of an earlier incarnation that leaks because no listing arrives
/// completely.
#[test]
fn a_predecessors_memory_is_found_in_parts_of_the_listing() {
    let mut setup = Setup::start("successor", 1);
    let _streams = setup.streams(STREAM_COUNT);
    setup.set_mode(Mode::SilenceAll(Direction::Both));
    setup.daemon.child.kill().unwrap();
    setup.daemon.child.wait().unwrap();
    setup.cut_after(900);
    assert_eq!(held(setup.engines[0].address()).held.len(), STREAM_COUNT);
    let address = setup.proxies[0].address();
    let _successor = Daemon::start("successor", &Site::of_engines(&[address]));
    setup.wait_for_held_count(0, RELEASE_TIMEOUT);
}

/// Guards against a run that is abandoned as silent while its engine prefills the prompt, because
/// the listing that shows it is cut off.
#[test]
fn a_run_is_seen_in_parts_of_the_listing() {
    let setup = Setup::start("reading", 1);
    let engine = HttpEngine::new(setup.engines[0].address());
    let other = "other/1".parse().unwrap();
    for number in 0..STREAM_COUNT {
        let id = format!("other/1/{number}/1");
        smol::block_on(engine.reserve(&id, &other, Tokens(1), 60_000)).unwrap();
    }
    let mut caller = TcpStream::connect(setup.daemon.address).unwrap();
    let body = prompt(&"word ".repeat(20_000), 5, true);
    caller.write_all(post("/v1/completions", &body).as_bytes()).unwrap();
    setup.wait_for_held_count(STREAM_COUNT + 1, RELEASE_TIMEOUT);
    setup.set_speed(0.001);
    setup.cut_after(900);
    std::thread::sleep(Duration::from_secs(5));
    let metrics = setup.daemon.get("/metrics");
    assert!(!metrics.contains("trefoilhall_attempt_failures"), "{metrics}");
}

/// Guards against harmless prompts that are quarantined as poison requests, because a listing that
/// is cut off looks like an engine's death.
#[test]
fn a_prompt_on_breaking_links_is_no_suspect() {
    let setup = Setup::start("suspect", 3);
    let _streams = setup.streams(3 * STREAM_COUNT);
    setup.set_speed(1.0);
    setup.cut_after(900);
    for _ in 0..4 {
        let call = post("/v1/completions", &prompt("when are you open", 40, false));
        let answer = exchange(setup.daemon.address, &call);
        assert!(!answer.contains("quarantined"), "{answer}");
        // Deaths within a shorter interval count as one.
        std::thread::sleep(Duration::from_millis(2_100));
    }
}
