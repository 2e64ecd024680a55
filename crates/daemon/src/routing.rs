//! Runs an instance that passes requests on by the sites' own routes.

use std::{path::PathBuf, sync::Arc, thread};

use async_signal::{Signal, Signals};
use error_stack::{Report, ResultExt};
use futures_lite::StreamExt;
use router::{Instance, instance::StartError};
use smol::{Executor, channel::bounded};

use crate::{
    cli::Args,
    instance::work,
    options::Options,
    settings::{RoutingSettings, Settings},
};

/// Runs until the process is told to stop, which it does gracefully.
pub(crate) fn run(
    settings: &Settings,
    routing: &RoutingSettings,
    config: PathBuf,
    mut signals: Signals,
) -> Result<(), Report<StartError>> {
    let executor = Arc::new(Executor::new());
    let (stop, stopped) = bounded::<()>(1);
    let threads = settings.threads.unwrap_or(1);
    for index in 1..threads {
        let (executor, stopped) = (executor.clone(), stopped.clone());
        let named = thread::Builder::new().name(format!("trefoilhall-{index}"));
        if let Err(e) = named.spawn(move || work(&executor, &stopped)) {
            log::warn!(cause:% = e; "thread_not_started");
        }
    }
    let sources = platform::sources(routing.log_service, &executor);
    let dialect = platform::PlatformDialect;
    let router = settings.router(routing);
    let main = async {
        let started = Instance::start(router, dialect, sources, executor.clone()).await;
        let instance = started.map_err(Report::from).attach("the instance can't start")?;
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reload(settings, &config),
                _ => break,
            }
        }
        instance.close().await;
        Ok(())
    };
    let result = smol::block_on(executor.run(main));
    drop(stop);
    result
}

/// Reads the settings again. Addresses and bounds belong to the process's life; that they have
/// changed is told, so that an operator sees why a restart is due.
fn reload(settings: &Settings, config: &std::path::Path) {
    let args = Args { config: config.to_owned(), log_level: crate::cli::LogLevel::Info };
    match Options::read(&args) {
        Ok(options) => {
            let changed = options.settings != *settings;
            log::info!(changed, needs_restart = changed; "settings_reloaded");
        }
        Err(report) => log::warn!(cause:% = format!("{report:#}"); "settings_not_reloaded"),
    }
}
