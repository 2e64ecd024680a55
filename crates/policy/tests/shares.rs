//! Shares of the workspaces in the time of engines that can't serve everything.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use fastrand::Rng;
use policy::{
    InstanceId, Time, Workspace,
    placement::update_interval,
    shares::{MAX_REPORTED, REPORT_INTERVAL, Shares, WorkspaceUsage, report_recipients},
};

/// What the others may lose by a large workspace, from the requirement.
const MAX_LOSS: f64 = 0.05;

const WORKSPACES: usize = 24;
/// The workspace that sends more than all others.
const LARGE: usize = 0;
/// Milliseconds of engines' time per millisecond.
const ENGINES: f64 = 78.0;
const STEP: Duration = Duration::from_millis(10);
const SPAN: Time = Time::from_millis(40_000);
/// How long a request waits for an engine.
const PATIENCE: Duration = Duration::from_secs(2);

fn workspace(index: usize) -> Workspace {
    Workspace::new(&format!("workspace-{index}")).unwrap()
}

fn instance(index: usize) -> InstanceId {
    InstanceId::new(&format!("instance-{index}")).unwrap()
}

/// Load on engines through several instances.
#[derive(Clone)]
struct Load {
    instances: usize,
    /// Engines' time that each workspace asks for, as a share of all.
    demand: Vec<f64>,
    /// How often callers of the large workspace repeat a request that wasn't served.
    repeats: u32,
    /// Requests of the large workspace come in bursts of a second in ten.
    is_hot: bool,
    /// Share of the reports that are lost.
    lost: f64,
    /// The first instance neither sends nor receives reports.
    is_partitioned: bool,
}

/// All but the large workspace ask for seven tenths of the engines' time, which is 3 in 100 for each,
/// less than its 24th. Together with the large one they ask for 1.4 times what there is.
fn half_of_the_load(instances: usize) -> Load {
    let mut demand = vec![0.7 / (WORKSPACES - 1) as f64; WORKSPACES];
    demand[LARGE] = 0.7;
    Load { instances, demand, repeats: 1, is_hot: false, lost: 0.0, is_partitioned: false }
}

struct Waiting {
    workspace: usize,
    cost_ms: f64,
    arrived: Time,
    attempt: u32,
}

impl Load {
    fn without_large(&self) -> Load {
        let mut load = self.clone();
        load.demand[LARGE] = 0.0;
        load
    }

    /// One in ten requests is long and takes 17 times what a short one does.
    fn arrivals(&self, now: Time, rngs: &mut [Rng], waiting: &mut [Vec<Waiting>]) {
        for ((workspace, demand), rng) in self.demand.iter().enumerate().zip(rngs) {
            let is_bursty = self.is_hot && workspace == LARGE;
            let demand = match now.0 % 10_000_000 < 1_000_000 {
                _ if !is_bursty => *demand,
                true => demand * 10.0,
                false => 0.0,
            };
            let mut expected = demand * ENGINES * STEP.as_secs_f64() * 1000.0 / 520.0;
            while expected > 0.0 {
                if rng.f64() < expected.min(1.0) {
                    let cost_ms = if rng.f64() < 0.1 { 3_400.0 } else { 200.0 };
                    let at = rng.usize(..self.instances);
                    waiting[at].push(Waiting { workspace, cost_ms, arrived: now, attempt: 0 });
                }
                expected -= 1.0;
            }
        }
    }

