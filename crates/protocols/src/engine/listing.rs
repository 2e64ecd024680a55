//! Reads an engine's listing of held memory, in parts if the connection breaks on long responses.
//!
//! Guards against a listing that never arrives completely: the instances couldn't tell which memory
//! was left behind or whether a stream still runs. If the complete listing breaks off, it is read
//! in parts, and in smaller parts if those break off as well.

use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

use super::{Engine, EngineError, wire::HeldPage};

/// Numbers of entries per part, in the order in which they are tried.
const PART_SIZES: [usize; 3] = [16, 4, 1];

/// Time limit for all parts of a listing together.
const PARTS_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the listing of all memory that the engine holds, in parts if necessary.
///
/// # Errors
///
/// The error of the complete listing if parts wouldn't help, otherwise the error of the parts.
pub async fn held<E: Engine>(engine: &E) -> Result<HeldPage, EngineError> {
    let whole = engine.held().await;
    if !is_cut_off(&whole) {
        return whole;
    }
    let timeout = async {
        Timer::after(PARTS_TIMEOUT).await;
        Err(EngineError::Unknown)
    };
    held_in_parts(engine).or(timeout).await
}

async fn held_in_parts<E: Engine>(engine: &E) -> Result<HeldPage, EngineError> {
    let mut sizes = PART_SIZES.into_iter();
    let mut max = sizes.next().unwrap_or(1);
    let mut held = Vec::new();
    let mut after: Option<String> = None;
    let mut first_incarnation = None;
    loop {
        let part = engine.held_part(after.as_deref(), max).await;
        if is_cut_off(&part)
            && let Some(smaller) = sizes.next()
        {
            max = smaller;
            continue;
        }
        let HeldPage { incarnation, held: entries, next } = part?;
        // Parts of two incarnations don't form a listing, and without progress in the ids the loop
        // might never end.
        let is_other_incarnation = *first_incarnation.get_or_insert(incarnation) != incarnation;
        if is_other_incarnation || next.is_some() && next <= after {
            return Err(EngineError::BadAnswer);
        }
        held.extend(entries);
        if next.is_none() {
            return Ok(HeldPage { incarnation, held, next });
        }
        after = next;
    }
}

fn is_cut_off(answer: &Result<HeldPage, EngineError>) -> bool {
    matches!(answer, Err(EngineError::Broken | EngineError::BadAnswer))
}
