//! Guards against calls that run twice or get a false outcome while the log fails in each way it
//! can.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, thread, time::Duration};

use daemon::{
    clock::Clock,
    ledger::{ClaimOutcome, ClaimRequest, Ledger, LedgerConfig, RunClaim},
};
use policy::{
    EndpointGroup, Fingerprint, Incarnation, InstanceId, RunStatus, Workspace,
    ledger::{Answer, CallKey, Writer},
};
use protocols::log::http::HttpLog;
use smol::{block_on, channel::bounded};
use standin::{AppendFault, LogConfig, LogService, Outage};

const STREAM: &str = "ledger-0";
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The ledger of one instance, run by its own thread until this value is dropped.
struct TestInstance {
    ledger: Ledger<HttpLog>,
    clock: Clock,
    _stop: smol::channel::Sender<()>,
}

fn start_instance(log: &LogService, name: &str, incarnation: u64) -> TestInstance {
    start_instance_with(log, name, incarnation, Duration::from_secs(3_600))
}

fn start_instance_with(
    log: &LogService,
    name: &str,
    incarnation: u64,
    log_retention: Duration,
) -> TestInstance {
    let clock = Clock::start();
    let cfg = LedgerConfig {
        stream: STREAM.to_owned(),
        window: Duration::from_secs(86_400),
        log_retention,
    };
    let instance = InstanceId::new(name).unwrap();
    let writer = Writer { instance, incarnation: Incarnation(incarnation) };
    let ledger = Ledger::new(HttpLog::new(log.address()), cfg, writer, clock);
    let (stop, stopped) = bounded::<()>(1);
    let running = ledger.clone();
    thread::spawn(move || {
        block_on(futures_lite::future::or(running.run(), async {
            stopped.recv().await.ok();
        }));
    });
    TestInstance { ledger, clock, _stop: stop }
}

impl TestInstance {
    fn claim_for(&self, key: &str, body: u128, wait: Duration) -> ClaimOutcome<HttpLog> {
        let workspace = Workspace::new("desk").unwrap();
        let group = EndpointGroup::new("register").unwrap();
        block_on(self.ledger.claim(ClaimRequest {
            key: CallKey::new(workspace, group, key).unwrap(),
            fingerprint: Fingerprint(body),
            deduplicates: false,
            deadline: self.clock.now() + wait,
        }))
    }

    fn claim(&self, key: &str) -> ClaimOutcome<HttpLog> {
        self.claim_for(key, 1, CALL_TIMEOUT)
    }

    fn wait_ready(&self) {
        wait_until(|| self.ledger.is_ready());
    }
}

fn wait_until(mut done: impl FnMut() -> bool) {
    let end = std::time::Instant::now() + CALL_TIMEOUT;
    while !done() {
        assert!(std::time::Instant::now() < end, "the condition was not met in time");
        thread::sleep(Duration::from_millis(5));
    }
}

fn answer(text: &str) -> Answer {
    Answer { status: 201, content_type: None, body: Some(text.to_owned()) }
}

fn expect_run(outcome: ClaimOutcome<HttpLog>) -> RunClaim<HttpLog> {
    match outcome {
        ClaimOutcome::Run(claim) => claim,
        other => panic!("expected the right to run, got {}", describe(&other)),
    }
}

fn describe(outcome: &ClaimOutcome<HttpLog>) -> String {
    match outcome {
        ClaimOutcome::Run(_) => "run".to_owned(),
        ClaimOutcome::Answer(answer) => format!("answer {}", answer.body.as_deref().unwrap_or("")),
        ClaimOutcome::Unknown => "unknown".to_owned(),
        ClaimOutcome::BodyDiffers => "body differs".to_owned(),
        ClaimOutcome::NotRun => "not run".to_owned(),
        ClaimOutcome::LogDown => "log down".to_owned(),
        ClaimOutcome::Behind => "behind".to_owned(),
        ClaimOutcome::Full => "full".to_owned(),
        ClaimOutcome::KeyTooOld => "too old".to_owned(),
        ClaimOutcome::KeyFromTheFuture => "future".to_owned(),
    }
}

