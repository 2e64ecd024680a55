//! `trefoilhall check`: all findings of a folder at once.

use std::path::Path;

use daemon::{folder::read_folder, settings::Settings};
use policy::config::{Finding, Findings, LoadedConfig, SourceFile, load};
use serde::Serialize;

use crate::{
    cli::{CheckArgs, Format},
    error::{CliResult, Exit},
    output,
};

/// One finding as printed in JSON.
#[derive(Serialize)]
struct FindingLine {
    file: Option<String>,
    line: Option<usize>,
    column: Option<usize>,
    path: String,
    message: String,
}

impl From<&Finding> for FindingLine {
    fn from(finding: &Finding) -> Self {
        let place = finding.location.as_ref();
        FindingLine {
            file: place.map(|place| place.file.to_string()),
            line: place.map(|place| place.line),
            column: place.map(|place| place.column),
            path: finding.path.clone(),
            message: finding.message.clone(),
        }
    }
}

/// A folder that has passed every check.
pub struct Checked {
    /// Its files.
    pub files: Vec<SourceFile>,
    /// What they hold.
    pub loaded: LoadedConfig,
}

/// Runs the command.
pub fn run(args: &CheckArgs, format: Format) -> CliResult {
    match check(&args.dir) {
        Ok(checked) => {
            print_summary(&checked, format)?;
            Ok(Exit::Done)
        }
        Err(findings) => {
            print_findings(&findings, format)?;
            Ok(Exit::Findings)
        }
    }
}

/// Reads and checks a folder, its settings included.
pub fn check(dir: &Path) -> Result<Checked, Findings> {
    let files = read_folder(dir)?;
    let loaded = load(&files)?;
    if let Some(node) = &loaded.settings {
        let mut findings = Findings::default();
        Settings::read(node, &mut findings);
        findings.into_result(())?;
    }
    Ok(Checked { files, loaded })
}

/// Prints findings, one a line.
pub fn print_findings(findings: &Findings, format: Format) -> CliResult<()> {
    match format {
        Format::Table => output::print(&findings.to_string()),
        Format::Json => {
            let lines: Vec<_> = findings.iter().map(FindingLine::from).collect();
            output::print_json(&lines)
        }
    }
}

fn print_summary(checked: &Checked, format: Format) -> CliResult<()> {
    let config = &checked.loaded.config;
    match format {
        Format::Table => output::print(&format!(
            "no findings: {} files, {} data centres, {} workspaces, {} endpoints, {} deployments",
            checked.files.len(),
            config.data_centres.len(),
            config.workspaces.len(),
            config.endpoints.len(),
            config.deployments.len(),
        )),
        Format::Json => output::print_json::<[FindingLine; 0]>(&[]),
    }
}
