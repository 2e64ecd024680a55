//! `trefoilhall demo`: the whole path in one process and on loopback only. Stand-ins take the place
//! of the platform; two instances serve prompts of all lengths and calls that may not be repeated,
//! while an engine dies and comes back.

pub mod options;
mod registrations;
mod report;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use daemon::admin::publish::{PublishAnswer, PublishRequest};
use error_stack::ResultExt;
use indicatif::{ProgressBar, ProgressStyle};
use policy::{
    TokenRate, Tokens,
    config::{Config, PolicyName, SourceFile, Version, Weights},
};
use protocols::instances::Role;
use standin::{Engine, EngineConfig, ListService, LogConfig, LogService, Service, ServiceConfig};
use uuid::Uuid;

use crate::{
    bench::{
        band::Band,
        load::{Call, Fault, Sample, drive},
        plan::{Action, Plan, Planner, engine_capacity},
    },
    demo::{options::DemoOptions, report::Outcome},
    error::{CliError, CliResult, Exit},
    fleet::{self, Fleet, FleetPlan, Platform},
    instance::Instance,
    options::Target,
    output,
};

/// How long calls come in. The longest prompts, which take 3 s each, leave the whole demo well
/// below a minute.
const SPAN: Duration = Duration::from_secs(15);
/// When an engine dies, and when it is back.
const KILL: Duration = Duration::from_secs(6);
const REVIVE: Duration = Duration::from_secs(11);
/// When the longest prompts come: one before the engine dies, one while it is away, one after.
const LONGEST: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_millis(6_500), Duration::from_secs(13)];
/// Deadline of the longest prompts; an engine may be lost under them.
const LONGEST_DEADLINE: Duration = Duration::from_secs(30);
const ENGINES: usize = 4;
const INSTANCES: usize = 2;
const WORKSPACES: usize = 3;
/// How long publishing may take.
const PUBLISH: Duration = Duration::from_secs(10);
const PUBLISH_PAUSE: Duration = Duration::from_millis(100);
/// How late the list shows changes.
const LIST_LAG: Duration = Duration::from_secs(1);
/// How long the plain service works on a call.
const DESK_WORK: Duration = Duration::from_millis(30);

/// Runs the command.
pub fn run(opts: &DemoOptions) -> CliResult {
    let started = Instant::now();
    let site = Site::start()?;
    let plan = plan(opts.seed);
    let calls = plan.calls().into_iter().map(with_patience).collect::<Vec<Call>>();
    output::print(&format!(
        "{ENGINES} engines, {INSTANCES} instances, {} prompts from 1k to 1M tokens; \
         an engine dies after {} s and is back after {} s\n",
        calls.len(),
        KILL.as_secs(),
        REVIVE.as_secs()
    ))?;
    let entries = site.fleet.entries();
    let (samples, registrations) = std::thread::scope(|scope| {
        let desk = scope.spawn(|| smol::block_on(registrations::send_all(entries, SPAN)));
        let samples = prompts(&site.fleet, calls, plan.faults);
        (samples, desk.join().unwrap_or_default())
    });
    let outcome = Outcome {
        samples: &samples,
        registrations: &registrations,
        desk: &site.desk,
        ran_though_refused: site.ran_though_refused(&samples),
    };
    let sound = outcome.print()?;
    site.close();
    output::print(&format!("\ntook {:.0} s", started.elapsed().as_secs_f64()))?;
    Ok(if sound { Exit::Done } else { Exit::Failed })
}

/// Sends all prompts, with a bar on a terminal.
fn prompts(fleet: &Fleet, calls: Vec<Call>, faults: Vec<Fault>) -> Vec<Sample> {
    let bar = ProgressBar::new(calls.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} prompts {elapsed}") {
        bar.set_style(style);
    }
    let bar = Arc::new(bar);
    let ended = bar.clone();
    let samples = drive(fleet, calls, faults, move || ended.inc(1));
    bar.finish_and_clear();
    samples
}

/// Everything that runs.
struct Site {
    fleet: Fleet,
    log: LogService,
    list: ListService,
    desk: Service,
}

