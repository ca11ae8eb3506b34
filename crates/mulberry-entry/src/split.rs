//! Prompts beyond one engine's memory: all segments but the last are prefilled and exported, and the engine of the last
//! one imports them.

use std::sync::Arc;

use mulberry_policy::SplitPlan;
use mulberry_targets::{EngineError, Segment, SegmentCall};
use mulberry_types::RequestId;

use crate::entry::Entry;
use crate::job::Job;
use crate::rooms::{HeldRoom, Room};

/// Bytes per token by which a plan is cut.
const BYTES_PER_TOKEN: u64 = 4;

/// Segments of one prompt. Call [`Prefilled::free`] on every way out.
#[derive(Debug)]
pub struct Prefilled<'a> {
    /// Request that the segments belong to, for the log.
    request: RequestId,

    /// In the order of the prompt.
    pub segments: Vec<Segment>,

    /// Text for the engine that answers.
    pub last_text: &'a str,

    /// Target and error of a segment that failed.
    pub failure: Option<(Arc<str>, EngineError)>,
}

impl Prefilled<'_> {
    /// Frees all segments. What cannot be freed now is freed by the reconciliation of its home.
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

/// Prefills all segments but the last at the same time.
pub fn prefill_segments<'a>(
    entry: &Entry,
    job: &Job,
    prompt: &'a str,
    plan: &SplitPlan,
    rooms: &[HeldRoom<'_>],
) -> Prefilled<'a> {
    let mut texts = cut(prompt, plan);
    let last_text = texts.pop().unwrap_or_default();
    let results: Vec<Result<Segment, EngineError>> = std::thread::scope(|scope| {
        let threads: Vec<_> = texts
            .iter()
            .zip(rooms)
            .enumerate()
            .map(|(index, (text, room))| {
                scope.spawn(move || prefill(entry, job, index as u32, text, room))
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_else(|_| Err(panicked())))
            .collect()
    });
    let mut prefilled =
        Prefilled { request: job.id, segments: Vec::new(), last_text, failure: None };
    for (result, room) in results.into_iter().zip(rooms) {
        match result {
            Ok(segment) => prefilled.segments.push(segment),
            Err(error) => prefilled.failure = Some((room.reserve.target.clone(), error)),
        }
    }
    prefilled
}

fn prefill(
    entry: &Entry,
    job: &Job,
    index: u32,
    text: &str,
    room: &Room,
) -> Result<Segment, EngineError> {
    if !room.may_start(entry) {
        return Err(EngineError::NotSent { problem: "the reservation was lost".to_owned() });
    }
    let segment = entry.engines.prefill_segment(&SegmentCall {
        address: room.reserved.address,
        request: room.reserve.request,
        model: &job.service,
        index,
        text,
        priority: room.reserve.priority,
        deadline: job.deadline,
    })?;
    entry.rooms.first_token(entry, room);
    Ok(segment)
}

fn panicked() -> EngineError {
    EngineError::Failed { problem: "the prefill thread panicked".to_owned() }
}

/// Cuts a prompt at the first tokens of the segments, moved back to the start of a character.
fn cut<'a>(prompt: &'a str, plan: &SplitPlan) -> Vec<&'a str> {
    let mut cuts: Vec<usize> = plan
        .segments
        .iter()
        .map(|segment| {
            let byte = usize::try_from(segment.first_token * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
            floor_char_boundary(prompt, byte)
        })
        .collect();
    cuts.push(prompt.len());
    cuts.windows(2).map(|pair| &prompt[pair[0]..pair[1]]).collect()
}

fn floor_char_boundary(text: &str, byte: usize) -> usize {
    let byte = byte.min(text.len());
    (0..=byte).rev().find(|byte| text.is_char_boundary(*byte)).unwrap_or(0)
}
