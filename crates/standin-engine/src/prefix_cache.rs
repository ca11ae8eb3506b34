//! Cache of prompt prefixes in blocks, with eviction of the block that was not used for the longest time.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of one cached block.
pub const BLOCK_TOKENS: u64 = 1_024;

/// Bytes of text of one cached block, at four bytes for each token.
const BLOCK_BYTES: usize = 4 * BLOCK_TOKENS as usize;

/// Hash of each whole block of a text. It covers the text before the block as well.
pub(crate) fn block_hashes(text: &str) -> Vec<u64> {
    let mut hash = 0;
    text.as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// Blocks by their hash.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// Last use of each block.
    blocks: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    pub(crate) fn tokens(&self) -> u64 {
        self.blocks.len() as u64 * BLOCK_TOKENS
    }

    /// Tokens at the start of a prompt that need no prefill.
    pub(crate) fn lookup(&mut self, hashes: &[u64]) -> u64 {
        let cached = hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count();
        for hash in &hashes[..cached] {
            self.insert(*hash);
        }
        cached as u64 * BLOCK_TOKENS
    }

    /// Adds a block or marks it as used now. Returns whether it is new.
    pub(crate) fn insert(&mut self, hash: u64) -> bool {
        self.uses += 1;
        let before = self.blocks.insert(hash, self.uses);
        if let Some(before) = before {
            self.by_last_use.remove(&before);
        }
        self.by_last_use.insert(self.uses, hash);
        before.is_none()
    }

    pub(crate) fn evict_oldest(&mut self) -> Option<u64> {
        let (_, hash) = self.by_last_use.pop_first()?;
        self.blocks.remove(&hash);
        Some(hash)
    }
}
