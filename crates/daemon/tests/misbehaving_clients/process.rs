//! Processes under test, each on a machine of its own size.

use std::{
    collections::HashSet,
    fs,
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    common::{self, TempFolder, exchange, wait_until},
    platform_standins::{
        endpoint::{Endpoint, Script},
        store::Store,
        wire,
    },
};

/// Memory of the machine that a process runs on.
pub const MACHINE_MB: u64 = 64;

/// Descriptors of that machine.
pub const MACHINE_FILES: usize = 500;

/// Connections of callers that the process may hold open.
pub const MAX_CONNECTIONS: usize = 200;

/// Largest body that is allowed, in bytes.
pub const MAX_BODY: usize = 1 << 20;

/// Largest head that is allowed, in bytes.
pub const MAX_HEAD: usize = 16 << 10;

/// An answer of which a crowd's copies don't fit the machine.
pub const LARGE_ANSWER: usize = 3 << 20;

/// An event of which a crowd's copies, some for each client, don't fit the machine.
pub const LARGE_EVENT: usize = 60 << 10;

/// Time in which a process that doesn't bound its memory takes up what it is sent.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Runs one case at a time.
pub fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process under test.
pub struct Process {
    pub child: Child,
    pub address: SocketAddr,
    /// An ordinary request, whose answer has status 200.
    pub ordinary: String,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Highest resident memory so far, in megabytes.
    pub fn peak_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() >> 10
    }

    /// Resident memory now, with the bytes that the kernel holds for the process's connections, in
    /// megabytes.
    pub fn held_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        let resident = line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() << 10;
        (resident + self.queued_bytes()) >> 20
    }

    /// Bytes that have been received and not read, or written and not acknowledged.
    fn queued_bytes(&self) -> u64 {
        let files = fs::read_dir(format!("/proc/{}/fd", self.id())).unwrap();
        let links = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
        let links: HashSet<String> = links.map(|link| link.display().to_string()).collect();
        let table = fs::read_to_string(format!("/proc/{}/net/tcp", self.id())).unwrap();
        let queues = table.lines().skip(1).filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            links.contains(&format!("socket:[{}]", fields[9])).then_some(fields[4])?.split_once(':')
        });
        let size = |text| u64::from_str_radix(text, 16).unwrap();
        queues.map(|(sent, received)| size(sent) + size(received)).sum()
    }

    pub fn open_files(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.id())).unwrap().count()
    }

    pub fn is_answered(&self) -> bool {
        exchange(self.address, &self.ordinary).starts_with("HTTP/1.1 200")
    }

    /// Sends a signal with the `kill` command, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    pub fn address_is_open(&self) -> bool {
        TcpStream::connect(self.address).is_ok()
    }

    pub fn assert_bounds(&mut self, crowd: &str) {
        assert_eq!(self.child.try_wait().unwrap(), None, "the process has ended: {crowd}");
        let (peak, files) = (self.peak_mb(), self.open_files());
        let held = self.held_mb();
        eprintln!(
            "{crowd}: {peak} MB, with the kernel's buffers {held} MB now, {files} open files"
        );
        assert!(peak <= MACHINE_MB, "{crowd}: {peak} MB of {MACHINE_MB}");
        assert!(held <= MACHINE_MB, "{crowd}: {held} MB of {MACHINE_MB} with the kernel's buffers");
        assert!(files <= MACHINE_FILES, "{crowd}: {files} open files of {MACHINE_FILES}");
    }

    /// Checks the process beside a crowd that is still connected, and an ordinary caller's answer.
    pub fn bears(&mut self, crowd: &str, clients: Vec<TcpStream>) {
        self.assert_bounds(crowd);
        thread::sleep(SETTLE_TIME);
        self.assert_bounds(crowd);
        let answer = exchange(self.address, &self.ordinary);
        assert!(answer.starts_with("HTTP/1.1 200"), "{crowd}: {answer}");
        drop(clients);
        self.assert_bounds(crowd);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Settings of the machine that both interfaces take.
pub fn machine_settings() -> Value {
    json!({
        "max_connections": MAX_CONNECTIONS, "max_body": MAX_BODY, "threads": 1,
        "memory_mb": MACHINE_MB, "open_files": MACHINE_FILES,
    })
}

/// A process that forwards requests by the sites' own routes.
pub struct Router {
    pub process: Process,
    /// For the balancer's readiness probes.
    pub ready: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// For collectors of metrics.
    pub metrics: SocketAddr,
    pub endpoint: Endpoint,
    pub store: Store,
    pub config: Value,
    _folder: TempFolder,
}

impl Router {
    /// Starts it with one endpoint that follows this script, and waits until it is ready.
    pub fn start(script: Script) -> Router {
        let router = Router::start_unready(script);
        router.publish();
        router
    }

    /// Starts it without a configuration.
    pub fn start_unready(script: Script) -> Router {
        let endpoint = Endpoint::start("i-1", vec![script]);
        let store = Store::start();
        // A crowd that stays is not cut off by the time limits of its requests.
        let config = wire::bounded_config(MAX_HEAD, MAX_BODY, 60_000);
        let [listen, ready, peers, metrics] = [(); 4].map(|()| common::unused_address());
        let mut settings = machine_settings();
        settings["instance"] = "entry-1".into();
        settings["data_centre"] = "a".into();
        settings["listen"] = listen.to_string().into();
        settings["admin_listen"] = metrics.to_string().into();
        settings["peer_listen"] = peers.to_string().into();
        settings["routing"] = json!({
            "log_service": store.address.to_string(), "ready_listen": ready.to_string(),
            "regions": {"a": "r"},
        });
        let folder = TempFolder::new("entry-1");
        folder.write("10-settings.json", &json!({"settings": settings}).to_string());
        let child = Command::new(env!("CARGO_BIN_EXE_trefoilhalld"))
            .arg("--config")
            .arg(&folder.0)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let ordinary = wire::request("/r/x", wire::KEY, 10_000, "Connection: close\r\n");
        let process = Process { child, address: listen, ordinary };
        wait_until("the router listens", || process.address_is_open());
        Router { process, ready, peers, metrics, endpoint, store, config, _folder: folder }
    }

    pub fn address(&self) -> SocketAddr {
        self.process.address
    }

    /// Publishes the configuration, and waits until it is in force.
    pub fn publish(&self) {
        wire::publish(&self.store, &self.config);
        wire::register_large(&self.store, &self.endpoint);
        wait_until("an ordinary request is answered", || self.process.is_answered());
    }

    /// Publishes another limit of heads, and waits until it is in force.
    pub fn set_max_head(&mut self, bytes: usize) {
        self.config = wire::with_head_bytes(&self.config, bytes);
        wire::publish(&self.store, &self.config);
        wait_until("the limit is in force", || {
            let probe = self.process.ordinary.replace("/r/x", "/new/x");
            !exchange(self.address(), &probe).starts_with("HTTP/1.1 404")
        });
    }
}

pub fn answer() -> Script {
    Script::Answer(200, "entered")
}

/// Text that lives as long as the test process.
pub fn leaked(text: String) -> &'static str {
    Box::leak(text.into_boxed_str())
}

/// Large answers to requests whose path contains `large`, endless events where it contains `events`,
/// and no answer at all where it contains `held`.
pub fn endpoint_script() -> Script {
    let large = Script::Answer(200, leaked("x".repeat(LARGE_ANSWER)));
    let event = leaked(format!("data: {}\n\n", "x".repeat(LARGE_EVENT)));
    let head = "HTTP/1.1 200 x\r\nSEAL\r\ncontent-type: text/event-stream\r\n\r\n";
    let events = Script::Endless { head, repeated: event };
    let held = Script::For("held", Box::new(Script::Silent), Box::new(answer()));
    let events = Script::For("events", Box::new(events), Box::new(held));
    Script::For("large", Box::new(large), Box::new(events))
}
