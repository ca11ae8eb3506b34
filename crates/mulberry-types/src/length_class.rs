//! Length classes of prompts.

use serde::{Deserialize, Serialize};

/// Average bytes of text per token; the engine's own count corrects the estimate.
const BYTES_PER_TOKEN: u64 = 4;

/// Class of a prompt by its number of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LengthClass {
    /// Up to 2,000 tokens.
    Short,

    /// Up to 16,000 tokens.
    Medium,

    /// Up to 128,000 tokens.
    Long,

    /// Over 128,000 tokens.
    Huge,
}

impl LengthClass {
    pub const ALL: [LengthClass; 4] =
        [LengthClass::Short, LengthClass::Medium, LengthClass::Long, LengthClass::Huge];

    /// Class of a prompt of `prompt_tokens`.
    pub fn of(prompt_tokens: u64) -> LengthClass {
        match prompt_tokens {
            0..=2_000 => LengthClass::Short,
            2_001..=16_000 => LengthClass::Medium,
            16_001..=128_000 => LengthClass::Long,
            _ => LengthClass::Huge,
        }
    }

    /// Name in metrics and tables.
    pub fn name(self) -> &'static str {
        match self {
            LengthClass::Short => "up_to_2k",
            LengthClass::Medium => "2k_to_16k",
            LengthClass::Long => "16k_to_128k",
            LengthClass::Huge => "over_128k",
        }
    }
}

/// Estimated tokens of a text of `bytes` bytes, rounded up.
pub fn estimate_tokens(bytes: u64) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN)
}
