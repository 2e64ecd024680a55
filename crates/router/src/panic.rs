//! Catches panics, so that a fault ends no more than the work it hit.

use std::{any::Any, future::Future, panic::AssertUnwindSafe};

use futures_lite::FutureExt;

/// A panic that was caught, with its message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Panic(pub(crate) String);

/// Runs a future to its end or its panic. What it leaves behind has to be usable afterwards; see
/// [`crate::lock`].
pub(crate) async fn catch<T>(work: impl Future<Output = T>) -> Result<T, Panic> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|payload| Panic(message(&*payload)))
}

fn message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message").to_owned()
}
