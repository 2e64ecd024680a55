//! `trefoilhall publish`: shows what changes, publishes it, and waits until it is in force.

use std::{thread, time::Duration};

use daemon::admin::publish::{PublishAnswer, PublishRequest};
use policy::{
    config::{SourceFile, Version},
    publication::{AuditEntry, FieldChange, check_change, difference},
};
use serde::Serialize;
use uuid::Uuid;

use super::check::{check, print_findings};
use crate::{
    cli::{Format, PublishArgs},
    error::{CliResult, Exit},
    instance::Instance,
    options::Target,
    output,
};

/// Time between two looks at what is in force.
const LOOK: Duration = Duration::from_millis(100);

/// What is printed in JSON.
#[derive(Serialize)]
struct PublishReport<'a> {
    base: Version,
    changes: &'a [FieldChange],
    outcome: Outcome,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    Unchanged,
    NotPublished,
    InForce { version: Version, instances: Vec<String> },
    Pending { version: Version, missing: Vec<String> },
    Conflict { version: Version, since: Vec<AuditEntry> },
    Rejected(Vec<String>),
    LogUnavailable,
    Unknown,
}

/// Runs the command.
pub fn run(args: &PublishArgs, format: Format) -> CliResult {
    let checked = match check(&args.dir) {
        Ok(checked) => checked,
        Err(findings) => {
            print_findings(&findings, format)?;
            return Ok(Exit::Findings);
        }
    };
    // Without its settings member a folder can serve one process and be published as well.
    if let Err(findings) = check_change(None, &checked.files) {
        print_findings(&findings, format)?;
        return Ok(Exit::Findings);
    }
    let instance = Instance::new(Target::try_from(&args.target)?);
    let current = instance.configuration()?;
    let base = args.base.map_or(current.version, Version);
    let changes = difference(&current.files, &checked.files);
    if format == Format::Table {
        print_changes(base, &changes)?;
    }
    let outcome = match args.dry_run {
        true => Outcome::NotPublished,
        false if changes.is_empty() && base == current.version && base > Version(0) => {
            Outcome::Unchanged
        }
        false => publish(&instance, args, base, checked.files)?,
    };
    let exit = outcome.exit();
    match format {
        Format::Json => output::print_json(&PublishReport { base, changes: &changes, outcome })?,
        Format::Table => output::print(&outcome.text())?,
    }
    Ok(exit)
}

fn print_changes(base: Version, changes: &[FieldChange]) -> CliResult<()> {
    output::print(&format!("{} members differ from version {base}", changes.len()))?;
    for change in changes {
        output::print(&change.to_string())?;
    }
    Ok(())
}

fn publish(
    instance: &Instance,
    args: &PublishArgs,
    base: Version,
    files: Vec<SourceFile>,
) -> CliResult<Outcome> {
    let id = Uuid::now_v7().to_string();
    let req = PublishRequest { id, base, by: args.by.clone(), files };
    Ok(match instance.publish(&req)? {
        PublishAnswer::Accepted(version) => wait(instance, version)?,
        PublishAnswer::Conflict { version, since } => Outcome::Conflict { version, since },
        PublishAnswer::Rejected(findings) => Outcome::Rejected(findings),
        PublishAnswer::NotAppended => Outcome::LogUnavailable,
        PublishAnswer::Unknown => Outcome::Unknown,
    })
}

/// Waits until every instance that can be reached says that the version is in force.
fn wait(instance: &Instance, version: Version) -> CliResult<Outcome> {
    loop {
        let fleet = instance.fleet()?;
        let (in_force, missing): (Vec<_>, Vec<_>) =
            fleet.iter().partition(|status| status.config_version >= version);
        let names = |list: Vec<&daemon::admin::Status>| {
            list.into_iter().map(|status| status.instance.to_string()).collect()
        };
        // An instance that is known and didn't answer isn't known to have the version.
        let peers = fleet.first().map_or(&[][..], |own| own.peers.as_slice());
        let silent = peers.iter().filter(|peer| {
            peer.state != "dead" && !fleet.iter().any(|status| status.instance == peer.instance)
        });
        let mut absent: Vec<String> = names(missing);
        absent.extend(silent.map(|peer| peer.instance.to_string()));
        if absent.is_empty() {
            return Ok(Outcome::InForce { version, instances: names(in_force) });
        }
        if instance.left() <= LOOK {
            return Ok(Outcome::Pending { version, missing: absent });
        }
        thread::sleep(LOOK);
    }
}

impl Outcome {
    fn exit(&self) -> Exit {
        match self {
            Outcome::Unchanged | Outcome::NotPublished | Outcome::InForce { .. } => Exit::Done,
            Outcome::Pending { .. } | Outcome::Unknown => Exit::Pending,
            Outcome::Conflict { .. } => Exit::Conflict,
            Outcome::Rejected(_) => Exit::Findings,
            Outcome::LogUnavailable => Exit::Failed,
        }
    }

    fn text(&self) -> String {
        match self {
            Outcome::Unchanged => "nothing to publish".to_owned(),
            Outcome::NotPublished => "not published (dry run)".to_owned(),
            Outcome::InForce { version, instances } => {
                format!("version {version} is in force on {}", instances.join(", "))
            }
            Outcome::Pending { version, missing } => format!(
                "version {version} is accepted; not known to be in force on {}",
                missing.join(", ")
            ),
            Outcome::Conflict { version, since } => conflict_text(*version, since),
            Outcome::Rejected(findings) => findings.join("\n"),
            Outcome::LogUnavailable => "the log takes nothing now; nothing has changed".to_owned(),
            Outcome::Unknown => "whether the change was accepted can't be told yet; `trefoilhall \
                                 audit` will show it"
                .to_owned(),
        }
    }
}

fn conflict_text(version: Version, since: &[AuditEntry]) -> String {
    let mut lines = vec![format!("not published: version {version} came first")];
    for entry in since {
        lines.push(format!("{} by {}:", entry.action, entry.by));
        lines.extend(entry.changes.iter().map(ToString::to_string));
    }
    lines.join("\n")
}
