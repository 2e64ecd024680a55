//! Carries out what the scheduler decides about one request: sends it, follows it, tries again.

mod assemble;
mod attempt;
mod driver;
mod reserve;
mod service;
mod silence;

use std::{panic::AssertUnwindSafe, sync::Arc};

use futures_lite::FutureExt;
use policy::{FailCause, Failure, Ran};
use smol::channel::{Receiver, bounded};

use crate::{
    error::CallError,
    filter::{
        Admitted, Answer, Handler, Work,
        relay::{EventBody, Reply, WAITING_EVENTS},
    },
    record::CallRecord,
    shared::Shared,
};

/// Sends requests to endpoints.
pub struct Dispatch {
    shared: Arc<Shared>,
}

impl Dispatch {
    /// The last filter.
    pub fn new(shared: Arc<Shared>) -> Self {
        Dispatch { shared }
    }
}

impl Handler<Admitted> for Dispatch {
    async fn handle(&self, admitted: Admitted) -> Result<Answer, CallError> {
        match admitted.timed.received.work.clone() {
            Work::Service(work) => service::run(&self.shared, admitted, work).await,
            Work::Model(work) => {
                let (tx, rx) = bounded(WAITING_EVENTS);
                let record = admitted.timed.received.record.clone();
                let driver = driver::Driver::new(self.shared.clone(), admitted, work, tx);
                // A driver runs beside the connection, which may be busy writing. A panic in it
                // must not end a thread of the daemon; the caller then hears that the driver is
                // gone.
                let driver = AssertUnwindSafe(driver.run()).catch_unwind();
                self.shared.spawn(async { drop(driver.await) });
                first_reply(rx, record).await
            }
        }
    }
}

/// Waits for the first reply, which decides between an answer and an error status.
async fn first_reply(
    replies: Receiver<Reply>,
    record: Arc<CallRecord>,
) -> Result<Answer, CallError> {
    match replies.recv().await {
        Ok(Reply::Whole(whole)) => Ok(Answer::Whole(whole)),
        Ok(Reply::Failed(e)) => Err(e),
        Ok(first) => Ok(Answer::Stream(EventBody::new(&first, replies, record))),
        Err(_) => Err(driver_gone()),
    }
}

fn driver_gone() -> CallError {
    let retry_after = std::time::Duration::from_secs(1);
    Failure { cause: FailCause::BadAnswer, ran: Ran::Unknown, retry_after }.into()
}
