//! Priority of a request at the engine.
//!
//! An engine prefills higher priorities first and chunk by chunk. Long prompts go one step lower than their workspace's
//! priority, so a short prompt that arrives at an engine in the middle of a long prefill waits for one chunk instead of
//! the rest of the prompt. Digests lag by up to 250 ms, so placement alone cannot keep shorts away from such engines.

use mulberry_types::Priority;

use crate::LONG_PROMPT_TOKENS;

/// Priority at the engine of a prompt from a workspace with this priority.
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
