//! What an experiment plays, as it stands in its file.

use indexmap::IndexMap;
use policy::{placement::PlacementRules, routes::EngineRules};
use serde::{Deserialize, Serialize};

use crate::placer::{PlacerName, Trial};

/// Rules of placement by name. What a variant doesn't name is as usual.
pub type Variants = IndexMap<String, PlacementRules>;

/// A site and what is tried on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSpec {
    /// The engines' published figures.
    pub engine: EngineRules,
    /// How many engines there are.
    pub engines: usize,
    /// How many instances place work on them.
    pub instances: usize,
    /// Milliseconds that a word between instances takes.
    pub word_ms: f64,
    /// The share of words that are lost.
    #[serde(default)]
    pub word_loss: f64,
    /// How long callers send, in seconds.
    pub seconds: f64,
    /// The kinds of request.
    pub kinds: Vec<RequestKind>,
    /// Changes of the load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Engines that stop answering, never to return.
    #[serde(default)]
    pub deaths: Vec<EngineFailure>,
    /// What places the requests; each is tried.
    pub policies: Vec<PlacerName>,
    /// Other rules for the product's own placing, by name; each is tried.
    #[serde(default)]
    pub variants: Variants,
    /// Each is played with each policy and variant.
    pub seeds: Vec<u64>,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Its name.
    pub name: String,
    /// Requests a second outside bursts.
    pub per_s: f64,
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Spread of the logarithm of its length.
    pub spread: f64,
    /// The longest prompt.
    pub longest: f64,
    /// Mean events of an answer.
    pub events: f64,
    /// Milliseconds to a first event that is on time.
    pub goal_ms: f64,
    /// Milliseconds of the longest pause that is on time.
    pub pause_ms: f64,
    /// Milliseconds that a caller waits in all.
    pub deadline_ms: f64,
    /// What an answer is worth that is on time.
    pub worth: f64,
    /// What a late one is worth.
    pub late_worth: f64,
}

/// A span with more or less of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The kind.
    pub kind: String,
    /// When it begins, in seconds.
    pub from_s: f64,
    /// How long it lasts.
    pub for_s: f64,
    /// How many times the usual rate.
    pub times: f64,
}

/// An engine that dies.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFailure {
    /// Which one.
    pub engine: usize,
    /// When, in seconds.
    pub at_s: f64,
}

impl SiteSpec {
    /// All that is tried, in the order of the file.
    pub fn trials(&self) -> Vec<Trial> {
        let policies = self.policies.iter().map(|policy| Trial::from(*policy));
        let variants = self.variants.iter().map(|(name, placement)| Trial {
            name: name.clone(),
            policy: PlacerName::Arranger,
            placement: *placement,
        });
        policies.chain(variants).collect()
    }

    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// What is wrong with it, all findings together.
    pub fn parse(text: &str) -> Result<SiteSpec, Vec<String>> {
        let spec: SiteSpec = serde_json::from_str(text).map_err(|e| vec![e.to_string()])?;
        let findings = spec.findings();
        if findings.is_empty() { Ok(spec) } else { Err(findings) }
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        let mut check = |is_fine: bool, what: String| {
            if !is_fine {
                findings.push(what);
            }
        };
        check(self.engines > 0, "engines: there has to be one at least".to_owned());
        check(self.instances > 0, "instances: there has to be one at least".to_owned());
        check(self.seconds > 0.0, format!("seconds: {} isn't a time to play", self.seconds));
        check(!self.policies.is_empty(), "policies: none is named".to_owned());
        check(!self.seeds.is_empty(), "seeds: none is named".to_owned());
        check((0.0..1.0).contains(&self.word_loss), format!("word_loss: {}", self.word_loss));
        for (i, burst) in self.bursts.iter().enumerate() {
            let is_known = self.kinds.iter().any(|kind| kind.name == burst.kind);
            check(is_known, format!("bursts[{i}].kind: there is no kind \"{}\"", burst.kind));
        }
        for (i, death) in self.deaths.iter().enumerate() {
            let is_known = death.engine < self.engines;
            check(is_known, format!("deaths[{i}].engine: there is no engine {}", death.engine));
        }
        for (i, kind) in self.kinds.iter().enumerate() {
            check(kind.prompt > 0.0, format!("kinds[{i}].prompt: {} tokens", kind.prompt));
            check(kind.goal_ms > 0.0, format!("kinds[{i}].goal_ms: {} ms", kind.goal_ms));
        }
        findings
    }
}
