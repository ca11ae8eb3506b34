//! Prompt texts that follow from a seed.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Text of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    pub tokens: u64,

    /// Seed of the text that no other prompt shares.
    pub seed: u64,

    /// Seed of the first half, which other prompts share.
    pub prefix_seed: Option<u64>,
}

impl Prompt {
    /// The text; one byte shorter than the tokens need, for the newline after a message.
    pub fn text(&self) -> String {
        let bytes = (self.tokens * BYTES_PER_TOKEN - 1) as usize;
        let shared = if self.prefix_seed.is_some() { bytes / 2 } else { 0 };
        let mut text = vec![0; bytes];
        fill(&mut text[..shared], self.prefix_seed.unwrap_or_default());
        fill(&mut text[shared..], self.seed);
        // All bytes are lower-case letters and spaces.
        String::from_utf8(text).unwrap_or_default()
    }
}

fn fill(bytes: &mut [u8], seed: u64) {
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(bytes);
    for byte in bytes {
        *byte = match *byte & 31 {
            letter @ 0..26 => b'a' + letter,
            _ => b' ',
        };
    }
}
