//! Request and response bodies of the model API.

use std::fmt::Write;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

/// Length of a token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// A request of the model API, with the fields that the engine uses.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Completion {
    /// Name of the model.
    pub model: String,
    /// Messages of a chat completion.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Prompt of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Maximum length of the response in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens`, which takes precedence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u32>,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Tag of the tokens, written with a colon; without a user, the tag is `t`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
    /// Length of the response in tokens, unless the maximum is smaller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standin_tokens: Option<u32>,
    /// Whether the event of each token contains its send time as `standin_sent_us`.
    #[serde(default)]
    pub standin_timing: bool,
}

/// A message of a chat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Message {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the response.
    pub completion_tokens: u32,
    /// Sum of prompt and completion tokens.
    pub total_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

impl Completion {
    /// Text of all messages and the prompt, as covered by the prefix hashes.
    pub fn prompt_text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&message.content);
            text.push('\n');
        }
        text.push_str(self.prompt.as_deref().unwrap_or_default());
        text
    }

    /// Number of prompt tokens as the engine counts them: 4 bytes each, rounded up.
    pub fn prompt_token_count(&self) -> u32 {
        count_prompt_tokens(self.prompt_text().as_bytes())
    }

    /// Length of the response in tokens, and whether the maximum truncates it.
    ///
    /// Without a stated length, it is derived from a hash of the prompt, so that it is
    /// reproducible.
    pub(super) fn response_length(&self, prompt: &str, default_max_tokens: u32) -> (u32, bool) {
        let limit = self.max_completion_tokens.or(self.max_tokens);
        let requested = match (self.standin_tokens, limit) {
            (Some(requested), _) => requested,
            (None, Some(limit)) => limit,
            (None, None) => {
                let hash = blake3::hash(prompt.as_bytes());
                let head = u16::from_be_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]);
                1 + u32::from(head) % default_max_tokens.max(1)
            }
        };
        let length = requested.min(limit.unwrap_or(u32::MAX)).max(1);
        (length, length < requested)
    }
}

/// Number of tokens of a prompt.
pub(super) fn count_prompt_tokens(prompt: &[u8]) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Completion endpoint that was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Chat,
    Text,
}

/// Formats the response to a request in the format of the model API.
#[derive(Clone, Debug)]
pub(super) struct ResponseWriter {
    kind: Kind,
    id: String,
    created_s: u64,
    /// Name of the model as a JSON string.
    model_json: String,
    /// Tag, escaped for use inside a JSON string.
    tag_json: String,
    is_truncated: bool,
    has_timing: bool,
}

impl ResponseWriter {
    pub(super) fn new(
        kind: Kind,
        id: String,
        created_s: u64,
        request: &Completion,
        is_truncated: bool,
    ) -> ResponseWriter {
        let tag = request.user.as_deref().map_or("t".to_owned(), |user| format!("{user}:"));
        let tag_json = json_string(&tag);
        ResponseWriter {
            kind,
            id,
            created_s,
            model_json: json_string(&request.model),
            tag_json: tag_json[1..tag_json.len() - 1].to_owned(),
            is_truncated,
            has_timing: request.standin_timing,
        }
    }

    fn finish_reason(&self) -> &'static str {
        if self.is_truncated { "length" } else { "stop" }
    }

    fn head(&self, out: &mut String, object: &str) {
        let ResponseWriter { id, created_s, model_json, .. } = self;
        let _ = write!(
            out,
            r#"{{"id":"{id}","object":"{object}","created":{created_s},"model":{model_json},"#
        );
    }

    fn chunk_object(&self) -> &'static str {
        match self.kind {
            Kind::Chat => "chat.completion.chunk",
            Kind::Text => "text_completion",
        }
    }

    /// Appends the event of the n-th token, from 1.
    pub(super) fn token_event(&self, out: &mut String, n: u32) {
        let tag = &self.tag_json;
        let _ = write!(out, "id: {n}\ndata: ");
        self.head(out, self.chunk_object());
        if self.has_timing {
            let _ = write!(out, r#""standin_sent_us":{},"#, unix_time().as_micros());
        }
        let _ = match self.kind {
            Kind::Chat => write!(
                out,
                r#""choices":[{{"index":0,"delta":{{"content":"{tag}{n} "}},"finish_reason":null}}]}}"#
            ),
            Kind::Text => write!(
                out,
                r#""choices":[{{"index":0,"text":"{tag}{n} ","finish_reason":null}}]}}"#
            ),
        };
        out.push_str("\n\n");
    }

    /// Appends the final events of a stream.
    pub(super) fn end_events(&self, out: &mut String, usage: &Usage) {
        out.push_str("data: ");
        self.head(out, self.chunk_object());
        let reason = self.finish_reason();
        let _ = match self.kind {
            Kind::Chat => {
                write!(out, r#""choices":[{{"index":0,"delta":{{}},"finish_reason":"{reason}"}}],"#)
            }
            Kind::Text => {
                write!(out, r#""choices":[{{"index":0,"text":"","finish_reason":"{reason}"}}],"#)
            }
        };
        push_usage(out, usage);
        out.push_str("}\n\ndata: [DONE]\n\n");
    }

    /// Body of a response that isn't streamed.
    pub(super) fn complete_body(&self, usage: &Usage) -> String {
        let mut out = String::with_capacity(512 + usage.completion_tokens as usize * 8);
        let tag = &self.tag_json;
        let reason = self.finish_reason();
        let object = match self.kind {
            Kind::Chat => "chat.completion",
            Kind::Text => "text_completion",
        };
        self.head(&mut out, object);
        out.push_str(match self.kind {
            Kind::Chat => r#""choices":[{"index":0,"message":{"role":"assistant","content":""#,
            Kind::Text => r#""choices":[{"index":0,"text":""#,
        });
        for n in 1..=usage.completion_tokens {
            let _ = write!(out, "{tag}{n} ");
        }
        out.push_str(if self.kind == Kind::Chat { "\"}" } else { "\"" });
        let _ = write!(out, r#","finish_reason":"{reason}"}}],"#);
        push_usage(&mut out, usage);
        out.push('}');
        out
    }
}

fn push_usage(out: &mut String, usage: &Usage) {
    let Usage { prompt_tokens, completion_tokens, total_tokens, cached_tokens } = usage;
    let _ = write!(
        out,
        r#""usage":{{"prompt_tokens":{prompt_tokens},"completion_tokens":{completion_tokens},"total_tokens":{total_tokens},"cached_tokens":{cached_tokens}}}"#
    );
}

/// Time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