    /// Engines' time in milliseconds that each workspace gets, if waiting requests are served in the
    /// order of shares as far as the instances know them.
    /// Instances don't coordinate, so any of them may be the next that finds an engine free.
    fn run(&self, seed: u64) -> Vec<f64> {
        let mut rng = Rng::with_seed(seed);
        // Each workspace's callers do the same, whatever the others do.
        let mut callers: Vec<Rng> = (0..WORKSPACES).map(|_| rng.fork()).collect();
        let names: Vec<Workspace> = (0..WORKSPACES).map(workspace).collect();
        let mut shares: Vec<Shares> = (0..self.instances).map(|_| Shares::default()).collect();
        let mut waiting: Vec<Vec<Waiting>> = (0..self.instances).map(|_| Vec::new()).collect();
        let mut reports = BTreeMap::new();
        let mut served_ms = vec![0.0; WORKSPACES];
        let interval = update_interval(self.instances - 1).max(REPORT_INTERVAL);
        let mut report_at: Vec<Time> =
            (0..self.instances).map(|_| Time(rng.u64(..interval.as_micros() as u64))).collect();
        let (mut now, mut free_ms) = (Time::ZERO, 0.0_f64);
        while now < SPAN {
            self.arrivals(now, &mut callers, &mut waiting);
            for from in (0..self.instances).filter(|i| report_at[*i] <= now).collect::<Vec<_>>() {
                report_at[from] = now + interval;
                let Some(report) = shares[from].report(now) else { continue };
                let peers = (0..self.instances).filter(|to| *to != from);
                let peers =
                    rng.choose_multiple(peers, report_recipients(self.instances - 1, interval));
                for to in peers {
                    let is_cut = self.is_partitioned && (from == 0 || to == 0);
                    if !is_cut && rng.f64() >= self.lost {
                        let at = now + Duration::from_millis(rng.u64(20..=600));
                        reports.insert((at, from, to), report.clone());
                    }
                }
            }
            while let Some(entry) = reports.first_entry().filter(|entry| entry.key().0 <= now) {
                let ((_, from, to), report) = entry.remove_entry();
                shares[to].apply_report(&instance(from), &report, now);
            }
            free_ms = free_ms.min(0.0) + ENGINES * STEP.as_secs_f64() * 1000.0;
            while free_ms > 0.0
                && let Some((at, index)) = next(&mut shares, &names, &waiting, now, &mut rng)
            {
                let request = waiting[at].swap_remove(index);
                shares[at].record(&names[request.workspace], request.cost_ms, now);
                served_ms[request.workspace] += request.cost_ms;
                free_ms -= request.cost_ms;
            }
            for queue in &mut waiting {
                queue.retain_mut(|request| {
                    let repeats = if request.workspace == LARGE { self.repeats } else { 1 };
                    let has_waited = now.since(request.arrived) >= PATIENCE;
                    if has_waited && request.attempt < repeats {
                        (request.arrived, request.attempt) = (now, request.attempt + 1);
                        return true;
                    }
                    !has_waited
                });
            }
            now = now + STEP;
        }
        served_ms
    }

    fn assert_others_lose_little(&self) {
        let others = |load: &Load| (1..=2).map(|seed| others_ms(&load.run(seed))).sum::<f64>();
        let (alone, beside) = (others(&self.without_large()), others(self));
        let loss = 1.0 - beside / alone;
        assert!(loss <= MAX_LOSS, "the others lose {loss:.3}");
    }
}

fn others_ms(served_ms: &[f64]) -> f64 {
    served_ms[LARGE + 1..].iter().sum()
}

/// The next request that is served: one of a workspace within its share at some instance, as long as
/// there are any, and the one with the lowest rank there.
fn next(
    shares: &mut [Shares],
    names: &[Workspace],
    waiting: &[Vec<Waiting>],
    now: Time,
    rng: &mut Rng,
) -> Option<(usize, usize)> {
    let mut best = None;
    for (at, queue) in waiting.iter().enumerate() {
        let shares = &mut shares[at];
        let of_instance = queue.iter().enumerate().map(|(index, request)| {
            let name = &names[request.workspace];
            (shares.is_over_share(name, now), shares.rank(name, now), request.arrived, index)
        });
        if let Some((is_over, _, _, index)) = of_instance.min() {
            let key = (is_over, rng.u64(..), at, index);
            best = Some(best.map_or(key, |best| key.min(best)));
        }
    }
    best.map(|(_, _, at, index)| (at, index))
}

macro_rules! others_lose_little {
    ($($(#[$doc:meta])* $case:ident: $load:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $case() {
            $load.assert_others_lose_little();
        }
    )*};
}

