//! Answers in the shapes of the completion APIs.

use std::sync::Arc;

use mulberry_types::RequestId;
use serde_json::{Value, json};

use crate::Endpoint;

/// Shape of one answer.
#[derive(Debug, Clone)]
pub struct AnswerShape {
    endpoint: Endpoint,
    id: String,
    model: Arc<str>,
    created_s: u64,
}

impl AnswerShape {
    /// Shape of the answer to a request that arrived at `created_s`, in seconds since 1970.
    pub fn new(
        endpoint: Endpoint,
        request: RequestId,
        model: Arc<str>,
        created_s: u64,
    ) -> AnswerShape {
        let prefix = match endpoint {
            Endpoint::Chat => "chatcmpl",
            Endpoint::Text => "cmpl",
        };
        AnswerShape { endpoint, id: format!("{prefix}-{request}"), model, created_s }
    }

    /// Event with a piece of text. The first one of a chat names the role.
    pub fn text_event(&self, text: &str, is_first: bool) -> String {
        let choice = match self.endpoint {
            Endpoint::Chat if is_first => {
                json!({"index": 0, "delta": {"role": "assistant", "content": text},
                       "finish_reason": null})
            }
            Endpoint::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            Endpoint::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        self.event(&json!([choice]), None)
    }

    /// Event with the reason for which the answer ended.
    pub fn finish_event(&self, finish_reason: &str) -> String {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({"index": 0, "delta": {}, "finish_reason": finish_reason}),
            Endpoint::Text => json!({"index": 0, "text": "", "finish_reason": finish_reason}),
        };
        self.event(&json!([choice]), None)
    }

    /// Event with the usage, for callers that asked for it.
    pub fn usage_event(&self, prompt_tokens: u64, answer_tokens: u64) -> String {
        self.event(&json!([]), Some(usage(prompt_tokens, answer_tokens)))
    }

    /// Body of an answer that is not streamed.
    pub fn whole_body(
        &self,
        text: &str,
        finish_reason: &str,
        prompt_tokens: u64,
        answer_tokens: u64,
    ) -> String {
        let choice = match self.endpoint {
            Endpoint::Chat => {
                json!({"index": 0, "message": {"role": "assistant", "content": text},
                       "finish_reason": finish_reason})
            }
            Endpoint::Text => json!({"index": 0, "text": text, "finish_reason": finish_reason}),
        };
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion",
            Endpoint::Text => "text_completion",
        };
        json!({
            "id": self.id, "object": object, "created": self.created_s, "model": self.model,
            "choices": [choice], "usage": usage(prompt_tokens, answer_tokens),
        })
        .to_string()
    }

    fn event(&self, choices: &Value, usage: Option<Value>) -> String {
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        };
        let mut event = json!({
            "id": self.id, "object": object, "created": self.created_s, "model": self.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            event["usage"] = usage;
        }
        format!("data: {event}\n\n")
    }
}

/// Body of `GET /v1/models`.
pub fn models_body(models: &[Arc<str>]) -> String {
    let data: Vec<_> = models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "mulberryladder"}))
        .collect();
    json!({"object": "list", "data": data}).to_string()
}

fn usage(prompt_tokens: u64, answer_tokens: u64) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": answer_tokens,
        "total_tokens": prompt_tokens + answer_tokens,
    })
}
