//! The decision logic of the serving layer, without input or output.
//!
//! The code in this crate opens no sockets, reads no clock, doesn't await and uses no global random
//! generator: the time and seeded generators are passed as arguments. The daemon and the tests
//! therefore run exactly the same code. See `docs/ARCHITECTURE.md`.

pub mod adaptive;
pub mod affinity;
pub mod announcements;
pub mod answers;
pub mod any;
pub mod backoff;
pub mod baseline;
pub mod catch_up;
pub mod config;
pub mod contention;
pub mod digest;
pub mod drain;
pub mod examination;
pub mod first_read;
pub mod forwarding;
pub mod freshness;
pub mod gossip;
pub mod health;
pub mod ids;
pub mod instances;
pub mod ledger;
pub mod membership;
pub mod named_limit;
pub mod orders;
pub mod placement;
pub mod prompt;
pub mod publication;
pub mod quarantine;
pub mod rendezvous;
pub mod replay;
pub mod report;
pub mod request;
pub mod retry;
pub mod returns;
pub mod roster;
pub mod routes;
pub mod scheduler;
pub mod selection;
pub mod shared_limit;
pub mod shares;
pub mod topology;
pub mod units;
pub mod waiting;
pub mod warm_up;

pub use any::AnyScheduler;
pub use ids::{
    DataCentre, Deployment, EndpointGroup, EndpointId, EndpointTag, Fingerprint, GroupTag,
    Incarnation, InstanceId, Model, Region, RequestId, Workspace, WorkspaceTag,
};
pub use replay::Offset;
pub use report::{
    BANDS, CacheEvents, LoadDigest, LoadReport, PendingReservation, PendingReservationPart,
};
pub use request::{CallKind, RequestSpec};
pub use scheduler::{
    Admission, Decision, EndpointChange, Event, FailCause, Failure, Forecast, Outcome, Priority,
    Refusal, RefusalReason, RunStatus, Scheduler, Shard, Start,
};
pub use units::{Time, TokenRate, Tokens};
