//! Data centres that operators have drained.
//!
//! **Load pattern.** Operators take a whole failure domain out of service at once: a data centre
//! before maintenance, or one that is expected to fail. Several may be drained together, and one of
//! them may hold all endpoints of a group.
//!
//! **Without it.** Endpoints of the data centre look idle and healthy, so retries, hedges, resumed
//! streams and parts of split prompts go on being sent there until it fails.
//!
//! **Rule.** Endpoints of a drained data centre are treated like leaving ones: what runs there goes
//! on, and nothing new is sent. A request for which no other endpoint is left is refused at once.
//! The whole set is replaced by each newer state of the source, so a lost or repeated message can't
//! leave a data centre drained.
//!
//! **Grounds.** A request is placed at most some hundred milliseconds before it is sent, so
//! checking at placement, and again after a hold, keeps the operators' bound of seconds.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::DataCentre;

/// The drained data centres, as of one state of the source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DrainedDataCentres(IndexSet<DataCentre>);

impl DrainedDataCentres {
    /// Adds a data centre.
    pub fn insert(&mut self, data_centre: DataCentre) {
        self.0.insert(data_centre);
    }

    /// Removes a data centre that is in service again.
    pub fn remove(&mut self, data_centre: &DataCentre) {
        self.0.shift_remove(data_centre);
    }

    /// Whether a data centre is drained.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.0.contains(data_centre)
    }

    /// All drained data centres.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &DataCentre> {
        self.0.iter()
    }
}
