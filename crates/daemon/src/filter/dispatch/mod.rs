//! Carries out the scheduler's decisions about one request: sends it, relays its answer, retries.

mod assemble;
mod attempt;
mod driver;
mod reserve;
mod service;
mod silence;

use std::{
    future::Future,
    panic::AssertUnwindSafe,
    pin::{Pin, pin},
    sync::Arc,
};

use futures_lite::FutureExt;
use policy::{FailCause, Failure, RunStatus};
use smol::channel::{Receiver, bounded};

use crate::{
    error::CallError,
    filter::{
        AdmittedRequest, Answer, CallDetails, Handler,
        relay::{EventBody, MAX_QUEUED_EVENTS, RelayMessage},
    },
    record::CallRecord,
    shared::Shared,
};

/// The last filter, which sends requests to endpoints.
pub struct Dispatch {
    shared: Arc<Shared>,
}

impl Dispatch {
    /// Creates the filter with the state of the instance.
    pub fn new(shared: Arc<Shared>) -> Self {
        Dispatch { shared }
    }
}

impl Handler<AdmittedRequest> for Dispatch {
    async fn handle(&self, admitted: AdmittedRequest) -> Result<Answer, CallError> {
        match admitted.request.received.details.clone() {
            CallDetails::Service(details) => {
                // Boxed, so that this larger future doesn't enlarge that of completions.
                Box::pin(service::run(&self.shared, admitted, details)).await
            }
            CallDetails::Model(details) => {
                let (tx, rx) = bounded(MAX_QUEUED_EVENTS);
                let record = admitted.request.received.record.clone();
                let driver = driver::Driver::new(self.shared.clone(), admitted, details, tx);
                // A panic in a driver must not end a thread of the daemon. The caller then gets
                // the error of `driver_gone`.
                let driver = Box::pin(AssertUnwindSafe(driver.run()).catch_unwind());
                self.relay(driver, rx, record).await
            }
        }
    }
}

impl Dispatch {
    /// Runs the driver in this task until the first message, which avoids a thread switch before
    /// the first token, and from then on in a task of its own, because this one is busy writing.
    async fn relay<D>(
        &self,
        mut driver: Pin<Box<D>>,
        messages: Receiver<RelayMessage>,
        record: Arc<CallRecord>,
    ) -> Result<Answer, CallError>
    where
        D: Future<Output: Send> + Send + 'static,
    {
        let first = async { Some(first_reply(messages, record).await) };
        let ended = async {
            driver.as_mut().await;
            None
        };
        let mut first = pin!(first);
        if let Some(answer) = first.as_mut().or(ended).await {
            self.shared.spawn(async { drop(driver.await) });
            return answer;
        }
        first.await.unwrap_or_else(|| Err(driver_gone()))
    }
}

/// Waits for the first message, which decides between an answer and an error status.
async fn first_reply(
    messages: Receiver<RelayMessage>,
    record: Arc<CallRecord>,
) -> Result<Answer, CallError> {
    match messages.recv().await {
        Ok(RelayMessage::Complete(whole)) => Ok(Answer::Complete(whole)),
        Ok(RelayMessage::Failed(e)) => Err(e),
        Ok(first) => Ok(Answer::Stream(EventBody::new(&first, messages, record))),
        Err(_) => Err(driver_gone()),
    }
}

fn driver_gone() -> CallError {
    let retry_after = std::time::Duration::from_secs(1);
    Failure { cause: FailCause::BadAnswer, ran: RunStatus::Unknown, retry_after }.into()
}
