//! The reasons that `/readyz` gives while an instance isn't ready.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;

use common::{Daemon, Site, unused_address, wait_until};
use standin::{
    Engine, EngineConfig,
    proxy::{Direction, FaultProxy, Mode},
};

/// Starts a daemon, runs `then` and waits until `/readyz` gives the reason.
fn expect_unready_reason(
    name: &str,
    engine: SocketAddr,
    more: &str,
    reason: &str,
    then: impl FnOnce(&Daemon),
) {
    let more = format!(r#""balancer_wait_ms":500{more}"#);
    let daemon = Daemon::start_unready(name, &Site::of_engines(&[engine]), &more);
    then(&daemon);
    wait_until("the reason is told", || {
        let answer = daemon.get("/readyz");
        answer.starts_with("HTTP/1.1 503") && answer.contains(reason)
    });
}

/// Guards against starts that fail without a visible reason. Each case gives the proxy's mode,
/// further settings, the expected reason and an action after the start.
macro_rules! waits_for {
    ($($case:ident: $mode:expr, $more:expr, $reason:expr, $then:expr;)*) => {$(
        #[test]
        fn $case() {
            let engine = Engine::start(EngineConfig::default()).unwrap();
            let proxy = FaultProxy::start(engine.address()).unwrap();
            proxy.set_mode($mode).unwrap();
            let name = stringify!($case).replace('_', "-");
            expect_unready_reason(&name, proxy.address(), &$more, $reason, $then);
        }
    )*};
}

waits_for! {
    an_endpoint: Mode::SilenceAll(Direction::Both), "",
        "not ready: endpoints not asked for their load (1): llm-0", |_| {};
    a_configuration: Mode::Pass, format!(r#","log":"{}""#, unused_address()),
        "not ready: no configuration is in force", |_| {};
    nothing_as_it_stops: Mode::Pass, "", "not ready: the instance is stopping", |daemon| {
        wait_until("it is ready", || daemon.get("/readyz").starts_with("HTTP/1.1 200"));
        daemon.signal("-TERM");
    };
}
