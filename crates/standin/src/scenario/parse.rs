//! Reads scenarios, reporting every fault at once with line and column.

use std::{fmt, time::Duration};

use winnow::{
    ModalResult, Parser,
    ascii::{digit1, space0, space1},
    combinator::{alt, cut_err, eof, opt, preceded, repeat, terminated},
    error::{ContextError, ErrMode, StrContext, StrContextValue},
    token::take_while,
};

use crate::scenario::ast::{
    Action, Actor, ActorKind, Bound, Counted, Expectation, Link, Scenario, Send, Step, What,
};

/// Tokens of `short`: a question at the counter.
pub const SHORT_TOKENS: u64 = 1_000;
/// Tokens of `long`: a dossier.
pub const LONG_TOKENS: u64 = 100_000;
/// Tokens of `longest`: more than two engines of the default size hold.
pub const LONGEST_TOKENS: u64 = 1_000_000;

/// A fault in a scenario's text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Counted from 1.
    pub line: usize,
    /// Counted from 1.
    pub column: usize,
    /// What was expected or is wrong, as a sentence.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

enum Line {
    Actor(Actor),
    Step(Duration, Action),
    Expect(Expectation),
}

/// Reads a scenario.
///
/// # Errors
///
/// All faults: unreadable lines, names that nothing has, and names given twice.
pub fn parse(text: &str) -> Result<Scenario, Vec<Finding>> {
    let mut scenario = Scenario::default();
    let mut findings = Vec::new();
    for (i, raw) in text.lines().enumerate() {
        let line = i + 1;
        let content = raw.trim();
        if let Some(comment) = content.strip_prefix('#') {
            if scenario.actors.is_empty() {
                scenario.story.push(comment.trim().to_owned());
            }
            continue;
        }
        if content.is_empty() {
            continue;
        }
        match read_line(raw, line) {
            Ok(Line::Actor(actor)) => scenario.actors.push(actor),
            Ok(Line::Step(at, action)) => scenario.steps.push(Step { at, line, action }),
            Ok(Line::Expect(expectation)) => scenario.expectations.push(expectation),
            Err(finding) => findings.push(finding),
        }
    }
    scenario.steps.sort_by_key(|step| step.at);
    check_names(&scenario, &mut findings);
    if findings.is_empty() { Ok(scenario) } else { Err(findings) }
}

fn read_line(raw: &str, line: usize) -> Result<Line, Finding> {
    let mut rest = raw;
    terminated(preceded(space0, any_line), (space0, eof)).parse_next(&mut rest).map_err(|err| {
        let column = raw.len() - rest.len() + 1;
        Finding { line, column, message: message(&err, rest) }
    })
}

fn message(err: &ErrMode<ContextError>, rest: &str) -> String {
    let wanted = match err {
        ErrMode::Backtrack(context) | ErrMode::Cut(context) => {
            context.context().find_map(|context| match context {
                StrContext::Expected(StrContextValue::Description(text)) => Some(*text),
                _ => None,
            })
        }
        ErrMode::Incomplete(_) => None,
    };
    let found = rest.split_whitespace().next().unwrap_or("the end of the line");
    format!("expected {}, found `{found}`", wanted.unwrap_or("the end of the line"))
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn any_line(input: &mut &str) -> ModalResult<Line> {
    alt((
        preceded(("at", space1), cut_err(step)).map(|(at, action)| Line::Step(at, action)),
        preceded(("expect", space1), cut_err(expectation)).map(Line::Expect),
        actor.map(Line::Actor),
    ))
    .context(expected("`engine`, `service`, `instance`, `at` or `expect`"))
    .parse_next(input)
}

fn name(input: &mut &str) -> ModalResult<String> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_')
        .context(expected("a name of letters, digits, `-` and `_`"))
        .map(str::to_owned)
        .parse_next(input)
}

fn number(input: &mut &str) -> ModalResult<u64> {
    digit1
        .try_map(|digits: &str| digits.parse())
        .context(expected("a whole number"))
        .parse_next(input)
}

fn duration(input: &mut &str) -> ModalResult<Duration> {
    let whole = (number, opt(preceded('.', digit1)), alt(("ms", "s")));
    whole
        .try_map(|(whole, fraction, unit): (u64, Option<&str>, &str)| {
            let fraction = fraction.unwrap_or("0");
            let seconds: f64 = format!("{whole}.{fraction}").parse().map_err(|_| OutOfRange)?;
            let scale = if unit == "ms" { 1e-3 } else { 1.0 };
            Duration::try_from_secs_f64(seconds * scale).map_err(|_| OutOfRange)
        })
        .context(expected("a time, as `200ms` or `1.5s`"))
        .parse_next(input)
}

#[derive(Debug)]
struct OutOfRange;

impl fmt::Display for OutOfRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the time is out of range")
    }
}

impl std::error::Error for OutOfRange {}