others_lose_little! {
    /// One workspace sends half of the load, to one instance.
    half_of_the_load_at_one_instance: half_of_the_load(1);
    /// The same, spread over instances that know each other's usage from reports of 20 to 600 ms ago.
    half_of_the_load_at_4_instances: half_of_the_load(4);
    half_of_the_load_at_29_instances: half_of_the_load(29);
    half_of_the_load_at_86_instances: half_of_the_load(86);
    /// Guards against shares that need reports from all peers: each instance receives four a second.
    half_of_the_load_at_300_instances: half_of_the_load(300);
    /// The callers of the large workspace also repeat three times as often as those of the others.
    repeated_requests: Load { repeats: 3, ..half_of_the_load(86) };
    /// One key sends ten times its mean for a second in ten.
    hot_key: Load { is_hot: true, ..half_of_the_load(86) };
    /// Three in ten reports are lost.
    lost_reports: Load { lost: 0.3, ..half_of_the_load(86) };
    /// One instance hears nothing of the others, nor they of it.
    partitioned_instance: Load { is_partitioned: true, ..half_of_the_load(29) };
}

/// Three workspaces in four ask for nothing in all the time. Guards against engines that are kept
/// free for them.
#[test]
fn unused_shares_go_to_others() {
    let mut load = half_of_the_load(29);
    load.demand[WORKSPACES / 4..].fill(0.0);
    load.demand[LARGE] = 2.0;
    let served_ms = load.run(1);
    let others: f64 = load.demand[LARGE + 1..].iter().sum();
    let large = served_ms[LARGE] / (ENGINES * SPAN.0 as f64 / 1000.0);
    assert!(large >= 1.0 - others - 0.02, "{large:.3} beside {others:.3}");
}

