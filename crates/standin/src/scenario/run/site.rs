//! The site that a scenario plays on: stand-ins in this process, daemons as processes of their
//! own, and a fault proxy before everything that a daemon connects to.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use policy::{DataCentre, Incarnation, TokenRate, Tokens};
use protocols::{
    http::HttpCall,
    instances::{ListedInstance, ListedState, Role},
};
use rustix::process::Signal;
use serde::Deserialize;
use serde_json::json;

use super::{RunError, calls::POISON, configuration::configuration, process::Process};
use crate::{
    Direction, Engine, EngineConfig, FaultProxy, ListService, LogConfig, LogService, Mode, Service,
    ServiceConfig, free_address,
    scenario::ast::{Actor, ActorKind, Link, Scenario},
};

/// The data centre of participants that name none.
const FIRST_DATA_CENTRE: &str = "brasov-a";
/// How late the list of instances is.
const LIST_LAG: Duration = Duration::from_millis(500);
/// How long an instance stays unready before it closes its listener.
const BALANCER_WAIT: Duration = Duration::from_millis(600);
/// How long the balancer goes on sending callers to an instance that is stopping.
pub(super) const BALANCER_LAG: Duration = Duration::from_millis(300);
/// How long the site may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// How often readiness is asked for.
const READY_POLL: Duration = Duration::from_millis(25);
/// Time limit of calls to operators' pages.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit of a publication; the daemon itself takes up to 8 s.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a graceful stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Work of one registration.
const SERVICE_WORK: Duration = Duration::from_millis(30);

/// A stand-in or process with the proxy before it.
pub(super) enum Member {
    Engine(Engine, Front),
    Service(Service, Front),
    Instance(Instance),
}

/// What callers of an endpoint see of it.
pub(super) struct Front {
    pub(super) proxy: FaultProxy,
    pub(super) data_centre: String,
}

/// A daemon of the site.
pub(super) struct Instance {
    pub(super) name: String,
    pub(super) data_centre: String,
    pub(super) listen: SocketAddr,
    pub(super) process: Process,
    peer_proxy: FaultProxy,
    /// Times at which it was killed, paused or made silent: calls it had then can't be answered.
    disturbed: Mutex<Vec<Instant>>,
    /// Whether the balancer sends callers here.
    in_service: AtomicBool,
    paused: AtomicBool,
}

/// The whole site.
pub(super) struct Site {
    folder: PathBuf,
    pub(super) members: IndexMap<String, Member>,
    pub(super) log: LogService,
    log_proxy: FaultProxy,
    list: ListService,
    published: AtomicU64,
}

/// What is read of `GET /admin/status`.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct StatusPage {
    /// Version in force.
    pub(super) config_version: u64,
}

impl Site {
    /// Starts everything and waits until every instance is ready.
    pub(super) fn start(scenario: &Scenario, daemon: &Path) -> Result<Site, RunError> {
        let folder = new_folder()?;
        let log = LogService::start(LogConfig::default())?;
        let log_proxy = FaultProxy::start(log.address())?;
        let list = ListService::start(LIST_LAG)?;
        let mut members = IndexMap::new();
        for actor in scenario.actors.iter().filter(|actor| actor.kind != ActorKind::Instance) {
            members.insert(actor.name.clone(), start_endpoint(actor)?);
        }
        let mut site = Site { folder, members, log, log_proxy, list, published: AtomicU64::new(0) };
        site.add_instances(scenario, daemon)?;
        site.start_instances()?;
        Ok(site)
    }