fn yes_no(input: &mut &str) -> ModalResult<bool> {
    alt(("yes".value(true), "no".value(false))).context(expected("`yes` or `no`")).parse_next(input)
}

enum ActorOption {
    DataCentre(String),
    Tokens(u64),
    Prefill(u64),
    Fencing(bool),
    Deduplicates(bool),
}

fn actor(input: &mut &str) -> ModalResult<Actor> {
    let kind = alt((
        "engine".value(ActorKind::Engine),
        "service".value(ActorKind::Service),
        "instance".value(ActorKind::Instance),
    ));
    let (kind, _, name) = (kind, space1, cut_err(name)).parse_next(input)?;
    let options: Vec<ActorOption> =
        repeat(0.., preceded(space1, actor_option)).parse_next(input)?;
    let mut actor = Actor {
        name,
        kind,
        data_centre: None,
        tokens: None,
        prefill: None,
        fencing: false,
        deduplicates: false,
    };
    for option in options {
        match option {
            ActorOption::DataCentre(name) => actor.data_centre = Some(name),
            ActorOption::Tokens(tokens) => actor.tokens = Some(tokens),
            ActorOption::Prefill(rate) => actor.prefill = Some(rate),
            ActorOption::Fencing(checks) => actor.fencing = checks,
            ActorOption::Deduplicates(does) => actor.deduplicates = does,
        }
    }
    Ok(actor)
}

fn actor_option(input: &mut &str) -> ModalResult<ActorOption> {
    alt((
        preceded("at=", cut_err(name)).map(ActorOption::DataCentre),
        preceded("tokens=", cut_err(number)).map(ActorOption::Tokens),
        preceded("prefill=", cut_err(number)).map(ActorOption::Prefill),
        preceded("fencing=", cut_err(yes_no)).map(ActorOption::Fencing),
        preceded("deduplicates=", cut_err(yes_no)).map(ActorOption::Deduplicates),
    ))
    .context(expected("`at=`, `tokens=`, `prefill=`, `fencing=` or `deduplicates=`"))
    .parse_next(input)
}

fn step(input: &mut &str) -> ModalResult<(Duration, Action)> {
    let (at, _, action) = (duration, space1, cut_err(action)).parse_next(input)?;
    Ok((at, action))
}

fn action(input: &mut &str) -> ModalResult<Action> {
    alt((
        preceded(("send", space1), cut_err(send)).map(Action::Send),
        named("kill").map(Action::Kill),
        named("start").map(Action::Start),
        named("stop").map(Action::Stop),
        named("pause").map(Action::Pause),
        named("resume").map(Action::Resume),
        named("leave").map(Action::Leave),
        named("drop-cache-events").map(Action::DropCacheEvents),
        (named("speed"), preceded(space1, cut_err(number)))
            .map(|(name, rate)| Action::Speed(name, rate)),
        link,
        "trim log".value(Action::Trim),
        "freeze list".value(Action::FreezeList),
        "thaw list".value(Action::ThawList),
        "race publish".value(Action::RacePublish),
        "publish".value(Action::Publish),
    ))
    .context(expected("an action, as `send`, `kill`, `pause`, `silence` or `publish`"))
    .parse_next(input)
}

fn named<'a>(word: &'static str) -> impl Parser<&'a str, String, ErrMode<ContextError>> {
    preceded((word, space1), cut_err(name))
}

fn link(input: &mut &str) -> ModalResult<Action> {
    let simple = alt((
        "heal".value(Link::Heal),
        "refuse".value(Link::Refuse),
        "reset".value(Link::Reset),
        "silence-open".value(Link::SilenceOpen),
        "silence".value(Link::Silence),
        "lose-answers".value(Link::LoseAnswers),
    ));
    alt((
        (simple, preceded(space1, cut_err(name))).map(|(link, name)| Action::Link(name, link)),
        (named("delay"), preceded(space1, cut_err(duration)))
            .map(|(name, delay)| Action::Link(name, Link::Delay(delay))),
        (named("cut"), preceded(space1, cut_err(number)))
            .map(|(name, bytes)| Action::Link(name, Link::Cut(bytes))),
    ))
    .parse_next(input)
}

enum SendOption {
    Count(u64),
    Every(Duration),
    To(String),
    Deadline(Duration),
    Workspace(String),
    Output(u64),
    HangUp(Duration),
    Again(u64),
}

