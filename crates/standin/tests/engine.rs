//! What callers and owners see of the stand-in engine.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, thread::sleep, time::Duration};

use policy::Tokens;
use protocols::{
    engine::wire::{HeldPage, Load, Order, Release, Reserve},
    http::HttpCall,
};
use serde::{Serialize, de::DeserializeOwned};
use standin::{
    Engine, EngineConfig,
    client::{Prompt, PromptShape},
    expected_answer,
};

const WAIT: Duration = Duration::from_secs(10);

/// Names each case and runs it with an engine made by the given settings.
macro_rules! cases {
    ($($name:ident($engine:ident, $cfg:expr) $body:block)*) => {$(
        #[test]
        fn $name() {
            let $engine = Engine::start($cfg).unwrap();
            smol::block_on(async $body);
            $engine.close();
        }
    )*};
}

fn prompt(tokens: u64, seed: u64) -> Prompt {
    Prompt::new(PromptShape { patience: WAIT, ..PromptShape::unique(tokens, seed) })
}

fn small() -> EngineConfig {
    EngineConfig {
        kv_total: Tokens(3_000),
        max_wait: Duration::from_millis(200),
        ..EngineConfig::default()
    }
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    HttpCall::get(address, path, WAIT).send().await.unwrap().json().unwrap()
}

async fn post<T: Serialize>(address: SocketAddr, path: &str, content: &T) -> u16 {
    HttpCall::post_json(address, path, content, WAIT).unwrap().send().await.unwrap().status
}

async fn held(engine: &Engine) -> HeldPage {
    get(engine.address(), "/engine/held").await
}

fn reserve(tokens: u64) -> Reserve {
    Reserve {
        id: "r1".to_owned(),
        owner: "entry-1/7".parse().unwrap(),
        tokens: Tokens(tokens),
        lease_ms: 100,
    }
}

