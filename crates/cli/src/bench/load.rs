//! The load generator. It is open-loop: calls leave at their planned times however slow the answers
//! are, and a call's time counts from its plan, so that a stall isn't hidden by fewer calls.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use policy::Fingerprint;
use smol::{Executor, Timer, channel::bounded};
use standin::client::{Prompt, Reply};

use crate::{
    bench::{band::Band, plan::Action},
    fleet::Fleet,
};

/// Threads that callers run on. One reads about 30,000 events a second; the patterns stay below
/// half of that.
const THREADS: usize = 3;
/// How long callers wait beyond their deadline, to see answers that come late.
pub const GRACE: Duration = Duration::from_secs(2);
/// A caller that re-sends at once does so after this, as a client library without backoff would.
const RESEND_PAUSE: Duration = Duration::from_millis(20);

/// A call, ready to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// When it leaves, from the start of the run.
    pub at: Duration,
    /// What it sends.
    pub prompt: Prompt,
    /// The prompt's fingerprint, by which engines count its runs.
    pub fingerprint: Fingerprint,
    /// The prompt's band.
    pub band: Band,
    /// Who sends it.
    pub workspace: usize,
    /// How long after `at` its answer is due.
    pub deadline: Duration,
    /// How often its caller sends it again after a refusal or failure.
    pub resends: u32,
}

/// Something done to the engines in mid-run.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// When, from the start of the run.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// What became of a call.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The call.
    pub call: Call,
    /// The last reply.
    pub reply: Reply,
    /// From the plan to the first token of the last reply.
    pub first_token: Option<Duration>,
    /// From the plan to the end of the last reply.
    pub total: Duration,
    /// How many of its replies said that it wasn't run.
    pub not_run: u32,
    /// How often it was sent.
    pub sends: u32,
}

/// Sends all calls in time and waits for all answers, each of which ends by its own limit. Calls
/// `ended` at the end of each.
pub fn drive<F>(fleet: &Fleet, calls: Vec<Call>, faults: Vec<Fault>, ended: F) -> Vec<Sample>
where
    F: Fn() + Clone + Send + 'static,
{
    let entries: Arc<[SocketAddr]> = fleet.entries().into();
    let ex = Arc::new(Executor::new());
    let (stop, stopped) = bounded::<()>(1);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            let (ex, stopped) = (ex.clone(), stopped.clone());
            // The receiver fails once the sender is gone, which ends the thread.
            scope.spawn(move || smol::block_on(ex.run(stopped.recv())).is_err());
        }
        let start = Instant::now();
        let samples = smol::block_on(async {
            let disturb = async {
                for fault in faults {
                    Timer::at(start + fault.at).await;
                    fault.action.apply(fleet);
                }
            };
            let send = send_all(&ex, &entries, calls, start, ended);
            futures_lite::future::zip(send, disturb).await.0
        });
        drop(stop);
        samples
    })
}

async fn send_all<F>(
    ex: &Executor<'static>,
    entries: &Arc<[SocketAddr]>,
    calls: Vec<Call>,
    start: Instant,
    ended: F,
) -> Vec<Sample>
where
    F: Fn() + Clone + Send + 'static,
{
    let mut tasks = Vec::with_capacity(calls.len());
    for (number, call) in calls.into_iter().enumerate() {
        Timer::at(start + call.at).await;
        let (entries, ended) = (entries.clone(), ended.clone());
        tasks.push(ex.spawn(async move {
            let sample = send(entries, number, call, start).await;
            ended();
            sample
        }));
    }
    let mut samples = Vec::with_capacity(tasks.len());
    for task in tasks {
        samples.push(task.await);
    }
    samples
}

/// Sends one call to the instances in turn, as often as its caller does.
async fn send(entries: Arc<[SocketAddr]>, number: usize, call: Call, start: Instant) -> Sample {
    let planned = start + call.at;
    let (mut sends, mut not_run) = (0, 0);
    loop {
        let entry = entries[(number + sends as usize) % entries.len()];
        let lag = planned.elapsed();
        let left = call.deadline.saturating_sub(lag).max(Duration::from_millis(1));
        let mut prompt = call.prompt.clone().header("x-deadline-ms", left.as_millis());
        prompt.patience = left + GRACE;
        let reply = prompt.send(entry).await;
        sends += 1;
        not_run += u32::from(reply.ran.as_deref() == Some("no"));
        if reply.whole || sends > call.resends || planned.elapsed() >= call.deadline {
            let first_token = reply.first_token.map(|span| span + lag);
            let total = lag + reply.total;
            return Sample { call, reply, first_token, total, not_run, sends };
        }
        Timer::after(RESEND_PAUSE).await;
    }
}
