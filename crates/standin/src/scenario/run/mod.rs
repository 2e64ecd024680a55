//! Plays a scenario against real daemon processes and says what didn't hold.

mod calls;
mod configuration;
mod judge;
mod process;
mod site;

use std::{
    collections::HashMap,
    fmt, io,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use smol::Timer;

use self::{
    calls::{Call, Planned},
    judge::{judge, work_of},
    site::Site,
};
use crate::scenario::ast::{Action, Expectation, Scenario, Send, Step};

/// The workspace of calls that name none.
const USUAL_WORKSPACE: &str = "counter";
/// The longest that callers are waited for after the last step.
const CALLS_LIMIT: Duration = Duration::from_secs(90);
/// Log lines of each daemon that a failed run shows.
const SHOWN_LOG_LINES: usize = 25;

/// Why a scenario couldn't be played.
#[derive(Debug)]
pub enum RunError {
    /// A stand-in, process or folder can't be made.
    Io(io::Error),
    /// The scenario has no instance.
    NoInstance,
    /// An instance didn't become ready; the end of its log.
    NotReady(String),
    /// An instance's process ended before it was ready; the end of its log.
    Ended(String),
    /// An instance that was told to stop didn't.
    NotStopped(String),
    /// A name of the scenario isn't one that the configuration takes.
    BadName,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Io(err) => write!(f, "the site can't be set up: {err}"),
            RunError::NoInstance => write!(f, "the scenario has no instance"),
            RunError::NotReady(log) => write!(f, "an instance isn't ready; its log:\n{log}"),
            RunError::Ended(log) => write!(f, "an instance ended at its start; its log:\n{log}"),
            RunError::NotStopped(name) => write!(f, "{name} was told to stop and didn't"),
            RunError::BadName => write!(f, "a name of the scenario can't be configured"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<io::Error> for RunError {
    fn from(err: io::Error) -> Self {
        RunError::Io(err)
    }
}

/// What came of a scenario.
#[derive(Debug)]
pub struct Report {
    /// What didn't hold, a sentence each.
    pub findings: Vec<String>,
    /// How many calls ended how, and the daemons' last log lines.
    pub account: String,
}

/// What was noted while the scenario ran.
struct Marks {
    left: HashMap<String, Left>,
}

/// An endpoint that began to leave.
struct Left {
    /// How much work it had got by the time from which it must get nothing new.
    work_later: Option<u64>,
}

/// Plays `scenario` with the daemon at `program`.
///
/// # Errors
///
/// [`RunError`] where the site can't be set up or a process doesn't do what it is told; what
/// callers saw is never an error but part of the report.
pub fn run(scenario: &Scenario, program: &Path) -> Result<Report, RunError> {
    let stage = Arc::new(Stage {
        site: Site::start(scenario, program)?,
        calls: Mutex::new(Vec::new()),
        marks: Mutex::new(Marks { left: HashMap::new() }),
    });
    let started = Instant::now();
    let mut running = Vec::new();
    for (i, step) in scenario.steps.iter().enumerate() {
        thread::sleep(step.at.saturating_sub(started.elapsed()));
        running.extend(stage.begin(scenario, step, i as u64)?);
    }
    for task in running {
        task.join().map_err(|_| io::Error::other("a step of the scenario panicked"))??;
    }
    Ok(stage.report(&scenario.expectations))
}

struct Stage {
    site: Site,
    calls: Mutex<Vec<Call>>,
    marks: Mutex<Marks>,
}

type Task = JoinHandle<Result<(), RunError>>;

impl Stage {
    /// Begins a step; what takes time goes on in a thread of its own.
    fn begin(
        self: &Arc<Self>,
        scenario: &Scenario,
        step: &Step,
        seed: u64,
    ) -> Result<Option<Task>, RunError> {
        let stage = self.clone();
        let task = match step.action.clone() {
            Action::Send(send) => {
                let line = step.line;
                thread::spawn(move || {
                    stage.send(&send, line, seed);
                    Ok(())
                })
            }
            Action::Start(name) => thread::spawn(move || stage.site.restart(&name)),
            Action::Stop(name) => thread::spawn(move || stage.site.stop(&name)),
            Action::Leave(name) => {
                let after = nothing_new_after(&scenario.expectations, &name);
                thread::spawn(move || {
                    stage.leave(name, after);
                    Ok(())
                })
            }
            Action::Publish => thread::spawn(move || stage.publish(&["ana"])),
            Action::RacePublish => thread::spawn(move || stage.publish(&["ana", "bogdan"])),
            quick => {
                self.at_once(quick)?;
                return Ok(None);
            }
        };
        Ok(Some(task))
    }

    fn at_once(&self, action: Action) -> Result<(), RunError> {
        match action {
            Action::Kill(name) => self.site.kill(&name),
            Action::Pause(name) => self.site.pause(&name, true),
            Action::Resume(name) => self.site.pause(&name, false),
            Action::Link(name, link) => self.site.link(&name, link)?,
            Action::Speed(name, rate) => self.site.set_speed(&name, rate),
            Action::DropCacheEvents(name) => self.site.drop_cache_events(&name),
            Action::Trim => self.site.trim_log(),
            Action::FreezeList => self.site.freeze_list(true),
            Action::ThawList => self.site.freeze_list(false),
            Action::Send(_)
            | Action::Start(_)
            | Action::Stop(_)
            | Action::Leave(_)
            | Action::Publish
            | Action::RacePublish => {}
        }
        Ok(())
    }

    fn send(self: &Arc<Self>, send: &Send, line: usize, seed: u64) {
        let workspace = send.workspace.as_deref().unwrap_or(USUAL_WORKSPACE);
        smol::block_on(async {
            let mut tasks = Vec::new();
            for index in 0..send.count {
                let planned = Planned {
                    line,
                    send: send.clone(),
                    index,
                    seed: seed * 1_000_000 + u64::from(index) + 1,
                    bearer: configuration::bearer(workspace),
                };
                let stage = self.clone();
                tasks.push(smol::spawn(async move { stage.call(planned).await }));
                Timer::after(send.every).await;
            }
            for task in tasks {
                task.await;
            }
        });
    }

    /// Makes a call, and makes it again as often as its caller would.
    async fn call(&self, planned: Planned) {
        for turn in 0..=planned.send.again {
            let Some((name, address)) = self.choose(&planned, turn) else { return };
            let limit = CALLS_LIMIT;
            let call =
                smol::future::or(async { Some(planned.make(&name, address).await) }, async {
                    Timer::after(limit).await;
                    None
                });
            let Some(call) = call.await else { return };
            let again = turn < planned.send.again && call.may_ask_again();
            if !again {
                self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
                return;
            }
            call.wait_to_ask_again().await;
        }
    }

    fn choose(&self, planned: &Planned, turn: u32) -> Option<(String, std::net::SocketAddr)> {
        if let Some(name) = &planned.send.to {
            return self.site.instance(name).map(|instance| (name.clone(), instance.listen));
        }
        let mut open = self.site.in_service();
        if open.is_empty() {
            open = self.site.instances().collect();
        }
        let instance = open.get((planned.index + turn) as usize % open.len().max(1))?;
        Some((instance.name.clone(), instance.listen))
    }

    fn leave(&self, name: String, after: Option<Duration>) {
        self.site.leave(&name);
        let work_later = after.map(|after| {
            thread::sleep(after);
            work_of(&self.site, &name)
        });
        let mut marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        marks.left.insert(name, Left { work_later });
    }

    fn publish(self: &Arc<Self>, operators: &'static [&'static str]) -> Result<(), RunError> {
        let instances = self.site.in_service();
        let Some(first) = instances.first() else { return Ok(()) };
        let base = self.site.status(first).map_or(0, |status| status.config_version);
        let turns = operators.iter().enumerate().map(|(i, by)| {
            let stage = self.clone();
            let name = instances[i % instances.len()].name.clone();
            thread::spawn(move || {
                let instance = stage.site.instance(&name);
                instance.is_some_and(|instance| stage.site.publish(instance, base, by))
            })
        });
        for turn in turns.collect::<Vec<_>>() {
            turn.join().map_err(|_| io::Error::other("a publication panicked"))?;
        }
        Ok(())
    }

    fn report(&self, expectations: &[Expectation]) -> Report {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        let findings = judge(expectations, &self.site, &calls, &marks);
        Report { findings, account: account(&self.site, &calls) }
    }
}

fn nothing_new_after(expectations: &[Expectation], name: &str) -> Option<Duration> {
    expectations.iter().find_map(|expected| match expected {
        Expectation::NothingNew(other, after) if other == name => Some(*after),
        _ => None,
    })
}

fn account(site: &Site, calls: &[Call]) -> String {
    let mut text = String::new();
    for call in calls {
        let took = (call.ended - call.sent).as_millis();
        text += &format!(
            "line {} on {}: {:?} after {took} ms {}\n",
            call.line, call.instance, call.ending, call.detail
        );
    }
    for instance in site.instances() {
        text += &format!("-- {}\n{}\n", instance.name, instance.process.log_tail(SHOWN_LOG_LINES));
    }
    text
}