fn run(instance: &TestInstance, key: &str, text: &str) {
    let claim = expect_run(instance.claim(key));
    assert!(claim.try_begin_sending());
    claim.complete(answer(text));
}

/// An answer is lost, and the caller's retry reaches another instance.
#[test]
fn a_call_sent_again_gets_the_first_answer_from_any_instance() {
    let log = LogService::start(LogConfig::default()).unwrap();
    let (a, b) = (start_instance(&log, "a", 1), start_instance(&log, "b", 1));
    run(&a, "k", "entered");
    assert_eq!(describe(&a.claim("k")), "answer entered");
    assert_eq!(describe(&b.claim("k")), "answer entered");
    assert_eq!(describe(&b.claim_for("k", 2, CALL_TIMEOUT)), "body differs");
}

/// Two instances receive the same call concurrently, twenty times. One runs it, and the other
/// caller waits for its answer.
#[test]
fn of_two_instances_one_runs_the_call() {
    let log = LogService::start(LogConfig::default()).unwrap();
    let instances = Arc::new([start_instance(&log, "a", 1), start_instance(&log, "b", 1)]);
    for round in 0..20 {
        let tasks = [0, 1].map(|i| {
            let instances = instances.clone();
            thread::spawn(move || match instances[i].claim(&format!("k{round}")) {
                ClaimOutcome::Run(claim) => {
                    assert!(claim.try_begin_sending());
                    claim.complete(answer("x"));
                    "run".to_owned()
                }
                other => describe(&other),
            })
        });
        let mut outcomes = tasks.map(|task| task.join().unwrap());
        outcomes.sort();
        assert_eq!(outcomes, ["answer x", "run"]);
    }
}

/// The append of a claim fails in the given way; the claim is appended again and the call runs
/// once.
macro_rules! append_faults {
    ($($case:ident: $fault:expr;)*) => {$(
        #[test]
        fn $case() {
            let log = LogService::start(LogConfig::default()).unwrap();
            let (a, b) = (start_instance(&log, "a", 1), start_instance(&log, "b", 1));
            a.wait_ready();
            log.plan_fault(STREAM, $fault);
            run(&a, "k", "x");
            assert_eq!(describe(&b.claim("k")), "answer x");
            run(&a, "k2", "y");
            assert_eq!(describe(&b.claim("k2")), "answer y");
        }
    )*};
}

append_faults! {
    an_append_whose_answer_is_lost: AppendFault::LoseAnswer;
    an_append_that_hangs: AppendFault::Hang;
    an_append_that_takes_effect_late: AppendFault::Late(Duration::from_millis(300));
    an_append_that_is_refused_once: AppendFault::Refuse;
}

/// The instance that runs a call crashes and restarts under the same name. Whether the call ran
/// can't be determined, so it isn't run again.
#[test]
fn a_call_whose_claimant_died_stays_unknown() {
    let log = LogService::start(LogConfig::default()).unwrap();
    let (a, b) = (start_instance(&log, "a", 1), start_instance(&log, "b", 1));
    let claim = expect_run(a.claim("k"));
    assert!(claim.try_begin_sending());
    std::mem::forget(claim);
    drop(a);
    let a = start_instance(&log, "a", 2);
    for instance in [&a, &b] {
        let wait = Duration::from_millis(300);
        assert_eq!(describe(&instance.claim_for("k", 1, wait)), "unknown");
    }
}

