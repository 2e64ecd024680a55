//! Memory on engines whose links break long answers, such as the listing of what they hold.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::BufReader,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use common::{Daemon, Site, exchange, open_stream, post, prompt};
use standin::{
    Engine, EngineConfig,
    proxy::{FaultProxy, Mode},
};

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
