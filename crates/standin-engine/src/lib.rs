//! Model engine emulator for tests and measurement.
//!
//! An [`Engine`] answers over HTTP as a model engine does, takes the time and the memory that one would take, and fails
//! on demand. The text of an answer is a function of its prompt, see [`expected_answer`].

mod answer;
mod api;
mod batch;
mod completion;
mod engine;
mod fault;
mod life;
mod order;
mod prefix_cache;
mod settings;

pub use answer::{AnswerSeed, DEFAULT_MAX_TOKENS, Message, chat_prompt, expected_answer};
pub use engine::Engine;
pub use fault::Fault;
pub use order::{Order, OrderRequest, Role};
pub use prefix_cache::BLOCK_TOKENS;
pub use settings::{ColdStartSettings, EngineSettings};
