//! Starts daemon processes on free loopback ports, each with its own configuration folder.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)] // Each test file uses a part of this.

pub mod log;

use std::{
    fmt::Write as _,
    fs,
    io::{BufRead, BufReader, Read, Write as _},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use protocols::engine::wire::HeldPage;
use sha2::{Digest, Sha256};

/// The key of the workspace `desk`.
pub const KEY: &str = "desk-key";

/// Timeout of every wait in a test. Only a hang reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The endpoints and the policy of a generated configuration: engines in group `llm`, plain
/// services in group `desk`.
pub struct Site {
    pub engines: Vec<SocketAddr>,
    pub services: Vec<SocketAddr>,
    pub policy: &'static str,
    /// Further JSON members of the engines' deployment, each preceded by a comma.
    pub more: &'static str,
}

impl Site {
    pub fn of_engines(engines: &[SocketAddr]) -> Site {
        Site { engines: engines.to_vec(), services: Vec::new(), policy: "trefoilhall", more: "" }
    }

    fn config(&self) -> String {
        let key: String = Sha256::digest(KEY).iter().map(|byte| format!("{byte:02x}")).collect();
        let mut endpoints = String::new();
        for (group, addresses) in [("llm", &self.engines), ("desk", &self.services)] {
            for (index, address) in addresses.iter().enumerate() {
                let comma = if endpoints.is_empty() { "" } else { "," };
                write!(
                    endpoints,
                    r#"{comma}"{group}-{index}":{{"group":"{group}","address":"{address}","data_centre":"a"}}"#
                )
                .unwrap();
            }
        }
        let (policy, more) = (self.policy, self.more);
        let mut deployments = Vec::new();
        if !self.engines.is_empty() {
            deployments.push(format!(
                r#""model":{{"group":"llm","kind":"engine","models":["m"],"policy":"{policy}"{more}}}"#
            ));
        }
        if !self.services.is_empty() {
            let register = r#""register":{"group":"desk","kind":"service","routes":[{"path":"/registrations","repeatable":false}]}"#;
            deployments.push(register.to_owned());
        }
        let deployments = deployments.join(",");
        format!(
            r#"{{"data_centres":{{"a":{{"region":"r"}}}},"workspaces":{{"desk":{{"key_sha256":["{key}"]}}}},"endpoints":{{{endpoints}}},"deployments":{{{deployments}}}}}"#
        )
    }
}

/// A temporary folder that is removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> TempFolder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir();
        let path = path.join(format!("trefoilhall-{}-{name}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// A running `trefoilhalld` process, killed when dropped.
pub struct Daemon {
    pub address: SocketAddr,
    pub peer_address: SocketAddr,
    pub child: Child,
    _folder: TempFolder,
}

impl Daemon {
    /// Starts a daemon and waits until it is ready.
    pub fn start(name: &str, site: &Site) -> Daemon {
        Daemon::start_with(name, site, r#""balancer_wait_ms":100"#)
    }

    /// Like `start`, with further settings as JSON members.
    pub fn start_with(name: &str, site: &Site, more: &str) -> Daemon {
        let daemon = Daemon::start_unready(name, site, more);
        wait_until("the daemon is ready", || daemon.get("/readyz").starts_with("HTTP/1.1 200"));
        daemon
    }

    /// Like `start_with`, without waiting until the daemon is ready.
    pub fn start_unready(name: &str, site: &Site, more: &str) -> Daemon {
        let folder = TempFolder::new(name);
        folder.write("20-site.json", &site.config());
        let settings = format!(
            r#"{{"settings":{{"instance":"{name}","data_centre":"a","listen":"127.0.0.1:0","peer_listen":"127.0.0.1:0","threads":2,{more}}}}}"#
        );
        folder.write("10-settings.json", &settings);
        Daemon::spawn(folder)
    }

    /// Starts the daemon with a configuration folder and waits until it listens.
    fn spawn(folder: TempFolder) -> Daemon {
        let mut child = Command::new(env!("CARGO_BIN_EXE_trefoilhalld"))
            .arg("--config")
            .arg(&folder.0)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let (address, peer_address) = listening(&mut child);
        Daemon { address, peer_address, child, _folder: folder }
    }

    /// Sends a signal with the `kill` command, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Sends a `GET` and returns the answer with its head.
    pub fn get(&self, path: &str) -> String {
        exchange(
            self.address,
            &format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"),
        )
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Reads the addresses for callers and peers from the daemon's log, and keeps reading so that the
/// pipe never fills. `SHOW_LOG` prints the log.
fn listening(child: &mut Child) -> (SocketAddr, SocketAddr) {
    let mut log = BufReader::new(child.stdout.take().unwrap());
    let mut seen = String::new();
    let addresses = loop {
        let start = seen.len();
        assert!(log.read_line(&mut seen).unwrap() > 0, "the daemon ended: {seen}");
        let mut fields = seen[start..].split_whitespace();
        let mut field = |name| fields.find_map(|field| field.strip_prefix(name));
        if let Some(address) = field("listen=") {
            let peer_address = field("peer_listen=").unwrap();
            break (address.parse().unwrap(), peer_address.parse().unwrap());
        }
    };
    let show = std::env::var_os("SHOW_LOG").is_some();
    thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            if show {
                eprintln!("{line}");
            }
        }
    });
    addresses
}

/// Sends raw bytes and reads until the server closes the connection.
pub fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    // The daemon may answer and close before it has read everything.
    stream.write_all(text.as_bytes()).ok();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok();
    String::from_utf8_lossy(&answer).into_owned()
}

/// A `POST` request, head and body, with the key of workspace `desk`.
pub fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a completion request and reads up to the first token.
pub fn open_stream(address: SocketAddr, body: &str) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(post("/v1/completions", body).as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while !line.starts_with("data:") {
        line.clear();
        assert!(reader.read_line(&mut line).unwrap() > 0, "the stream ended before a token");
    }
    reader
}

/// The body of a completion request with `max_tokens` = `tokens`.
pub fn prompt(text: &str, tokens: u64, stream: bool) -> String {
    format!(r#"{{"model":"m","stream":{stream},"max_tokens":{tokens},"prompt":"{text}"}}"#)
}

/// Waits until `done` returns true, and panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// The engine's listing of held memory.
pub fn held(engine: SocketAddr) -> HeldPage {
    let text =
        exchange(engine, "GET /engine/held HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    let body = text.split_once("\r\n\r\n").unwrap().1;
    serde_json::from_str(body).unwrap()
}

/// A loopback address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    standin::free_address().unwrap()
}