/// A caller disconnects before anything was sent, and retries: the call may run, once.
#[test]
fn a_call_given_up_before_it_was_sent_may_run_later() {
    let log = LogService::start(LogConfig::default()).unwrap();
    let (a, b) = (start_instance(&log, "a", 1), start_instance(&log, "b", 1));
    assert_eq!(expect_run(a.claim("k")).abandon(), RunStatus::No);
    wait_until(|| match b.claim_for("k", 1, CALL_TIMEOUT) {
        ClaimOutcome::Run(claim) => {
            assert!(claim.try_begin_sending());
            claim.complete(answer("x"));
            true
        }
        // The call arrived before the first caller's "not run" was in the log.
        ClaimOutcome::NotRun => false,
        other => panic!("{}", describe(&other)),
    });
    assert_eq!(describe(&a.claim("k")), "answer x");
}

/// Two callers send one registration concurrently. The claimant is abandoned before it has sent
/// anything, and its caller is told "not run". The call that waited for it must not run any more.
#[test]
fn a_call_that_waited_hears_not_run_as_well() {
    let log = LogService::start(LogConfig::default()).unwrap();
    let (a, b) = (start_instance(&log, "a", 1), start_instance(&log, "b", 1));
    let claim = expect_run(a.claim("k"));
    // The second instance has read the first claim before its call arrives.
    wait_until(|| b.ledger.key_count() == 1);
    let b = Arc::new(b);
    let second = b.clone();
    let waiting = thread::spawn(move || describe(&second.claim("k")));
    wait_until(|| b.ledger.waiting_calls() == 1);
    assert_eq!(claim.abandon(), RunStatus::No);
    assert_eq!(waiting.join().unwrap(), "not run");
    run(&b, "k", "x");
}

/// The holder of a claim is paused until after its caller's deadline and resumes.
#[test]
fn nothing_is_sent_after_the_deadline() {
    let log = LogService::start(LogConfig::default()).unwrap();
    let a = start_instance(&log, "a", 1);
    a.wait_ready();
    let claim = expect_run(a.claim_for("k", 1, Duration::from_millis(500)));
    thread::sleep(Duration::from_millis(600));
    assert!(!claim.try_begin_sending());
}

/// While the log is down, calls are refused immediately with a true outcome, and known answers are
/// returned. Calls run again once it is back.
#[test]
fn a_log_outage_refuses_calls_at_once() {
    let log = LogService::start(LogConfig::default()).unwrap();
    let a = start_instance(&log, "a", 1);
    run(&a, "before", "x");
    for outage in [Outage::Refuses, Outage::Silent] {
        log.set_outage(outage);
        let first = describe(&a.claim("during"));
        // An append without a reply may have taken effect.
        let expected = if outage == Outage::Refuses { "log down" } else { "unknown" };
        assert_eq!(first, expected);
        wait_until(|| !a.ledger.is_ready());
        assert_eq!(describe(&a.claim("during too")), "log down");
        assert_eq!(describe(&a.claim("before")), "answer x");
        log.set_outage(Outage::Up);
        a.wait_ready();
    }
    run(&a, "during too", "y");
    run(&a, "during", "z");
}

/// An instance that starts while the log is down doesn't know earlier calls and must report that.
#[test]
fn an_instance_that_has_read_nothing_never_says_not_run() {
    let log = LogService::start(LogConfig::default()).unwrap();
    log.set_outage(Outage::Refuses);
    let a = start_instance(&log, "a", 1);
    assert_eq!(describe(&a.claim("k")), "behind");
}

/// The log drops all but its latest records, which include a checkpoint. An instance that starts
/// now still returns the first answer.
#[test]
fn a_trimmed_log_loses_no_answer() {
    let cfg = LogConfig { keep: 60, ..LogConfig::default() };
    let log = LogService::start(cfg).unwrap();
    let a = start_instance_with(&log, "a", 1, Duration::from_millis(400));
    run(&a, "first", "x");
    for i in 0..120 {
        run(&a, &format!("k{i}"), "y");
    }
    let b = start_instance(&log, "b", 1);
    assert_eq!(describe(&b.claim("first")), "answer x");
    run(&b, "k", "z");
    assert_eq!(describe(&a.claim("k")), "answer z");
}
