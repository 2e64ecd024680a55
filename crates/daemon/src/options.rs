//! Turns the command line and the folder it names into checked types.

use std::fmt;

use error_stack::Report;
use policy::config::{Config, Findings, SETTINGS_MEMBER, load};

use crate::{cli::Args, folder::read_folder, settings::Settings};

/// What the daemon was started with.
#[derive(Debug)]
pub struct Options {
    /// The settings of this process.
    pub settings: Settings,
    /// The configuration, where it doesn't come from the log.
    pub config: Option<Config>,
}

/// The folder can't be used, for all these reasons.
#[derive(Debug)]
pub struct FolderError(pub Findings);

impl fmt::Display for FolderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let texts: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        write!(f, "the configuration folder can't be used: {}", texts.join("; "))
    }
}

impl std::error::Error for FolderError {}

impl Options {
    /// Reads the folder that `args` name.
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
        let is_local = settings.log.is_none() && settings.routing.is_none();
        let config = is_local.then_some(loaded.config);
        Ok(Options { settings, config })
    }
}
