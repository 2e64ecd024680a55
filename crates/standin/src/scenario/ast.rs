//! What a scenario says, once read.

use std::time::Duration;

/// A whole scenario.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Scenario {
    /// The comment lines before the first other line: what a user sees, the order, the cause.
    pub story: Vec<String>,
    /// What stands in the site.
    pub actors: Vec<Actor>,
    /// What happens, in order of time.
    pub steps: Vec<Step>,
    /// What must hold in the end.
    pub expectations: Vec<Expectation>,
}

/// One participant.
#[derive(Debug, Clone, PartialEq)]
pub struct Actor {
    /// Its name, unique within the scenario.
    pub name: String,
    /// What it is.
    pub kind: ActorKind,
    /// The data centre; the first one where absent.
    pub data_centre: Option<String>,
    /// Memory of an engine in tokens.
    pub tokens: Option<u64>,
    /// Prompt tokens an engine prefills a second.
    pub prefill: Option<u64>,
    /// Whether the endpoint checks fencing numbers.
    pub fencing: bool,
    /// Whether a service answers a repeated key with its first answer.
    pub deduplicates: bool,
}

/// The kinds of participants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActorKind {
    /// A daemon process.
    Instance,
    /// A stand-in model engine.
    Engine,
    /// A stand-in server of the plain service.
    Service,
}

/// One thing that happens.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// When, counted from the moment the site is ready.
    pub at: Duration,
    /// The line it stands on, for reports.
    pub line: usize,
    /// What.
    pub action: Action,
}

/// What can happen.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Callers send requests.
    Send(Send),
    /// A process or stand-in dies at once.
    Kill(String),
    /// It starts again, as a new incarnation.
    Start(String),
    /// A process is told to stop gracefully.
    Stop(String),
    /// A process is frozen (SIGSTOP), or an engine makes no progress.
    Pause(String),
    /// It goes on.
    Resume(String),
    /// An endpoint asks for no new work.
    Leave(String),
    /// The connections to a participant or to the log change.
    Link(String, Link),
    /// An engine's prefill becomes this many tokens a second.
    Speed(String, u64),
    /// The log forgets all records kept so far.
    Trim,
    /// The list of instances stops following reality.
    FreezeList,
    /// The list follows again.
    ThawList,
    /// An engine's cache events get lost.
    DropCacheEvents(String),
    /// Two operators publish from the same base at once.
    RacePublish,
    /// An operator publishes a change.
    Publish,
}

/// How connections behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// As usual.
    Heal,
    /// New connections are refused and open ones reset.
    Refuse,
    /// Open connections are reset once.
    Reset,
    /// Open connections go silent for good; new ones work.
    SilenceOpen,
    /// All connections are silent.
    Silence,
    /// The request passes and the answer is lost.
    LoseAnswers,
    /// Everything takes this much longer.
    Delay(Duration),
    /// Connections break after so many bytes of answer.
    Cut(u64),
}

/// Requests that callers send.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// What kind.
    pub what: What,
    /// How many.
    pub count: u32,
    /// Time between two of them.
    pub every: Duration,
    /// The instance; in turn where absent.
    pub to: Option<String>,
    /// Deadline that the caller states.
    pub deadline: Option<Duration>,
    /// The caller's workspace.
    pub workspace: Option<String>,
    /// Tokens to generate.
    pub output: Option<u64>,
    /// Callers hang up after this long.
    pub hang_up: Option<Duration>,
    /// A refused or failed call is sent again so many times, when its answer says.
    pub again: u32,
}

/// What is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    /// A prompt of so many tokens.
    Prompt(u64),
    /// A prompt that kills each engine that runs it.
    Poison,
    /// A registration under this key, which may not be repeated. Several are the same call sent
    /// again.
    Register(String),
    /// Registrations under this key with a number behind it, each another call.
    RegisterEach(String),
    /// A status look-up at the plain service.
    Lookup,
}

/// What must hold in the end.
#[derive(Debug, Clone, PartialEq)]
pub enum Expectation {
    /// Every request ended within its deadline, admitted or not.
    EndedInTime,
    /// Every answer that looked whole was the whole answer to its own request.
    Whole,
    /// No registration ran more than once.
    AtMostOnce,
    /// No request that was answered as not run had run.
    NotRunIsTrue,
    /// Engines hold no memory this long after the last request ended.
    EnginesEmpty(Duration),
    /// A participant gets no new work from this long after it began to leave.
    NothingNew(String, Duration),
    /// All running instances have the same, latest configuration this long after the last step.
    SameConfiguration(Duration),
    /// Bounds on a count of outcomes.
    Count(Counted, Bound, u64),
}

/// Which outcomes are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counted {
    /// Whole answers.
    Finished,
    /// Refusals that were not run.
    Refused,
    /// Failures, whether run or not.
    Failed,
    /// Registrations of unknown outcome.
    Unknown,
    /// Runs of registrations.
    Runs,
    /// Deaths of engines.
    Deaths,
    /// Accepted publications.
    Published,
}

/// Which side a bound is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// At least so many.
    AtLeast,
    /// At most so many.
    AtMost,
}
