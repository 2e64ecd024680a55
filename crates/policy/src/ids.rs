//! Identifiers as types, so that a workspace can't be passed where an endpoint belongs.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// The longest accepted textual identifier, in bytes. Identifiers stand in metric labels, log
/// lines and peer messages, so an unbounded one would be an unbounded cost everywhere.
pub const MAX_ID_BYTES: usize = 128;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text has more than [`MAX_ID_BYTES`] bytes.
    TooLong(usize),
    /// The text holds a character outside `A-Z a-z 0-9 . _ - : /`.
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
            /// Takes `text` as this kind of identifier, or says what is wrong with it.
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
    /// One running daemon, by the name its settings give it.
    InstanceId,
    /// A data centre, as `brasov-a`.
    DataCentre,
    /// A customer of the site, to whom shares and limits belong.
    Workspace,
    /// One server that runs requests: a model engine or one server of a plain service.
    EndpointId,
    /// The endpoints that serve one deployment, as `model-redactare`.
    EndpointGroup,
    /// An application's or endpoint group's routes, models, limits and weights.
    Deployment,
    /// A model by the name that callers use.
    Model,
}

/// Distinguishes one life of a process from the next under the same name. It only rises; where
/// the two differ, whatever was known of the older life is void.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A request within one instance. It also names the request towards endpoints, together with the
/// instance's incarnation and the attempt.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// A hash of a request's body, by which re-sent calls are recognised on every instance.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

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
                // The low half of a 64-bit hash is a hash itself.
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
    /// An endpoint as messages between instances name it: short, as most of them name several.
    ///
    /// Two endpoints of a group have the same tag once in thousands of groups; one of them then looks
    /// as loaded as the other.
    EndpointTag of EndpointId;
    /// An endpoint group as messages between instances name it.
    GroupTag of EndpointGroup;
}