cases! {
    answers_whole_and_releases_memory(engine, EngineConfig::default()) {
        let prompt = prompt(5_000, 1);
        let reply = prompt.send(engine.address()).await;
        assert!(reply.whole, "{reply:?}");
        assert_eq!(reply.tokens.len(), 16);
        let stats = engine.stats();
        assert_eq!((stats.finished, stats.held, stats.prefilled), (1, Tokens(0), Tokens(5_000)));
    }

    a_shared_prefix_is_prefilled_once(engine, EngineConfig::default()) {
        for seed in 1..3 {
            let shape = PromptShape { shared: Tokens(1_024), ..PromptShape::unique(2_000, seed) };
            assert!(Prompt::new(shape).send(engine.address()).await.whole);
        }
        assert_eq!(engine.stats().cached, Tokens(1_024));
        assert_eq!(engine.stats().prefilled, Tokens(4_000 - 1_024));
    }

    a_hang_up_keeps_memory_until_the_lease_ends(engine, EngineConfig::default()) {
        let gone = Prompt { patience: Duration::from_millis(100), ..prompt(390_000, 1) };
        let gone = gone.header("x-attempt", "entry-1/7/1/1").header("x-lease-ms", 300);
        assert!(!gone.send(engine.address()).await.ended);
        let page = held(&engine).await;
        assert_eq!(page.held[0].id, "entry-1/7/1/1");
        sleep(Duration::from_millis(600));
        assert_eq!(held(&engine).await.held, []);
        assert!(engine.stats().wasted > Tokens::ZERO);
    }

    release_cancels_without_an_end_mark(engine, EngineConfig::default()) {
        let long = prompt(390_000, 1).header("x-attempt", "entry-1/7/1/1");
        let address = engine.address();
        let run = smol::spawn(async move { long.send(address).await });
        while held(&engine).await.held.is_empty() {}
        let ids = vec!["entry-1/7/1/1".to_owned()];
        assert_eq!(post(address, "/engine/release", &Release { ids }).await, 200);
        assert_eq!(held(&engine).await.held, []);
        let reply = run.await;
        assert!(!reply.ended && !reply.whole);
    }

    a_prompt_without_room_is_refused_after_a_bounded_wait(engine, small()) {
        assert_eq!(post(engine.address(), "/engine/reserve", &reserve(2_500)).await, 200);
        assert_eq!(post(engine.address(), "/engine/reserve", &reserve(2_500)).await, 200);
        let other = Reserve { id: "r2".to_owned(), ..reserve(2_500) };
        assert_eq!(post(engine.address(), "/engine/reserve", &other).await, 409);
        assert_eq!(prompt(9_000, 1).send(engine.address()).await.status, Some(503));
        // The reservation's lease ends within the wait of this one.
        assert!(prompt(1_000, 2).send(engine.address()).await.whole);
    }

    a_second_attempt_goes_on_after_the_text_that_was_passed_on(engine, EngineConfig::default()) {
        let prompt = prompt(1_000, 1);
        let whole = expected_answer(&prompt.body).unwrap();
        let resumed = |text: &str| {
            let body = String::from_utf8(prompt.body.to_vec()).unwrap();
            let resume = format!(r#","resume":{{"from":5,"text":"{text}"}}}}"#);
            Prompt::with_body(body.replace("\"}", &format!("\"{resume}")).into(), WAIT)
        };
        let reply = resumed(&whole[..30]).send(engine.address()).await;
        assert!(reply.ended);
        assert_eq!(reply.text, whole[30..]);
        let wrong = resumed(&whole[1..31]).send(engine.address()).await;
        assert_eq!(wrong.status, Some(400));
    }

    a_prompt_that_crashes_it_begins_a_new_life(engine, EngineConfig {
        revive_after: Some(Duration::from_millis(20)), ..EngineConfig::default()
    }) {
        let before = held(&engine).await.incarnation;
        engine.crash_on("poison");
        let bad = Prompt::with_body(r#"{"prompt":"some poison"}"#.into(), WAIT);
        let reply = bad.send(engine.address()).await;
        // Whether the head of the answer is out by then is a matter of luck.
        assert!(!reply.ended && reply.text.is_empty(), "{reply:?}");
        let good = prompt(1_000, 1);
        let mut tries = 0;
        while !good.send(engine.address()).await.whole {
            tries += 1;
            assert!(tries < 1_000);
            sleep(Duration::from_millis(5));
        }
        assert!(held(&engine).await.incarnation > before);
        assert_eq!(engine.stats().deaths, 1);
    }

    old_fencing_numbers_are_refused_only_where_checked(engine, EngineConfig::default()) {
        let order = |fencing: u64| Order {
            model: "m".to_owned(),
            version: fencing.to_string(),
            adapter: None,
            role: "mixed".to_owned(),
            fencing,
        };
        assert_eq!(post(engine.address(), "/engine/orders", &order(7)).await, 200);
        assert_eq!(post(engine.address(), "/engine/orders", &order(6)).await, 409);
        engine.check_fencing(false);
        assert_eq!(post(engine.address(), "/engine/orders", &order(6)).await, 200);
        assert_eq!(engine.stats().stale_orders, 1);
    }

    a_frozen_engine_is_silent_and_goes_on_later(engine, EngineConfig::default()) {
        engine.freeze(true);
        let impatient = Prompt { patience: Duration::from_millis(50), ..prompt(1_000, 1) };
        assert!(impatient.send(engine.address()).await.status.is_none());
        engine.freeze(false);
        assert!(prompt(1_000, 2).send(engine.address()).await.whole);
        let load: Load = get(engine.address(), "/engine/load").await;
        assert_eq!(load.kv_total, Tokens(400_000));
    }
}

#[test]
fn a_prompt_larger_than_one_engine_spreads_and_fails_with_its_shard() {
    let head = Engine::start(EngineConfig::default()).unwrap();
    let lender = Engine::start(EngineConfig::default()).unwrap();
    smol::block_on(async {
        let part = Reserve { lease_ms: 60_000, ..reserve(300_000) };
        assert_eq!(post(lender.address(), "/engine/reserve", &part).await, 200);
        let spread = format!("r1@{}", lender.address());
        let whole = prompt(600_000, 1).header("x-kv-shards", &spread).send(head.address()).await;
        assert!(whole.whole, "{whole:?}");
        assert_eq!(prompt(600_000, 2).send(head.address()).await.status, Some(503));

        let address = head.address();
        let cut = prompt(600_000, 3).header("x-kv-shards", &spread);
        let run = smol::spawn(async move { cut.send(address).await });
        while held(&head).await.held.is_empty() {}
        lender.kill();
        let reply = run.await;
        assert!(!reply.ended, "{reply:?}");
    });
    head.close();
    lender.close();
}
