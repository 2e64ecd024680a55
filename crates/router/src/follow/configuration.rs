//! Follows the configuration.

use std::{sync::Arc, time::Duration};

use smol::Timer;

use super::Contact;
use crate::{
    lock,
    source::ConfigSource,
    state::{Configuration, Groups},
};

/// Pause after a failed reading. Several fit into the time within which a change has to be in
/// force, and all instances together stay far below what a store refuses.
const RETRY: Duration = Duration::from_millis(200);

/// Reads on until it is dropped.
pub async fn follow(
    mut source: impl ConfigSource,
    configuration: Arc<Configuration>,
    groups: Arc<Groups>,
) {
    let mut contact = Contact::new("configuration");
    loop {
        match source.read().await {
            Ok(reading) => {
                contact.answered();
                if let Some(table) = reading.news {
                    let version = table.version;
                    if configuration.put(table) {
                        log::info!(version = version.0; "config_in_force");
                        set_rules(&configuration, &groups);
                    }
                }
                configuration.confirm(reading.as_of);
            }
            Err(e) => {
                contact.failed(&e);
                Timer::after(RETRY.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
            }
        }
    }
}

fn set_rules(configuration: &Configuration, groups: &Groups) {
    for (name, rules) in &configuration.table().groups {
        let group = groups.get_or_add(name);
        lock(&group.arranger).set_rules(rules.engine.clone());
    }
}
