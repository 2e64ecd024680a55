//! The HTTP services for callers and for the balancer.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};

use crate::{
    dialect::Dialect,
    filter::{Handler, Reason, Refusal, ResponseBody},
    metrics::Metrics,
    panic::{self, Panic},
    request_body::RequestBody,
    resources::Resources,
    serve::{ConnectionLimits, MIN_BUFFER_BYTES, Service},
    signal::OneShot,
    state::{Configuration, Groups, Lifecycle, Stage},
};

/// Maximum age of the configuration at which the instance reports that it is ready. Beyond it the
/// balancer should use an instance with newer configuration. It leaves room for one held long poll
/// and one failed read.
const MAX_READY_CONFIGURATION_AGE: Duration = Duration::from_millis(3_700);

/// How long the balancer may keep a connection without a probe, or take for one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves callers.
pub(crate) struct CallerService<D, H> {
    pub(crate) chain: H,
    pub(crate) dialect: Arc<D>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) metrics: Arc<Metrics>,
}

impl<D: Dialect, H: Handler<Request<RequestBody>>> CallerService<D, H> {
    /// Answers a request. Returns the refusal too where this is the instance's own.
    pub(crate) async fn answer(
        &self,
        req: Request<RequestBody>,
    ) -> (Response<ResponseBody>, Option<Refusal>) {
        let guard = self.lifecycle.count_request();
        let request_id = self.dialect.request_id(req.headers());
        let handled = panic::catch(self.chain.handle(req)).await;
        let handled = handled.unwrap_or_else(|Panic(cause)| {
            let id = request_id.as_deref().unwrap_or("-");
            log::error!(id, cause = cause.as_str(); "request_panicked");
            Err(Refusal::outcome_unknown(Reason::Fault))
        });
        let (mut resp, refused) = match handled {
            Ok(resp) => (resp, None),
            Err(refusal) => {
                self.metrics.refused(refusal.reason.as_str());
                log::info!(
                    id = request_id.as_deref().unwrap_or("-"),
                    reason = refusal.reason.as_str(),
                    status = refusal.status.as_u16(),
                    config_age_ms = self.configuration.age().map_or(-1, |a| a.as_millis() as i64),
                    retry_after_ms = refusal.retry_after.map_or(-1, |a| a.as_millis() as i64),
                    returned = refusal.returned.map_or(-1, i64::from);
                    "refused"
                );
                (refusal.response(), Some(refusal))
            }
        };
        let announces_close = match self.lifecycle.stage() {
            Stage::Serving => false,
            // A stream may end after connections have begun to be closed.
            Stage::Leaving => matches!(resp.body(), ResponseBody::Events(_)),
            Stage::Closing => true,
        };
        if announces_close {
            resp.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        (resp.map(|body| body.with_guard(guard)), refused)
    }
}

impl<D: Dialect, H: Handler<Request<RequestBody>>> Service for CallerService<D, H> {
    async fn respond(&self, req: Request<RequestBody>) -> Response<ResponseBody> {
        self.answer(req).await.0
    }

    fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.configuration.table().limits;
        ConnectionLimits {
            max_head_bytes: limits.head_bytes,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }

    fn max_connections(&self, resources: &Resources) -> usize {
        resources.limits().connections(self.connection_limits().max_head_bytes)
    }

    fn limits_changed(&self) -> Arc<OneShot> {
        self.configuration.limits_changed()
    }

    fn lifecycle(&self) -> &Arc<Lifecycle> {
        &self.lifecycle
    }
}

/// Serves the balancer's readiness probes.
pub(crate) struct ReadinessService {
    pub(crate) path: &'static str,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) groups: Arc<Groups>,
    pub(crate) lifecycle: Arc<Lifecycle>,
}

impl ReadinessService {
    fn is_ready(&self) -> bool {
        let is_known =
            self.configuration.age().is_some_and(|age| age <= MAX_READY_CONFIGURATION_AGE);
        let is_serving = self.lifecycle.stage() == Stage::Serving;
        let has_endpoints = self
            .groups
            .all()
            .iter()
            .any(|group| crate::lock(&group.scheduler).usable_endpoints() > 0);
        is_known && is_serving && has_endpoints && self.configuration.table().version.0 > 0
    }
}

impl Service for ReadinessService {
    async fn respond(&self, req: Request<RequestBody>) -> Response<ResponseBody> {
        let mut resp = Response::new(ResponseBody::whole(bytes::Bytes::new()));
        *resp.status_mut() = match req.method() == Method::GET && req.uri().path() == self.path {
            false => StatusCode::NOT_FOUND,
            true if self.is_ready() => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
        };
        resp
    }

    fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_head_bytes: MIN_BUFFER_BYTES,
            head_timeout: IDLE_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }

    fn lifecycle(&self) -> &Arc<Lifecycle> {
        &self.lifecycle
    }
}
