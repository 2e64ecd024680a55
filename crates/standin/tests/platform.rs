//! What callers see of the log, the service, the weight store, the list and the proxy.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, thread::sleep, time::Duration};

use protocols::{
    http::{HttpAnswer, HttpCall, HttpError},
    instances::{ListPage, ListedInstance, ListedState, Role},
    log::Page,
};
use standin::{
    AppendFault, Direction, FaultProxy, ListService, LogConfig, LogService, Mode, Outage, Service,
    ServiceConfig, ServiceFault, WeightConfig, WeightStore,
};

const WAIT: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(100);
const RECORDS: &str = "/streams/s/records";

/// Names each case and runs its story to the end.
macro_rules! cases {
    ($($name:ident $body:block)*) => {$(
        #[test]
        fn $name() {
            smol::block_on(async $body);
        }
    )*};
}

async fn append(address: SocketAddr, text: &'static str) -> Result<u16, HttpError> {
    let call = HttpCall::post(address, RECORDS, text.into(), SHORT);
    call.send().await.map(|answer| answer.status)
}

async fn page(address: SocketAddr, query: &str) -> Page {
    let path = format!("{RECORDS}{query}");
    HttpCall::get(address, &path, WAIT).send().await.unwrap().json().unwrap()
}

async fn call(address: SocketAddr, key: &str, fencing: u64) -> Result<HttpAnswer, HttpError> {
    let mut call = HttpCall::post(address, "/holds", "{}".into(), SHORT);
    call.headers = vec![("idempotency-key", key.to_owned()), ("x-fencing", fencing.to_string())];
    call.send().await
}