    fn add_instances(&mut self, scenario: &Scenario, daemon: &Path) -> Result<(), RunError> {
        let actors: Vec<&Actor> =
            scenario.actors.iter().filter(|actor| actor.kind == ActorKind::Instance).collect();
        let mut peers = Vec::new();
        for _ in &actors {
            let listen = free_address()?;
            peers.push((listen, FaultProxy::start(listen)?));
        }
        let known: Vec<SocketAddr> = peers.iter().map(|(_, proxy)| proxy.address()).collect();
        for (i, (actor, (peer_listen, peer_proxy))) in actors.iter().zip(peers).enumerate() {
            let listen = free_address()?;
            let data_centre = data_centre(actor);
            let others: Vec<_> =
                known.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, a)| a).collect();
            let settings = json!({
                "instance": actor.name,
                "data_centre": data_centre,
                "listen": listen,
                "peer_listen": peer_listen,
                "log": self.log_proxy.address(),
                "instances": self.list.address(),
                "peers": others,
                "threads": 2,
                "balancer_wait_ms": BALANCER_WAIT.as_millis() as u64,
            });
            let folder = self.folder.join(&actor.name);
            let process =
                Process::new(daemon, folder, &json!({ "settings": settings }).to_string())?;
            let instance = Instance {
                name: actor.name.clone(),
                data_centre,
                listen,
                process,
                peer_proxy,
                disturbed: Mutex::new(Vec::new()),
                in_service: AtomicBool::new(false),
                paused: AtomicBool::new(false),
            };
            self.members.insert(actor.name.clone(), Member::Instance(instance));
        }
        Ok(())
    }

    fn start_instances(&self) -> Result<(), RunError> {
        for instance in self.instances() {
            instance.process.start()?;
            self.list_instance(instance, ListedState::Live)?;
        }
        let first = self.instances().next().ok_or(RunError::NoInstance)?;
        wait_for(READY_LIMIT, || smol::block_on(answers(first.listen, "/livez")))
            .ok_or_else(|| unready(first))?;
        wait_for(READY_LIMIT, || self.publish(first, 0, "first")).ok_or_else(|| unready(first))?;
        for instance in self.instances() {
            wait_for(READY_LIMIT, || smol::block_on(answers(instance.listen, "/readyz")))
                .ok_or_else(|| unready(instance))?;
            instance.in_service.store(true, Ordering::Relaxed);
        }
        Ok(())
    }

    /// All instances.
    pub(super) fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.members.values().filter_map(|member| match member {
            Member::Instance(instance) => Some(instance),
            _ => None,
        })
    }

    /// The instance of this name.
    pub(super) fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances().find(|instance| instance.name == name)
    }

    /// All engines.
    pub(super) fn engines(&self) -> impl Iterator<Item = (&str, &Engine)> {
        self.members.iter().filter_map(|(name, member)| match member {
            Member::Engine(engine, _) => Some((name.as_str(), engine)),
            _ => None,
        })
    }

    /// All servers of the plain service.
    pub(super) fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.members.iter().filter_map(|(name, member)| match member {
            Member::Service(service, _) => Some((name.as_str(), service)),
            _ => None,
        })
    }

    /// The instances to which the balancer sends callers.
    pub(super) fn in_service(&self) -> Vec<&Instance> {
        self.instances().filter(|instance| instance.in_service.load(Ordering::Relaxed)).collect()
    }

    /// Kills a member at once.
    pub(super) fn kill(&self, name: &str) {
        match self.members.get(name) {
            Some(Member::Engine(engine, _)) => engine.kill(),
            Some(Member::Service(service, _)) => service.kill(),
            Some(Member::Instance(instance)) => {
                instance.disturb();
                instance.in_service.store(false, Ordering::Relaxed);
                instance.process.kill();
                self.list.remove(name);
            }
            None => {}
        }
    }

    /// Starts a member again. Engines that are alive are left alone.
    pub(super) fn restart(&self, name: &str) -> Result<(), RunError> {
        match self.members.get(name) {
            Some(Member::Engine(engine, _)) => engine.revive()?,
            Some(Member::Service(service, _)) => service.revive()?,
            Some(Member::Instance(instance)) => {
                instance.process.start()?;
                instance.paused.store(false, Ordering::Relaxed);
                self.list_instance(instance, ListedState::Live)?;
                wait_for(READY_LIMIT, || smol::block_on(answers(instance.listen, "/readyz")))
                    .ok_or_else(|| unready(instance))?;
                instance.in_service.store(true, Ordering::Relaxed);
            }
            None => {}
        }
        Ok(())
    }

    /// Stops an instance gracefully, while the balancer notices late; returns once it is gone.
    pub(super) fn stop(&self, name: &str) -> Result<(), RunError> {
        let Some(instance) = self.instance(name) else { return Ok(()) };
        instance.process.signal(Signal::TERM);
        self.list_instance(instance, ListedState::Leaving)?;
        std::thread::sleep(BALANCER_LAG);
        instance.in_service.store(false, Ordering::Relaxed);
        if !instance.process.ends_within(STOP_LIMIT) {
            return Err(RunError::NotStopped(name.to_owned()));
        }
        self.list.remove(name);
        Ok(())
    }

    /// Freezes a member, or lets it go on.
    pub(super) fn pause(&self, name: &str, paused: bool) {
        match self.members.get(name) {
            Some(Member::Engine(engine, _)) => engine.freeze(paused),
            Some(Member::Service(service, _)) => service.freeze(paused),
            Some(Member::Instance(instance)) => {
                instance.disturb();
                instance.paused.store(paused, Ordering::Relaxed);
                instance.in_service.store(!paused, Ordering::Relaxed);
                instance.process.signal(if paused { Signal::STOP } else { Signal::CONT });
            }
            None => {}
        }
    }

    /// Makes an endpoint ask for no new work.
    pub(super) fn leave(&self, name: &str) {
        match self.members.get(name) {
            Some(Member::Engine(engine, _)) => engine.leave(true),
            Some(Member::Service(service, _)) => service.leave(true),
            _ => {}
        }
    }

    /// Changes how connections to a member behave.
    pub(super) fn link(&self, name: &str, link: Link) -> Result<(), RunError> {
        let proxy = match self.members.get(name) {
            Some(Member::Engine(_, front) | Member::Service(_, front)) => &front.proxy,
            Some(Member::Instance(instance)) => &instance.peer_proxy,
            None => &self.log_proxy,
        };
        if link == Link::Refuse {
            // What can't be reached any more has lost its open connections as well.
            proxy.set_mode(Mode::Reset)?;
        }
        proxy.set_mode(mode_of(link))?;
        Ok(())
    }

    /// Sets an engine's speed to `rate` prompt tokens a second.
    pub(super) fn set_speed(&self, name: &str, rate: u64) {
        if let Some(Member::Engine(engine, _)) = self.members.get(name) {
            engine.set_speed(rate as f64 / EngineConfig::default().prefill_rate.0);
        }
    }

    /// Loses an engine's next cache events.
    pub(super) fn drop_cache_events(&self, name: &str) {
        const MANY: u64 = 200;
        if let Some(Member::Engine(engine, _)) = self.members.get(name) {
            engine.drop_cache_events(MANY);
        }
    }

    /// Stops or resumes the list's service.
    pub(super) fn freeze_list(&self, frozen: bool) {
        self.list.set_frozen(frozen);
    }

    /// Makes the log forget what it kept.
    pub(super) fn trim_log(&self) {
        self.log.trim_all();
    }

    /// Publishes the site's configuration from `base`; whether it was accepted.
    pub(super) fn publish(&self, through: &Instance, base: u64, by: &str) -> bool {
        let text = configuration(&self.members, base).to_string();
        let files = json!([{ "name": "10-site.json", "text": text }]);
        let change =
            json!({ "id": format!("{by}-{base}"), "base": base, "by": by, "files": files });
        let call = HttpCall::post_json(through.listen, "/admin/publish", &change, PUBLISH_TIMEOUT);
        let answer = call.and_then(|call| smol::block_on(call.send()));
        let accepted = answer
            .and_then(|answer| answer.json())
            .is_ok_and(|answer: serde_json::Value| answer.get("accepted").is_some());
        if accepted {
            self.published.fetch_add(1, Ordering::Relaxed);
        }
        accepted
    }

    /// How many changes were accepted, the first one included.
    pub(super) fn published(&self) -> u64 {
        self.published.load(Ordering::Relaxed)
    }

    /// What an instance says of itself.
    pub(super) fn status(&self, instance: &Instance) -> Option<StatusPage> {
        let call = HttpCall::get(instance.listen, "/admin/status", ADMIN_TIMEOUT);
        smol::block_on(call.send()).ok()?.json().ok()
    }

    fn list_instance(&self, instance: &Instance, state: ListedState) -> Result<(), RunError> {
        let data_centre: DataCentre =
            instance.data_centre.parse().map_err(|_| RunError::BadName)?;
        self.list.put(ListedInstance {
            name: instance.name.clone(),
            role: Role::Entry,
            incarnation: Incarnation::default(),
            address: instance.peer_proxy.address(),
            data_centre,
            state,
        });
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Instance {
    fn disturb(&self) {
        self.disturbed.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
    }

    /// Whether it was killed or paused between two moments, or is paused now.
    pub(super) fn disturbed_between(&self, from: Instant, to: Instant) -> bool {
        self.paused.load(Ordering::Relaxed)
            || self
                .disturbed
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .iter()
                .any(|at| (from..=to).contains(at))
    }
}

fn start_endpoint(actor: &Actor) -> Result<Member, RunError> {
    if actor.kind == ActorKind::Service {
        let service = Service::start(ServiceConfig {
            work: SERVICE_WORK,
            deduplicates: actor.deduplicates,
            checks_fencing: actor.fencing,
        })?;
        let proxy = FaultProxy::start(service.address())?;
        return Ok(Member::Service(service, Front { proxy, data_centre: data_centre(actor) }));
    }
    let usual = EngineConfig::default();
    let engine = Engine::start(EngineConfig {
        name: actor.name.clone(),
        kv_total: actor.tokens.map_or(usual.kv_total, Tokens),
        prefill_rate: actor.prefill.map_or(usual.prefill_rate, |rate| TokenRate(rate as f64)),
        checks_fencing: actor.fencing,
        ..usual
    })?;
    engine.crash_on(POISON);
    let proxy = FaultProxy::start(engine.address())?;
    Ok(Member::Engine(engine, Front { proxy, data_centre: data_centre(actor) }))
}

fn mode_of(link: Link) -> Mode {
    match link {
        Link::Heal => Mode::Pass,
        Link::Refuse => Mode::Refuse,
        Link::Reset => Mode::Reset,
        Link::SilenceOpen => Mode::SilenceOpen(Direction::Both),
        Link::Silence => Mode::SilenceAll(Direction::Both),
        Link::LoseAnswers => Mode::LoseAnswer,
        Link::Delay(delay) => Mode::Delay(Direction::Both, delay),
        Link::Cut(bytes) => Mode::CutAfter(bytes),
    }
}

fn data_centre(actor: &Actor) -> String {
    actor.data_centre.clone().unwrap_or_else(|| FIRST_DATA_CENTRE.to_owned())
}

async fn answers(address: SocketAddr, path: &str) -> bool {
    let call = HttpCall::get(address, path, ADMIN_TIMEOUT).send().await;
    call.is_ok_and(|answer| answer.is_success())
}

/// Why waiting for an instance was in vain.
fn unready(instance: &Instance) -> RunError {
    let log = instance.process.log_tail(20);
    match instance.process.runs() {
        true => RunError::NotReady(log),
        false => RunError::Ended(log),
    }
}

/// Asks again and again until `done`, or gives up after `limit`.
pub(super) fn wait_for(limit: Duration, mut done: impl FnMut() -> bool) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() < limit {
        if done() {
            return Some(started.elapsed());
        }
        std::thread::sleep(READY_POLL);
    }
    None
}

fn new_folder() -> io::Result<PathBuf> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("trefoilhall-scenario-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
