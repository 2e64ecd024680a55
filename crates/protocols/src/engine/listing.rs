//! The listing of held memory over links that break long answers.
//!
//! Guards against an engine whose listing never arrives whole: its owners would neither see which
//! memory is left over nor whether a stream still runs. Where the whole listing breaks off, it is
//! read in parts, and in smaller ones where those break off as well.

use std::{collections::HashSet, time::Duration};

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
    let mut listing: Option<HeldPage> = None;
    let mut seen = HashSet::new();
    let mut sizes = PARTS.into_iter();
    let mut max = sizes.next().unwrap_or(1);
    loop {
        let after = listing.as_ref().and_then(|listing| listing.next.clone());
        let part = engine.held_part(after.as_deref(), max).await;
        if is_too_long(&part)
            && let Some(smaller) = sizes.next()
        {
            max = smaller;
            continue;
        }
        let part = part?;
        if listing.as_ref().is_some_and(|listing| listing.incarnation != part.incarnation) {
            return Err(EngineError::BadAnswer);
        }
        let listing = listing.get_or_insert(HeldPage {
            incarnation: part.incarnation,
            held: Vec::new(),
            next: None,
        });
        listing.held.extend(part.held);
        listing.next = part.next;
        match &listing.next {
            None => return Ok(listing.clone()),
            // Repeated, it would never end.
            Some(next) if !seen.insert(next.clone()) => return Err(EngineError::BadAnswer),
            Some(_) => {}
        }
    }
}

fn is_too_long(answer: &Result<HeldPage, EngineError>) -> bool {
    matches!(answer, Err(EngineError::Broken | EngineError::BadAnswer))
}
