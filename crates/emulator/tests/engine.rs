//! The emulated engine, compared with observations of the sites' engines.

#![allow(clippy::unwrap_used)]

use emulator::{
    SiteSpec,
    engine::{Engine, EngineEvent, PromptPart},
};

fn site() -> SiteSpec {
    let text = include_str!("../../../examples/experiments/brasov-grown.json");
    SiteSpec::parse(text).unwrap()
}

fn part(run: usize, ms: f64, is_split: bool) -> PromptPart {
    PromptPart { run, ms, tokens: ms * 100.0, is_split, is_head: false }
}

fn prefill_order(engine: &mut Engine) -> Vec<usize> {
    let mut order = Vec::new();
    while engine.start_pass().is_some() {
        for engine_event in engine.finish_pass() {
            if let EngineEvent::Prefilled(run) = engine_event {
                order.push(run);
            }
        }
    }
    order
}

/// Parts of split prompts are prefilled before whole prompts, the newest first.
#[test]
fn the_newest_part_is_prefilled_first() {
    let mut engine = Engine::new(site().engine);
    engine.enqueue(part(1, 100.0, false));
    engine.enqueue(part(2, 100.0, true));
    engine.enqueue(part(3, 100.0, true));
    assert_eq!(prefill_order(&mut engine), [3, 2, 1]);
}

/// Time between an instance and an engine and back.
const ROUND_TRIP_MS: f64 = 2.8;

/// Time until the first event of a prompt that idle engines prefill in equal parts.
fn first_event_ms(tokens: u64, parts: u32) -> f64 {
    let rules = site().engine;
    let mut engine = Engine::new(rules.clone());
    let parts = f64::from(parts);
    let ms = rules.prefill_ms(tokens) / parts;
    let tokens_each = tokens as f64 / parts;
    engine.enqueue(PromptPart { run: 1, ms, tokens: tokens_each, is_split: true, is_head: true });
    let mut elapsed_ms = ROUND_TRIP_MS;
    while let Some(ms) = engine.start_pass() {
        elapsed_ms += ms;
        engine.finish_pass();
    }
    engine.start_decoding(1, 16, tokens);
    elapsed_ms + engine.first_event_ms()
}

macro_rules! first_events {
    ($($name:ident: $tokens:literal tokens on $parts:literal came after $observed_ms:literal ms;)*) => {
        $(
            /// The first event of a single prompt, compared with a time observed at a site.
            #[test]
            fn $name() {
                let first_ms = first_event_ms($tokens, $parts);
                let error = (first_ms - $observed_ms as f64).abs() / $observed_ms as f64;
                assert!(error < 0.1, "{first_ms:.0} ms, observed {} ms", $observed_ms);
            }
        )*
    };
}

first_events! {
    dossier_of_125k: 125_451 tokens on 6 came after 218 ms;
    dossier_of_180k: 180_831 tokens on 8 came after 296 ms;
    dossier_of_282k: 282_349 tokens on 10 came after 493 ms;
    dossier_of_403k: 402_969 tokens on 16 came after 593 ms;
    dossier_of_524k: 523_920 tokens on 17 came after 902 ms;
    dossier_of_792k: 791_914 tokens on 17 came after 1931 ms;
}
