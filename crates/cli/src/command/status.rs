//! `trefoilhall status`: each instance and each endpoint, as the asked instance can tell.

use daemon::admin::Status;

use crate::{
    cli::{Format, TargetArgs},
    error::{CliResult, Exit},
    instance::Instance,
    options::Target,
    output,
};

/// Runs the command.
pub fn run(args: &TargetArgs, format: Format) -> CliResult {
    let fleet = Instance::new(Target::try_from(args)?).fleet()?;
    match format {
        Format::Json => output::print_json(&fleet)?,
        Format::Table => print_tables(&fleet)?,
    }
    Ok(Exit::Done)
}

fn print_tables(fleet: &[Status]) -> CliResult<()> {
    let mut rows: Vec<_> = fleet.iter().map(instance_row).collect();
    if let Some(own) = fleet.first() {
        let silent = own
            .peers
            .iter()
            .filter(|peer| !fleet.iter().any(|status| status.instance == peer.instance));
        rows.extend(silent.map(|peer| {
            let name = peer.instance.to_string();
            let none = String::new;
            [name, none(), none(), "no answer".to_owned(), peer.state.clone(), none()]
        }));
    }
    let head = ["instance", "data centre", "version", "ready", "stage", "under way"];
    output::print_table(head, rows)?;
    let Some(own) = fleet.first() else { return Ok(()) };
    let rows = own.endpoints.iter().map(|endpoint| {
        let state =
            if endpoint.ejected { "ejected".to_owned() } else { format!("{:?}", endpoint.state) };
        [
            endpoint.endpoint.to_string(),
            endpoint.group.to_string(),
            endpoint.data_centre.to_string(),
            state.to_lowercase(),
            endpoint.running.to_string(),
            format!("{:.0}", endpoint.prefill_rate),
        ]
    });
    output::print("")?;
    let head = ["endpoint", "group", "data centre", "state", "running", "prefill tokens/s"];
    output::print_table(head, rows.collect())
}

fn instance_row(status: &Status) -> [String; 6] {
    [
        status.instance.to_string(),
        status.data_centre.to_string(),
        status.config_version.to_string(),
        if status.ready { "yes" } else { "no" }.to_owned(),
        status.stage.clone(),
        status.under_way.to_string(),
    ]
}
