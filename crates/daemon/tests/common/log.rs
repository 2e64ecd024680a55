//! Daemons that read their configuration from a log service.

use std::{net::SocketAddr, time::Duration};

use daemon::admin::{
    Status,
    publish::{PublishAnswer, PublishRequest},
};
use policy::config::{SourceFile, Version};
use protocols::http::{HttpAnswer, HttpCall};
use smol::block_on;

use super::{Daemon, Site, TempFolder, WAIT_TIMEOUT};

impl Site {
    /// The site as one configuration file for publishing.
    pub fn files(&self) -> Vec<SourceFile> {
        vec![SourceFile { name: "10-site.json".to_owned(), text: self.config() }]
    }
}

impl Daemon {
    /// Starts a daemon that follows a log service, without waiting until it is ready.
    pub fn follow(name: &str, log: SocketAddr, peers: &[SocketAddr]) -> Daemon {
        let folder = TempFolder::new(name);
        let peers: Vec<_> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let settings = format!(
            r#"{{"settings":{{"instance":"{name}","data_centre":"a","listen":"127.0.0.1:0","peer_listen":"127.0.0.1:0","threads":2,"balancer_wait_ms":100,"log":"{log}","peers":[{}]}}}}"#,
            peers.join(",")
        );
        folder.write("10-settings.json", &settings);
        Daemon::spawn(folder)
    }

    /// Sends a `GET`, for paths of the admin API.
    pub fn admin_get(&self, path: &str) -> HttpAnswer {
        block_on(HttpCall::get(self.address, path, WAIT_TIMEOUT).send()).unwrap()
    }

    /// The daemon's `/admin/status`.
    pub fn status(&self) -> Status {
        self.admin_get("/admin/status").json().unwrap()
    }

    /// Publishes configuration files on top of version `base`.
    pub fn publish(&self, id: &str, base: u64, files: Vec<SourceFile>) -> PublishAnswer {
        let (id, by) = (id.to_owned(), "tester".to_owned());
        let content = PublishRequest { id, base: Version(base), by, files };
        let call = HttpCall::post_json(self.address, "/admin/publish", &content, WAIT_TIMEOUT);
        block_on(call.unwrap().send()).unwrap().json().unwrap()
    }

    /// Sends a call that isn't idempotent and returns the status and the JSON body of its answer.
    pub fn register(&self, key: &str, body: &str, deadline: Duration) -> (u16, serde_json::Value) {
        let path = "/services/desk/registrations";
        let mut call = HttpCall::post(self.address, path, body.to_owned().into(), WAIT_TIMEOUT);
        call.headers = vec![
            ("authorization", format!("Bearer {}", super::KEY)),
            ("idempotency-key", key.to_owned()),
            ("x-deadline-ms", deadline.as_millis().to_string()),
        ];
        let answer = block_on(call.send()).unwrap();
        let body = serde_json::from_slice(&answer.body).unwrap_or_default();
        (answer.status, body)
    }
}
