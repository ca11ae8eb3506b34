//! Scheduling priority of a request at the engine.
//!
//! Engines prefill in chunks, highest priority first. Long prompts get one level less than the
//! priority of their workspace, so a short prompt that arrives during a long prefill waits for one
//! chunk instead of the rest of the long prompt. Target selection alone cannot keep short prompts away
//! from such engines, because digests lag by up to 250 ms.

use mulberry_types::Priority;

use crate::LONG_PROMPT_TOKENS;

/// Engine priority of a prompt from a workspace with the given priority.
#[must_use]
pub fn engine_priority(workspace: Priority, prompt_tokens: u64) -> Priority {
    if prompt_tokens <= LONG_PROMPT_TOKENS {
        return workspace;
    }
    match workspace {
        Priority::High => Priority::Normal,
        Priority::Normal | Priority::Low => Priority::Low,
    }
}