impl Site {
    fn start() -> CliResult<Site> {
        let failed = || CliError::Other("the stand-ins can't be started".to_owned());
        let log = LogService::start(LogConfig::default()).change_context_lazy(failed)?;
        let list = ListService::start(LIST_LAG).change_context_lazy(failed)?;
        let desk = ServiceConfig { work: DESK_WORK, ..ServiceConfig::default() };
        let desk = Service::start(desk).change_context_lazy(failed)?;
        let plan = FleetPlan {
            engines: vec![engine(); ENGINES],
            instances: INSTANCES,
            threads: 2,
            workspaces: WORKSPACES,
            policy: PolicyName::Trefoilhall,
            weights: Weights::default(),
        };
        let engines = fleet::start_engines(&plan)?;
        let config = fleet::config(&plan, &engines, Some(&desk))?;
        let platform = Platform { log: log.address(), instances: list.address() };
        let fleet = Fleet::join(&plan, engines, None, Some(platform))?;
        list_all(&fleet, &list, &desk)?;
        publish(&fleet, &config)?;
        fleet.wait_until_ready()?;
        Ok(Site { fleet, log, list, desk })
    }

    fn ran_though_refused(&self, samples: &[Sample]) -> usize {
        let ran = |sample: &Sample| {
            let runs = |engine: &Engine| engine.runs_of(sample.call.fingerprint) > 0;
            self.fleet.engines.iter().any(runs)
        };
        let refused = samples.iter().filter(|sample| sample.not_run == sample.sends);
        refused.filter(|sample| ran(sample)).count()
    }

    fn close(self) {
        self.fleet.close();
        self.log.close();
        self.list.close();
        self.desk.close();
    }
}

/// Puts everything on the platform's list, as the platform would.
fn list_all(fleet: &Fleet, list: &ListService, desk: &Service) -> CliResult<()> {
    let engines = fleet.engines.iter().map(Engine::address);
    for (index, address) in engines.enumerate() {
        list.put(fleet::listed(&format!("engine-{index}"), Role::Endpoint, address)?);
    }
    list.put(fleet::listed("desk-0", Role::Endpoint, desk.address())?);
    for (index, address) in fleet.peers().enumerate() {
        list.put(fleet::listed(&format!("entry-{index}"), Role::Entry, address)?);
    }
    Ok(())
}

/// Publishes the configuration through one instance; the others read it from the log.
fn publish(fleet: &Fleet, config: &Config) -> CliResult<()> {
    let text = serde_json::to_string_pretty(config).change_context(CliError::Output)?;
    let target = Target { address: fleet.admin()[0], timeout: PUBLISH };
    let req = PublishRequest {
        id: Uuid::now_v7().to_string(),
        base: Version(0),
        by: "demo".to_owned(),
        files: vec![SourceFile { name: "10-demo.json".to_owned(), text }],
    };
    let limit = Instant::now() + PUBLISH;
    loop {
        match Instance::new(target).publish(&req) {
            Ok(PublishAnswer::Accepted(_)) => return Ok(()),
            Ok(other) => {
                let message = format!("the configuration wasn't accepted: {other:?}");
                return Err(CliError::Other(message).into());
            }
            // An instance takes no change before it has read the stream to its end. The same id
            // keeps a change from being taken twice.
            Err(report) if Instant::now() > limit => return Err(report),
            Err(_) => std::thread::sleep(PUBLISH_PAUSE),
        }
    }
}

/// A million tokens take 2.8 s and the memory of three engines.
fn engine() -> EngineConfig {
    EngineConfig {
        kv_total: Tokens(400_000),
        prefill_rate: TokenRate(400_000.0),
        ..EngineConfig::default()
    }
}

/// A third of what the engines can do, and the longest prompts.
fn plan(seed: u64) -> Plan {
    let capacity = engine_capacity(&engine()) * ENGINES as f64;
    let mut planner = Planner::new(seed, WORKSPACES, capacity);
    planner.stream(Band::Short, 0.05, Duration::ZERO, SPAN);
    planner.stream(Band::Medium, 0.1, Duration::ZERO, SPAN);
    planner.stream(Band::Long, 0.15, Duration::ZERO, SPAN);
    for (number, at) in LONGEST.into_iter().enumerate() {
        planner.one(Band::Longest, at, number % WORKSPACES);
    }
    planner.plan.faults = vec![
        Fault { at: KILL, action: Action::Kill(0) },
        Fault { at: REVIVE, action: Action::Revive(0) },
    ];
    planner.finish()
}

fn with_patience(mut call: Call) -> Call {
    if call.band == Band::Longest {
        call.deadline = LONGEST_DEADLINE;
    }
    call
}
