//! Runs an instance that forwards requests by the sites' own routes.

use std::{path::PathBuf, sync::Arc, thread};

use async_signal::{Signal, Signals};
use error_stack::{Report, ResultExt};
use futures_lite::StreamExt;
use router::{Instance, instance::StartError};
use smol::{Executor, channel::bounded};

use crate::{
    cli::Args,
    instance::run_tasks,
    limits,
    options::Options,
    settings::{RoutingSettings, Settings},
};

/// Runs until the process receives SIGTERM or SIGINT, then shuts down gracefully. SIGHUP checks the
/// settings again.
pub(crate) fn run(
    settings: &Settings,
    routing: &RoutingSettings,
    config: PathBuf,
    mut signals: Signals,
) -> Result<(), Report<StartError>> {
    let executor = Arc::new(Executor::new());
    let (stop_tx, stop_rx) = bounded::<()>(1);
    let threads = settings.threads.unwrap_or(1);
    for index in 1..threads {
        let (executor, stop_rx) = (executor.clone(), stop_rx.clone());
        let builder = thread::Builder::new().name(format!("trefoilhall-{index}"));
        if let Err(e) = builder.spawn(move || run_tasks(&executor, &stop_rx)) {
            log::warn!(cause:% = e; "thread_not_started");
        }
    }
    let sources = platform::sources(routing.log_service, &executor);
    let dialect = platform::PlatformDialect;
    let router_settings = settings.router_settings(routing, limits::of_machine(settings));
    let main = async {
        let started = Instance::start(router_settings, dialect, sources, executor.clone()).await;
        let instance = started.map_err(Report::from).attach("the instance can't start")?;
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => check_settings(settings, &config),
                _ => break,
            }
        }
        instance.close().await;
        Ok(())
    };
    let result = smol::block_on(executor.run(main));
    drop(stop_tx);
    result
}

/// Reads the settings again and logs whether they have changed. Addresses and bounds can't change
/// while the process runs; the log line shows the operator that a restart is needed.
fn check_settings(settings: &Settings, config: &std::path::Path) {
    let args = Args { config: config.to_owned(), log_level: crate::cli::LogLevel::Info };
    match Options::read(&args) {
        Ok(options) => {
            let changed = options.settings != *settings;
            log::info!(changed, needs_restart = changed; "settings_reloaded");
        }
        Err(report) => log::warn!(cause:% = format!("{report:#}"); "settings_not_reloaded"),
    }
}