fn send(input: &mut &str) -> ModalResult<Send> {
    let what = alt((
        "short".value(What::Prompt(SHORT_TOKENS)),
        "longest".value(What::Prompt(LONGEST_TOKENS)),
        "long".value(What::Prompt(LONG_TOKENS)),
        "poison".value(What::Poison),
        "lookup".value(What::Lookup),
        preceded(("register-each", space1), cut_err(name)).map(What::RegisterEach),
        preceded(("register", space1), cut_err(name)).map(What::Register),
        number.map(What::Prompt),
    ))
    .context(expected(
        "`short`, `long`, `longest`, a number of tokens, `poison`, `register` or `lookup`",
    ))
    .parse_next(input)?;
    let options: Vec<SendOption> = repeat(0.., preceded(space1, send_option)).parse_next(input)?;
    let mut send = Send {
        what,
        count: 1,
        every: Duration::ZERO,
        to: None,
        deadline: None,
        workspace: None,
        output: None,
        hang_up: None,
        again: 0,
    };
    for option in options {
        match option {
            SendOption::Count(count) => send.count = count.try_into().unwrap_or(u32::MAX),
            SendOption::Every(gap) => send.every = gap,
            SendOption::To(name) => send.to = Some(name),
            SendOption::Deadline(deadline) => send.deadline = Some(deadline),
            SendOption::Workspace(name) => send.workspace = Some(name),
            SendOption::Output(tokens) => send.output = Some(tokens),
            SendOption::HangUp(after) => send.hang_up = Some(after),
            SendOption::Again(times) => send.again = times.try_into().unwrap_or(u32::MAX),
        }
    }
    Ok(send)
}

fn send_option(input: &mut &str) -> ModalResult<SendOption> {
    alt((
        preceded('x', cut_err(number)).map(SendOption::Count),
        preceded(("every", space1), cut_err(duration)).map(SendOption::Every),
        preceded(("to", space1), cut_err(name)).map(SendOption::To),
        preceded(("deadline", space1), cut_err(duration)).map(SendOption::Deadline),
        preceded(("workspace", space1), cut_err(name)).map(SendOption::Workspace),
        preceded(("output", space1), cut_err(number)).map(SendOption::Output),
        preceded(("hang-up", space1), cut_err(duration)).map(SendOption::HangUp),
        preceded(("again", space1), cut_err(number)).map(SendOption::Again),
    ))
    .context(expected(
        "`xN`, `every`, `to`, `deadline`, `workspace`, `output`, `hang-up` or `again`",
    ))
    .parse_next(input)
}

fn expectation(input: &mut &str) -> ModalResult<Expectation> {
    alt((
        "every request ends in time".value(Expectation::EndedInTime),
        "every answer whole".value(Expectation::Whole),
        "each key runs at most once".value(Expectation::AtMostOnce),
        "not run is true".value(Expectation::NotRunIsTrue),
        preceded("engines empty within ", cut_err(duration)).map(Expectation::EnginesEmpty),
        preceded("same configuration within ", cut_err(duration))
            .map(Expectation::SameConfiguration),
        (preceded("nothing new on ", cut_err(name)), preceded(" after ", cut_err(duration)))
            .map(|(name, after)| Expectation::NothingNew(name, after)),
        count,
    ))
    .context(expected("an expectation, as `every answer whole` or `finished at least 3`"))
    .parse_next(input)
}

fn count(input: &mut &str) -> ModalResult<Expectation> {
    let counted = alt((
        "finished".value(Counted::Finished),
        "refused".value(Counted::Refused),
        "failed".value(Counted::Failed),
        "unknown".value(Counted::Unknown),
        "runs".value(Counted::Runs),
        "deaths".value(Counted::Deaths),
        "published".value(Counted::Published),
    ));
    let bound = alt(("at least".value(Bound::AtLeast), "at most".value(Bound::AtMost)))
        .context(expected("`at least` or `at most`"));
    (counted, preceded(space1, cut_err(bound)), preceded(space1, cut_err(number)))
        .map(|(counted, bound, number)| Expectation::Count(counted, bound, number))
        .parse_next(input)
}

/// The log service takes part under this name without being declared.
pub const LOG: &str = "log";

fn check_names(scenario: &Scenario, findings: &mut Vec<Finding>) {
    let known = |name: &str| name == LOG || scenario.actors.iter().any(|actor| actor.name == name);
    for (i, actor) in scenario.actors.iter().enumerate() {
        let twice = scenario.actors[..i].iter().any(|other| other.name == actor.name);
        if twice || actor.name == LOG {
            let message = format!("the name `{}` is given twice", actor.name);
            findings.push(Finding { line: 1, column: 1, message });
        }
    }
    for step in &scenario.steps {
        if let Some(name) = step.action.subject().filter(|name| !known(name)) {
            let message = format!("nothing has the name `{name}`");
            findings.push(Finding { line: step.line, column: 1, message });
        }
    }
}

impl Action {
    /// The participant that the action names, if any.
    pub fn subject(&self) -> Option<&str> {
        match self {
            Action::Send(send) => send.to.as_deref(),
            Action::Kill(name)
            | Action::Start(name)
            | Action::Stop(name)
            | Action::Pause(name)
            | Action::Resume(name)
            | Action::Leave(name)
            | Action::Link(name, _)
            | Action::Speed(name, _)
            | Action::DropCacheEvents(name) => Some(name),
            Action::Trim
            | Action::FreezeList
            | Action::ThawList
            | Action::RacePublish
            | Action::Publish => None,
        }
    }
}