cases! {
    the_log_keeps_the_order_and_forgets_the_oldest {
        let log = LogService::start(LogConfig { keep: 2, ..LogConfig::default() }).unwrap();
        for text in ["a", "b", "c"] {
            assert_eq!(append(log.address(), text).await, Ok(200));
        }
        let page = page(log.address(), "?from=0").await;
        let kept: Vec<&[u8]> = page.records.iter().map(|record| &record.data[..]).collect();
        assert_eq!(kept, [b"b", b"c"]);
        assert_eq!((page.first.0, page.next.0, page.end.0), (1, 3, 3));
        log.close();
    }

    a_reader_that_waits_gets_the_next_record {
        let log = LogService::start(LogConfig::default()).unwrap();
        let address = log.address();
        let reader = smol::spawn(async move { page(address, "?from=0&wait_ms=9000").await });
        sleep(Duration::from_millis(20));
        log.append("s", "x".into());
        assert_eq!(reader.await.records.len(), 1);
        log.close();
    }

    lost_and_late_appends_take_effect_all_the_same {
        let log = LogService::start(LogConfig::default()).unwrap();
        let late = AppendFault::Late(Duration::from_millis(50));
        for fault in [AppendFault::LoseAnswer, AppendFault::Hang, late, AppendFault::Refuse] {
            log.plan_fault("s", fault);
        }
        assert_eq!(append(log.address(), "lost").await, Err(HttpError::Broken));
        assert_eq!(append(log.address(), "hung").await, Err(HttpError::Silent));
        assert_eq!(append(log.address(), "late").await, Err(HttpError::Broken));
        assert_eq!(append(log.address(), "refused").await, Ok(503));
        assert_eq!(append(log.address(), "after").await, Ok(200));
        while log.records("s").len() < 4 {
            sleep(Duration::from_millis(5));
        }
        let mut kept: Vec<_> = log.records("s").into_iter().map(|record| record.data).collect();
        kept.sort();
        assert_eq!(kept, ["after", "hung", "late", "lost"]);
        log.close();
    }

    the_log_limits_appends_and_has_outages {
        let cfg = LogConfig { appends_per_second: 1, ..LogConfig::default() };
        let log = LogService::start(cfg).unwrap();
        assert_eq!(append(log.address(), "a").await, Ok(200));
        assert_eq!(append(log.address(), "b").await, Ok(429));
        log.set_outage(Outage::Refuses);
        assert_eq!(append(log.address(), "c").await, Ok(503));
        log.set_outage(Outage::Silent);
        assert_eq!(append(log.address(), "d").await, Err(HttpError::Silent));
        assert_eq!(log.records("s").len(), 1);
        log.close();
    }

    the_service_counts_every_run_of_a_key {
        let service = Service::start(ServiceConfig::default()).unwrap();
        service.plan_fault(ServiceFault::LoseAnswer);
        assert_eq!(call(service.address(), "k", 1).await.err(), Some(HttpError::Broken));
        assert!(call(service.address(), "k", 1).await.unwrap().is_success());
        assert_eq!((service.runs("k"), service.most_runs()), (2, 2));
        service.close();
    }

    the_service_can_drop_doubles_and_old_fencing_numbers {
        let cfg = ServiceConfig { deduplicates: true, checks_fencing: true, ..Default::default() };
        let service = Service::start(cfg).unwrap();
        service.leave(true);
        assert!(call(service.address(), "k", 2).await.unwrap().leaving);
        assert_eq!(call(service.address(), "k", 2).await.unwrap().status, 200);
        assert_eq!(call(service.address(), "k", 1).await.unwrap().status, 409);
        assert_eq!(service.runs("k"), 1);
        service.close();
    }

    the_weight_store_limits_its_rate {
        let sizes = [("m/1".to_owned(), 7)].into_iter().collect();
        let cfg = WeightConfig { sizes, per_window: 2, window: Duration::from_secs(60) };
        let store = WeightStore::start(cfg).unwrap();
        let mut statuses = Vec::new();
        for path in ["/weights/m/1", "/weights/m/2", "/weights/m/1"] {
            statuses.push(HttpCall::get(store.address(), path, WAIT).send().await.unwrap().status);
        }
        assert_eq!(statuses, [200, 404, 429]);
        store.close();
    }

    the_list_lags {
        let list = ListService::start(Duration::from_millis(50)).unwrap();
        list.put(ListedInstance {
            name: "entry-1".to_owned(),
            role: Role::Entry,
            incarnation: policy::Incarnation(1),
            address: list.address(),
            data_centre: "brasov-a".parse().unwrap(),
            state: ListedState::Live,
        });
        let mut empty = 0;
        loop {
            let call = HttpCall::get(list.address(), "/instances", WAIT);
            let page: ListPage = call.send().await.unwrap().json().unwrap();
            if !page.instances.is_empty() {
                break;
            }
            empty += 1;
        }
        assert!(empty > 0);
        list.close();
    }

    the_proxy_tells_open_connections_from_new_ones {
        let service = Service::start(ServiceConfig::default()).unwrap();
        let proxy = FaultProxy::start(service.address()).unwrap();
        service.plan_fault(ServiceFault::LateAnswer(Duration::from_millis(50)));
        let address = proxy.address();
        let open = smol::spawn(async move { call(address, "open", 1).await });
        while service.runs("open") == 0 {}
        proxy.set_mode(Mode::SilenceOpen(Direction::Both)).unwrap();
        assert_eq!(open.await.err(), Some(HttpError::Silent));
        assert!(call(address, "new", 1).await.unwrap().is_success());
        assert!(proxy.accepted() >= 2);
        proxy.close();
        service.close();
    }

    the_proxy_has_every_other_fault {
        let service = Service::start(ServiceConfig::default()).unwrap();
        let proxy = FaultProxy::start(service.address()).unwrap();
        let faults = [
            (Mode::Refuse, Err(HttpError::NotSent), 0),
            (Mode::Reset, Err(HttpError::Broken), 0),
            (Mode::SilenceAll(Direction::Both), Err(HttpError::Silent), 0),
            (Mode::SilenceAll(Direction::ToCaller), Err(HttpError::Silent), 1),
            (Mode::LoseAnswer, Err(HttpError::Broken), 1),
            (Mode::CutAfter(20), Err(HttpError::Broken), 1),
            (Mode::Delay(Direction::Both, Duration::from_millis(5)), Ok(()), 1),
            (Mode::Pass, Ok(()), 1),
        ];
        for (at, (mode, outcome, runs)) in faults.into_iter().enumerate() {
            proxy.set_mode(mode).unwrap();
            let key = at.to_string();
            let answer = call(proxy.address(), &key, 1).await.map(|_| ());
            assert_eq!(answer, outcome, "{mode:?}");
            assert_eq!(service.runs(&key), runs, "{mode:?}");
        }
        proxy.close();
        service.close();
    }
}
