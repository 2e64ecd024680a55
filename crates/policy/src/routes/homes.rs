//! The regions to which a route's or a workspace's requests are confined.

use std::sync::Arc;

use crate::Region;

/// Regions whose endpoints may run a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Homes {
    /// None where all regions are allowed.
    regions: Option<Arc<[Region]>>,
}

impl Homes {
    /// Allows all regions.
    pub fn everywhere() -> Homes {
        Homes::default()
    }

    /// Allows only these regions.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Homes {
        Homes { regions: Some(regions.into_iter().collect()) }
    }

    /// Whether an endpoint in this region may run the request. Where homes are set, an endpoint
    /// whose region isn't known may not.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        let Some(regions) = &self.regions else { return true };
        region.is_some_and(|region| regions.contains(region))
    }

    /// Allows what both allow.
    pub fn intersection(&self, other: &Homes) -> Homes {
        match (&self.regions, &other.regions) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(regions), Some(_)) => {
                Homes::only(regions.iter().filter(|region| other.allows(Some(region))).cloned())
            }
        }
    }
}
