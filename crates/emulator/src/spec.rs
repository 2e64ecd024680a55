//! Format of an experiment's file: the site, its load and the placement policies to compare.

use indexmap::IndexMap;
use policy::{placement::PlacementRules, routes::EngineRules};
use serde::{Deserialize, Serialize};

use crate::placer::{PlacerName, Trial};

/// Placement parameters by the variant's name. Parameters that a variant doesn't set have their
/// default values.
pub type Variants = IndexMap<String, PlacementRules>;

/// A site, its load and the placement policies that are tried on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSpec {
    /// Published speed and capacity of the engines.
    pub engine: EngineRules,
    /// Number of engines.
    pub engines: usize,
    /// Number of instances that place requests on the engines.
    pub instances: usize,
    /// Delivery time of an update between instances, in milliseconds.
    pub word_ms: f64,
    /// Share of the updates between instances that are lost, from 0 up to, but not including, 1.
    #[serde(default)]
    pub word_loss: f64,
    /// Time during which callers send requests, in seconds.
    pub seconds: f64,
    /// Kinds of request, each with its own rate, sizes and goals.
    pub kinds: Vec<RequestKind>,
    /// Time spans in which the rate of a kind differs.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Engines that fail and don't recover.
    #[serde(default)]
    pub deaths: Vec<EngineFailure>,
    /// Placement policies; each is simulated.
    pub policies: Vec<PlacerName>,
    /// Other parameters of [`PlacerName::Arranger`], by name; each is simulated.
    #[serde(default)]
    pub variants: Variants,
    /// Seeds; each policy and variant is simulated with each of them.
    pub seeds: Vec<u64>,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name of the kind.
    pub name: String,
    /// Requests per second outside bursts.
    pub per_s: f64,
    /// Mean length of a prompt, in tokens.
    pub prompt: f64,
    /// Standard deviation of the logarithm of the prompt length.
    pub spread: f64,
    /// Maximum length of a prompt, in tokens.
    pub longest: f64,
    /// Mean number of events of an answer.
    pub events: f64,
    /// Time within which the first event is on time, in milliseconds.
    pub goal_ms: f64,
    /// Longest pause between events that is on time, in milliseconds.
    pub pause_ms: f64,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: f64,
    /// Value of an answer that is on time.
    pub worth: f64,
    /// Value of a late answer.
    pub late_worth: f64,
}

/// A time span in which the rate of one kind is higher or lower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Name of the kind.
    pub kind: String,
    /// Start, in seconds.
    pub from_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Factor by which the kind's rate is multiplied.
    pub times: f64,
}

/// Permanent failure of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFailure {
    /// Index of the engine.
    pub engine: usize,
    /// Time of the failure, in seconds.
    pub at_s: f64,
}

impl SiteSpec {
    /// All trials: the policies, then the variants, in the order of the file.
    pub fn trials(&self) -> Vec<Trial> {
        let policies = self.policies.iter().map(|policy| Trial::from(*policy));
        let variants = self.variants.iter().map(|(name, placement)| Trial {
            name: name.clone(),
            policy: PlacerName::Arranger,
            placement: *placement,
        });
        policies.chain(variants).collect()
    }

    /// Parses and checks the text of an experiment's file.
    ///
    /// # Errors
    ///
    /// All errors found in the file.
    pub fn parse(text: &str) -> Result<SiteSpec, Vec<String>> {
        let spec: SiteSpec = serde_json::from_str(text).map_err(|e| vec![e.to_string()])?;
        let findings = spec.findings();
        if findings.is_empty() { Ok(spec) } else { Err(findings) }
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        let mut check = |is_valid: bool, message: String| {
            if !is_valid {
                findings.push(message);
            }
        };
        check(self.engines > 0, "engines: expected at least one".to_owned());
        check(self.instances > 0, "instances: expected at least one".to_owned());
        check(
            self.seconds > 0.0,
            format!("seconds: expected a number above 0, found {}", self.seconds),
        );
        check(!self.policies.is_empty(), "policies: expected at least one".to_owned());
        check(!self.seeds.is_empty(), "seeds: expected at least one".to_owned());
        check(
            (0.0..1.0).contains(&self.word_loss),
            format!("word_loss: expected a number from 0 to below 1, found {}", self.word_loss),
        );
        for (i, burst) in self.bursts.iter().enumerate() {
            let is_known = self.kinds.iter().any(|kind| kind.name == burst.kind);
            check(is_known, format!("bursts[{i}].kind: there is no kind \"{}\"", burst.kind));
        }
        for (i, failure) in self.deaths.iter().enumerate() {
            let is_known = failure.engine < self.engines;
            check(is_known, format!("deaths[{i}].engine: there is no engine {}", failure.engine));
        }
        for (i, kind) in self.kinds.iter().enumerate() {
            check(
                kind.prompt > 0.0,
                format!("kinds[{i}].prompt: expected a number above 0, found {}", kind.prompt),
            );
            check(
                kind.goal_ms > 0.0,
                format!("kinds[{i}].goal_ms: expected a number above 0, found {}", kind.goal_ms),
            );
        }
        findings
    }
}
