//! Identifier types, distinct so that a workspace can't be passed where an endpoint is expected.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// Maximum length of a textual identifier. Identifiers are part of metric labels, log lines and
/// messages between instances, where an unbounded one would have an unbounded cost.
pub const MAX_ID_BYTES: usize = 128;

/// The reason why a text isn't a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text has this many bytes, more than [`MAX_ID_BYTES`].
    TooLong(usize),
    /// The text contains this character, which is outside `A-Z a-z 0-9 . _ - : /`.
    BadCharacter(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => write!(f, "the identifier is empty"),
            IdError::TooLong(len) => {
                write!(f, "the identifier has {len} bytes, more than {MAX_ID_BYTES}")
            }
            IdError::BadCharacter(c) => write!(
                f,
                "the identifier holds {c:?}; letters, digits and `.`, `_`, `-`, `:`, `/` are allowed"
            ),
        }
    }
}

impl std::error::Error for IdError {}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    match text.chars().find(|c| !(c.is_ascii_alphanumeric() || "._-:/".contains(*c))) {
        Some(c) => Err(IdError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks `text` and makes it an identifier of this kind.
            pub fn new(text: &str) -> Result<Self, IdError> {
                check_id(text).map(|()| Self(text.into()))
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::new(text)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    )*};
}

text_ids! {
    /// A running daemon, by the name in its settings.
    InstanceId,
    /// A data centre, such as `brasov-a`.
    DataCentre,
    /// A region, which holds one or more data centres.
    Region,
    /// A customer of the site, which has its own keys, share and limits.
    Workspace,
    /// A server that runs requests: an LLM engine or a server of a plain service.
    EndpointId,
    /// The group of endpoints that serves one deployment, such as `model-redactare`.
    EndpointGroup,
    /// An application or endpoint group with its own routes, models, limits and weights.
    Deployment,
    /// A model, by the name that callers use.
    Model,
}

/// Distinguishes successive processes that run under the same name. It only increases; a new
/// incarnation invalidates all state known of earlier ones.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A request within one instance. Together with the instance's incarnation and the attempt, it also
/// identifies the request to endpoints.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Hash of a request's body, by which all instances recognise calls that are sent again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Set in fingerprints of parts of prompts, and clear in those of whole requests.
    const PART: u128 = 1 << 127;

    /// Fingerprint of a whole request, from a hash of its content.
    pub fn of_request(hash: u128) -> Fingerprint {
        Fingerprint(hash & !Self::PART)
    }

    /// Fingerprint of a part that several prompts may share, from a hash of its id.
    pub fn of_part(hash: u128) -> Fingerprint {
        Fingerprint(hash | Self::PART)
    }

    /// Whether this is a part of prompts, not a whole request.
    pub fn is_part(self) -> bool {
        self.0 & Self::PART != 0
    }
}

macro_rules! number_ids {
    ($($name:ident),*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )*};
}

number_ids!(Incarnation, RequestId);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

macro_rules! tags {
    ($($(#[$doc:meta])* $name:ident of $id:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u32);

        impl From<&$id> for $name {
            fn from(id: &$id) -> $name {
                // The lower half of a 64-bit hash is a 32-bit hash.
                $name(rendezvous::key(id.as_str()) as u32)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:08x}", self.0)
            }
        }
    )*};
}

tags! {
    /// Short identifier of an endpoint in messages between instances, most of which name several
    /// endpoints.
    ///
    /// Two endpoints of a group have the same tag in one of thousands of groups; each of them then
    /// appears to have the load of the other.
    EndpointTag of EndpointId;
    /// Short identifier of an endpoint group in messages between instances.
    GroupTag of EndpointGroup;
    /// Short identifier of a workspace in messages between instances.
    ///
    /// Two of 2,300 workspaces have the same tag in one of 1,600 sites. They are then charged for
    /// what both of them use, so each is served after workspaces that use as much as it alone.
    WorkspaceTag of Workspace;
}
