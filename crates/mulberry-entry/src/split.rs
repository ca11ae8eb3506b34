//! Prompts that do not fit into one engine's memory. All segments but the last are prefilled on their own engines and
//! exported; the engine of the last segment imports them and generates the answer.

use std::sync::Arc;

use mulberry_policy::SplitPlan;
use mulberry_targets::{EngineError, Segment, SegmentCall};
use mulberry_types::RequestId;

use crate::entry::Entry;
use crate::request_context::RequestContext;
use crate::reservations::{Reservation, ReservationGuard};

/// Bytes per token assumed when token positions of a plan are converted to byte positions.
const BYTES_PER_TOKEN: u64 = 4;

/// Prefilled segments of one prompt. The caller must call [`Prefilled::free`] on every path.
#[derive(Debug)]
pub struct Prefilled<'a> {
    /// Request id for the log.
    request: RequestId,

    /// In the order of the prompt.
    pub segments: Vec<Segment>,

    /// Text of the last segment, for the engine that generates the answer.
    pub last_text: &'a str,

    /// Target and error of a failed segment.
    pub failure: Option<(Arc<str>, EngineError)>,
}

impl Prefilled<'_> {
    /// Frees all exported segments. The home's reconciliation frees those for which this fails.
    pub fn free(&self, entry: &Entry) {
        for segment in &self.segments {
            if let Err(error) = entry.engines.free_segment(segment) {
                tracing::warn!(
                    request = %self.request, address = %segment.address, %error, "segment_not_freed"
                );
            }
        }
    }
}

/// Prefills all segments but the last in parallel.
pub fn prefill_segments<'a>(
    entry: &Entry,
    context: &RequestContext,
    prompt: &'a str,
    plan: &SplitPlan,
    reservations: &[ReservationGuard<'_>],
) -> Prefilled<'a> {
    let mut texts = split_prompt(prompt, plan);
    let last_text = texts.pop().unwrap_or_default();
    let results: Vec<Result<Segment, EngineError>> = std::thread::scope(|scope| {
        let threads: Vec<_> = texts
            .iter()
            .zip(reservations)
            .enumerate()
            .map(|(index, (text, reservation))| {
                scope.spawn(move || prefill(entry, context, index as u32, text, reservation))
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_else(|_| Err(panicked())))
            .collect()
    });
    let mut prefilled =
        Prefilled { request: context.id, segments: Vec::new(), last_text, failure: None };
    for (result, reservation) in results.into_iter().zip(reservations) {
        match result {
            Ok(segment) => prefilled.segments.push(segment),
            Err(error) => prefilled.failure = Some((reservation.reserve.target.clone(), error)),
        }
    }
    prefilled
}

fn prefill(
    entry: &Entry,
    context: &RequestContext,
    index: u32,
    text: &str,
    reservation: &Reservation,
) -> Result<Segment, EngineError> {
    if !reservation.may_start(entry) {
        return Err(EngineError::NotSent { problem: "the reservation was lost".to_owned() });
    }
    let segment = entry.engines.prefill_segment(&SegmentCall {
        address: reservation.reserved.address,
        request: reservation.reserve.request,
        model: &context.service,
        index,
        text,
        priority: reservation.reserve.priority,
        deadline: context.deadline,
    })?;
    entry.reservations.first_token(entry, reservation);
    Ok(segment)
}

fn panicked() -> EngineError {
    EngineError::Failed { problem: "the prefill thread panicked".to_owned() }
}

/// Splits a prompt at the first token of each segment, rounded down to a character boundary.
fn split_prompt<'a>(prompt: &'a str, plan: &SplitPlan) -> Vec<&'a str> {
    let mut boundaries: Vec<usize> = plan
        .segments
        .iter()
        .map(|segment| {
            let byte = usize::try_from(segment.first_token * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
            floor_char_boundary(prompt, byte)
        })
        .collect();
    boundaries.push(prompt.len());
    boundaries.windows(2).map(|pair| &prompt[pair[0]..pair[1]]).collect()
}

fn floor_char_boundary(text: &str, byte: usize) -> usize {
    let byte = byte.min(text.len());
    (0..=byte).rev().find(|byte| text.is_char_boundary(*byte)).unwrap_or(0)
}
