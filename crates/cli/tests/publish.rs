//! The tool against running instances.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{self, Command},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use cli::command::audit::date_time;
use daemon::{Instance, settings::Settings};
use serde_json::Value;
use standin::{LogConfig, LogService, Outage};

const SITE: &str = r#"{
  "data_centres": {"a": {"region": "r"}},
  "workspaces": {"desk": {"key_sha256": ["KEY"]}},
  "endpoints": {"s1": {"group": "register", "address": "127.0.0.1:9", "data_centre": "a"}},
  "deployments": {"register": {"group": "register", "kind": "service"}}
}"#;

struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("trefoilhall-cli-{}-{number}", process::id()));
        fs::create_dir_all(&dir).unwrap();
        let folder = Folder(dir);
        folder.write("10-site.json", &SITE.replace("KEY", &"1".repeat(64)));
        folder
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    fn weight(&self, weight: u32) {
        let text = format!(r#"{{"workspaces": {{"desk": {{"weight": {weight}}}}}}}"#);
        self.write("20-weight.json", &text);
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

struct Ended {
    code: i32,
    out: String,
}

impl Ended {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

fn tool(args: &[&str]) -> Ended {
    let output = Command::new(env!("CARGO_BIN_EXE_trefoilhall")).args(args).output().unwrap();
    let out = String::from_utf8(output.stdout).unwrap() + &String::from_utf8_lossy(&output.stderr);
    Ended { code: output.status.code().unwrap(), out }
}

fn instance(name: &str, log: SocketAddr, peers: &[SocketAddr]) -> Instance {
    let settings = serde_json::json!({
        "instance": name, "data_centre": "a", "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0", "threads": 2, "log": log, "peers": peers,
    });
    let settings: Settings = serde_json::from_value(settings).unwrap();
    Instance::start(settings, None).unwrap()
}

struct Setup {
    log: LogService,
    a: Instance,
    b: Instance,
    folder: Folder,
}

impl Setup {
    fn start() -> Setup {
        let log = LogService::start(LogConfig::default()).unwrap();
        let a = instance("entry-a", log.address(), &[]);
        let b = instance("entry-b", log.address(), &[a.addresses().peers]);
        let setup = Setup { log, a, b, folder: Folder::new() };
        let end = Instant::now() + Duration::from_secs(20);
        while setup.run("status", &["--format", "json"]).json()[1].is_null() {
            assert!(Instant::now() < end, "the instances never met");
            thread::sleep(Duration::from_millis(50));
        }
        setup
    }

    fn run(&self, command: &str, args: &[&str]) -> Ended {
        let to = self.a.addresses().admin.to_string();
        let mut all = vec![command];
        if command == "publish" {
            all.push(self.folder.0.to_str().unwrap());
        }
        all.extend(["--to", &to]);
        all.extend(args);
        tool(&all)
    }

    fn close(self) {
        self.a.abort();
        self.b.abort();
        self.log.close();
    }
}

/// An operator's day: the first version, a change, a colleague who started from the older version,
/// and the trail of it all.
#[test]
fn publish_conflict_and_audit() {
    let setup = Setup::start();
    let first = setup.run("publish", &["--by", "ana"]);
    assert_eq!(first.code, 0, "{}", first.out);
    assert!(first.out.contains("version 1 is in force on entry-a, entry-b"), "{}", first.out);
    setup.folder.weight(4);
    let dry = setup.run("publish", &["--dry-run"]);
    assert!(dry.out.contains("+ workspaces.desk.weight: 4"), "{}", dry.out);
    assert_eq!(setup.run("publish", &["--base", "1", "--by", "ana"]).code, 0);
    setup.folder.weight(5);
    let lost = setup.run("publish", &["--base", "1", "--by", "dan"]);
    assert_eq!(lost.code, 3, "{}", lost.out);
    assert!(lost.out.contains("by ana"), "{}", lost.out);
    assert!(lost.out.contains("workspaces.desk.weight: 4"), "{}", lost.out);
    let audit = setup.run("audit", &["--format", "json"]).json();
    let who: Vec<_> = audit.as_array().unwrap().iter().map(|entry| &entry["by"]).collect();
    assert_eq!(who, ["ana", "ana", "dan"]);
    let status = setup.run("status", &["--format", "json"]).json();
    assert_eq!(
        (&status[0]["config_version"], &status[1]["config_version"]),
        (&2.into(), &2.into())
    );
    setup.close();
}

/// A folder with faults never leaves the operator's machine, and one that the log doesn't take
/// changes nothing.
#[test]
fn findings_and_outages_change_nothing() {
    let setup = Setup::start();
    setup.folder.write("30-fault.json", "{\n \"oops\": 1}");
    let faulty = setup.run("publish", &[]);
    assert_eq!(faulty.code, 2);
    assert!(faulty.out.contains("30-fault.json:2:2: oops: unknown member"), "{}", faulty.out);
    setup.folder.write("30-fault.json", "{}");
    setup.log.set_outage(Outage::Refuses);
    let refused = setup.run("publish", &["--timeout", "15"]);
    assert_eq!(refused.code, 1, "{}", refused.out);
    setup.log.set_outage(Outage::Up);
    assert_eq!(setup.run("publish", &[]).code, 0);
    setup.close();
}

/// The name guards against draining the instance that another address belongs to.
#[test]
fn drain_takes_the_named_instance_out_of_service() {
    let setup = Setup::start();
    assert_eq!(setup.run("publish", &[]).code, 0);
    assert_eq!(setup.run("drain", &["entry-b"]).code, 1);
    let drained = setup.run("drain", &["entry-a", "--by", "ana"]);
    assert_eq!((drained.code, drained.out.trim()), (0, "entry-a is leaving"));
    let audit = setup.run("audit", &[]);
    assert!(audit.out.contains("drain entry-a"), "{}", audit.out);
    setup.close();
}

macro_rules! dates {
    ($($case:ident: $time_ms:expr => $text:expr;)*) => {$(
        #[test]
        fn $case() {
            assert_eq!(date_time($time_ms), $text);
        }
    )*};
}

dates! {
    the_first_second: 0 => "1970-01-01 00:00:00";
    a_leap_day: 1_709_164_800_000 => "2024-02-29 00:00:00";
    the_last_second_of_a_century: 4_102_444_799_999 => "2099-12-31 23:59:59";
}
