//! The listing of held memory over links that break long answers.
//!
//! Guards against an engine whose listing never arrives whole: its owners would neither see which
//! memory is left over nor whether a stream still runs. Where the whole listing breaks off, it is
//! read in parts, and in smaller ones where those break off as well.

use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

use super::{Engine, EngineError, wire::HeldPage};

/// Entries in a part, from the first try to the last.
const PARTS: [usize; 3] = [16, 4, 1];

/// Time for all parts of one listing.
const LIMIT: Duration = Duration::from_secs(2);

/// All that the engine holds, in one answer if that arrives, else in parts.
///
/// # Errors
///
/// The whole listing's error where parts can't help, else that of the smallest part.
pub async fn held<E: Engine>(engine: &E) -> Result<HeldPage, EngineError> {
    let whole = engine.held().await;
    if !is_too_long(&whole) {
        return whole;
    }
    let limit = async {
        Timer::after(LIMIT).await;
        Err(EngineError::Unknown)
    };
    in_parts(engine).or(limit).await
}

async fn in_parts<E: Engine>(engine: &E) -> Result<HeldPage, EngineError> {
    let mut sizes = PARTS.into_iter();
    let mut max = sizes.next().unwrap_or(1);
    let mut held = Vec::new();
    let mut after: Option<String> = None;
    let mut life = None;
    loop {
        let part = engine.held_part(after.as_deref(), max).await;
        if is_too_long(&part)
            && let Some(smaller) = sizes.next()
        {
            max = smaller;
            continue;
        }
        let HeldPage { incarnation, held: more, next } = part?;
        // Parts of two lives make no listing, and an engine that goes back would never end one.
        let is_other_life = *life.get_or_insert(incarnation) != incarnation;
        if is_other_life || next.is_some() && next <= after {
            return Err(EngineError::BadAnswer);
        }
        held.extend(more);
        if next.is_none() {
            return Ok(HeldPage { incarnation, held, next });
        }
        after = next;
    }
}

fn is_too_long(answer: &Result<HeldPage, EngineError>) -> bool {
    matches!(answer, Err(EngineError::Broken | EngineError::BadAnswer))
}
