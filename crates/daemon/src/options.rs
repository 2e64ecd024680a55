//! Reads the settings and the configuration from the folder given on the command line.

use std::fmt;

use error_stack::Report;
use policy::config::{Config, Findings, SETTINGS_MEMBER, load};

use crate::{cli::Args, folder::read_folder, settings::Settings};

/// The validated options of the daemon.
#[derive(Debug)]
pub struct Options {
    /// The settings of this process.
    pub settings: Settings,
    /// The configuration from the folder; `None` if it comes from the log or if the instance
    /// forwards requests by the sites' own routes.
    pub config: Option<Config>,
}

/// The configuration folder is invalid or can't be read; holds all findings.
#[derive(Debug)]
pub struct FolderError(pub Findings);

impl fmt::Display for FolderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        write!(f, "the configuration folder can't be used: {}", messages.join("; "))
    }
}

impl std::error::Error for FolderError {}

impl Options {
    /// Reads the folder given by `--config`.
    ///
    /// # Errors
    ///
    /// [`FolderError`] with every finding.
    pub fn read(args: &Args) -> Result<Options, Report<FolderError>> {
        let files = read_folder(&args.config).map_err(FolderError)?;
        let loaded = load(&files).map_err(FolderError)?;
        let mut findings = Findings::default();
        let settings = match &loaded.settings {
            Some(node) => Settings::read(node, &mut findings),
            None => {
                findings.push(None, SETTINGS_MEMBER, "expected the settings of this process");
                None
            }
        };
        let settings = findings.into_result(settings).map_err(FolderError)?;
        let settings = settings.ok_or_else(|| Report::new(FolderError(Findings::default())))?;
        let reads_local_config = settings.log.is_none() && settings.routing.is_none();
        let config = reads_local_config.then_some(loaded.config);
        Ok(Options { settings, config })
    }
}