/// The engines can serve everything that is asked for. Guards against a large workspace that gets
/// less than without the others although it uses only what they leave.
#[test]
fn nobody_is_held_back_where_there_is_enough() {
    let mut load = half_of_the_load(29);
    load.demand.iter_mut().for_each(|demand| *demand *= 0.5);
    let mut alone = load.clone();
    alone.demand[LARGE + 1..].fill(0.0);
    let (beside, alone) = (load.run(1), alone.run(1));
    assert!(beside[LARGE] >= alone[LARGE] * 0.99);
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn reported(index: usize, used_ms: u32) -> WorkspaceUsage {
    WorkspaceUsage { workspace: (&workspace(index)).into(), used_ms, is_active: true }
}

#[track_caller]
fn assert_usage(shares: &Shares, index: usize, now: Time, expected: f64) {
    let usage = shares.usage(&workspace(index), now);
    assert!((usage - expected).abs() < 0.01, "{usage} instead of {expected}");
}

#[test]
fn usage_halves_every_five_seconds() {
    let mut shares = Shares::default();
    shares.record(&workspace(0), 800.0, at(0));
    shares.apply_report(&instance(1), &[reported(0, 400)], at(0));
    assert_usage(&shares, 0, at(0), 1_200.0);
    assert_usage(&shares, 0, at(5_000), 600.0);
}

/// Guards against usage that is counted twice or kept forever because a report was repeated, late or
/// lost, or its sender has gone.
#[test]
fn the_latest_report_of_a_peer_counts() {
    let mut shares = Shares::default();
    let (one, two) = (instance(1), instance(2));
    for used_ms in [400, 400, 700] {
        shares.apply_report(&one, &[reported(0, used_ms), reported(1, 50)], at(0));
    }
    shares.apply_report(&two, &[reported(0, 100)], at(0));
    assert_usage(&shares, 0, at(0), 800.0);
    shares.apply_report(&one, &[reported(0, 300)], at(0));
    assert_usage(&shares, 0, at(0), 400.0);
    assert_usage(&shares, 1, at(0), 0.0);
    shares.remove_peer(&two, at(5_000));
    assert_usage(&shares, 0, at(5_000), 150.0);
    shares.report(at(21_000));
    assert_usage(&shares, 0, at(21_000), 0.0);
    assert!(shares.is_empty());
}

/// Guards against one wrong number that makes a workspace the last in the order for good.
#[test]
fn implausible_values_are_ignored() {
    let mut shares = Shares::default();
    for cost_ms in [f64::NAN, f64::INFINITY, -1.0, 1e12] {
        shares.record(&workspace(0), cost_ms, at(0));
    }
    shares.apply_report(&instance(1), &[reported(0, u32::MAX), reported(1, 5)], at(0));
    let invalid = [0.0, -2.0, f64::NAN, f64::INFINITY];
    shares.set_weights(invalid.map(|weight| (workspace(1), weight)));
    assert_usage(&shares, 0, at(0), 0.0);
    assert!(shares.rank(&workspace(0), at(0)) < shares.rank(&workspace(1), at(0)));
}

#[test]
fn a_charge_is_taken_back() {
    let mut shares = Shares::default();
    shares.record(&workspace(0), 1_000.0, at(0));
    shares.record(&workspace(0), 200.0, at(5_000));
    shares.refund(&workspace(0), 1_000.0, at(0), at(5_000));
    assert_usage(&shares, 0, at(5_000), 200.0);
}

#[test]
fn weights_divide_usage() {
    let mut shares = Shares::default();
    shares.set_weights([(workspace(0), 4.0)]);
    shares.record(&workspace(0), 300.0, at(0));
    shares.record(&workspace(1), 100.0, at(0));
    assert!(shares.rank(&workspace(0), at(0)) < shares.rank(&workspace(1), at(0)));
    assert!(!shares.is_over_share(&workspace(0), at(0)));
    assert!(shares.is_over_share(&workspace(1), at(0)));
}

/// Guards against a workspace that is held back for one that no longer asks.
#[test]
fn only_active_workspaces_have_a_share() {
    let mut shares = Shares::default();
    shares.record(&workspace(0), 900.0, at(0));
    assert!(!shares.is_over_share(&workspace(0), at(0)));
    shares.apply_report(&instance(1), &[reported(1, 100)], at(1_000));
    let idle = WorkspaceUsage { is_active: false, ..reported(2, 9_000) };
    shares.apply_report(&instance(2), &[idle], at(1_000));
    shares.record(&workspace(0), 100.0, at(2_000));
    assert!(shares.is_over_share(&workspace(0), at(2_000)));
    assert!(!shares.is_over_share(&workspace(1), at(2_000)));
    shares.record(&workspace(0), 100.0, at(4_500));
    assert!(!shares.is_over_share(&workspace(0), at(4_500)));
}

/// Guards against state that grows with the number of workspaces, and against forgetting those whose
/// usage matters.
#[test]
fn the_least_used_are_forgotten_first() {
    let mut shares = Shares::default();
    for index in 0..10_000 {
        shares.record(&workspace(index), if index < 100 { 5_000.0 } else { 10.0 }, at(0));
        assert!(shares.len() <= 4_096);
    }
    (0..100).for_each(|index| assert_usage(&shares, index, at(0), 5_000.0));
}

#[test]
fn a_report_lists_the_largest() {
    let mut shares = Shares::default();
    (0..300).for_each(|index| shares.record(&workspace(index), index as f64, at(0)));
    shares.apply_report(&instance(1), &[reported(0, 90_000)], at(0));
    let report = shares.report(at(0)).unwrap();
    let used: Vec<u32> = report.iter().map(|usage| usage.used_ms).collect();
    assert_eq!(used, (300 - MAX_REPORTED as u32..300).rev().collect::<Vec<_>>());
    assert_eq!(shares.largest(1, at(0)), [(workspace(0), 90_000.0)]);
}

/// Guards against traffic that grows with the number of instances: a report takes 257 bytes at most.
#[test]
fn reports_take_about_one_kilobyte_a_second() {
    for peers in [3, 28, 85, 299, 984, 1_999] {
        let interval = update_interval(peers).max(REPORT_INTERVAL);
        let per_s = report_recipients(peers, interval) as f64 / interval.as_secs_f64();
        assert!((3.0..=4.0).contains(&per_s), "{per_s:.2} a second with {peers} peers");
    }
}
