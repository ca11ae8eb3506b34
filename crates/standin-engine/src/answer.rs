//! Text of prompts and answers. An answer is a function of its prompt, so that a client can tell a right answer from a
//! wrong, crossed, short or doubled one.

use serde::Deserialize;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of an answer whose request does not set `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// Letters of one token of an answer; a space follows.
const TOKEN_LETTERS: usize = 6;

/// One message of a chat request.
#[derive(Debug, Clone, Deserialize)]
pub struct Message {
    pub content: String,
}

/// Prompt text of a chat request: the contents of the messages, each followed by a newline.
pub fn chat_prompt<'a>(contents: impl IntoIterator<Item = &'a str>) -> String {
    let mut text = String::new();
    for content in contents {
        text.push_str(content);
        text.push('\n');
    }
    text
}

/// The whole answer to a prompt.
///
/// The prompt text is the text of all segments and of the prompt itself in order, however it was split.
pub fn expected_answer(prompt_text: &str, max_tokens: u32) -> String {
    let seed = AnswerSeed::of([prompt_text]);
    (0..max_tokens).map(|index| seed.token(index)).collect()
}

/// What the tokens of an answer are derived from.
#[derive(Debug, Clone)]
pub struct AnswerSeed([u8; 32]);

impl AnswerSeed {
    /// Seed of a prompt that is given in pieces.
    pub fn of<'a>(pieces: impl IntoIterator<Item = &'a str>) -> AnswerSeed {
        let mut hash = Sha256::new();
        for piece in pieces {
            hash.update(piece.as_bytes());
        }
        AnswerSeed(hash.finalize().into())
    }

    /// Token `index` of the answer.
    pub fn token(&self, index: u32) -> String {
        let mut bits = xxh3_64_with_seed(&self.0, u64::from(index));
        let mut token = String::with_capacity(TOKEN_LETTERS + 1);
        for _ in 0..TOKEN_LETTERS {
            token.push(char::from(b'a' + (bits % 26) as u8));
            bits /= 26;
        }
        token.push(' ');
        token
    }
}
