//! Parses the bodies of OpenAI-compatible completion requests.

use entry::{ApiFailure, FailureKind};
use serde::Deserialize;
use types::TokenCount;

const DEFAULT_OUTPUT_TOKENS: TokenCount = 256;
const MAX_OUTPUT_TOKENS: TokenCount = 131_072;

/// Parameters of a completion request, text or chat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptBody {
    /// Name of a model or adapter, as the caller sent it.
    pub model: String,
    /// Text of the prompt; for chat, the messages joined into one text.
    pub text: String,
    /// Maximum number of tokens to generate.
    pub output_tokens: TokenCount,
    /// Whether to stream the answer as server-sent events.
    pub stream: bool,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: PromptField,
    #[serde(flatten)]
    options: BodyOptions,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(flatten)]
    options: BodyOptions,
}

#[derive(Deserialize)]
struct BodyOptions {
    max_tokens: Option<TokenCount>,
    max_completion_tokens: Option<TokenCount>,
    #[serde(default)]
    stream: bool,
    n: Option<u32>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum PromptField {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: MessageContent,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum MessageContent {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Deserialize)]
struct ContentPart {
    text: String,
}

/// Parses the body of a `/v1/completions` request.
///
/// # Errors
/// `ApiFailure` that names the invalid field.
pub fn parse_completion(bytes: &[u8]) -> Result<PromptBody, ApiFailure> {
    let body: CompletionBody = parse_json(bytes)?;
    let text = match body.prompt {
        PromptField::One(text) => text,
        PromptField::Many(mut texts) if texts.len() == 1 => texts.remove(0),
        PromptField::Many(_) => {
            return Err(unsupported_value(
                "prompt",
                "one prompt a request is supported",
            ));
        }
    };
    prompt_body(body.model, text, &body.options, "prompt")
}

/// Parses the body of a `/v1/chat/completions` request.
///
/// # Errors
/// `ApiFailure` that names the invalid field.
pub fn parse_chat(bytes: &[u8]) -> Result<PromptBody, ApiFailure> {
    let body: ChatBody = parse_json(bytes)?;
    let text: String = body.messages.iter().map(message_text).collect();
    prompt_body(body.model, text, &body.options, "messages")
}

fn prompt_body(
    model: String,
    text: String,
    options: &BodyOptions,
    field: &str,
) -> Result<PromptBody, ApiFailure> {
    if text.is_empty() {
        return Err(unsupported_value(field, "the prompt is empty"));
    }
    if options.n.is_some_and(|count| count != 1) {
        return Err(unsupported_value("n", "one answer a request is supported"));
    }
    let requested = options.max_completion_tokens.or(options.max_tokens);
    let output_tokens = requested.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    if !(1..=MAX_OUTPUT_TOKENS).contains(&output_tokens) {
        let cause = format!("expected a value from 1 to {MAX_OUTPUT_TOKENS}");
        return Err(unsupported_value("max_tokens", &cause));
    }
    Ok(PromptBody {
        model,
        text,
        output_tokens,
        stream: options.stream,
    })
}

fn message_text(message: &ChatMessage) -> String {
    let content = match &message.content {
        MessageContent::Text(text) => text.clone(),
        MessageContent::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
    };
    format!("{}: {content}\n", message.role)
}

fn parse_json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, ApiFailure> {
    serde_json::from_slice(bytes).map_err(|error| {
        let message = format!("the body is not as expected: {error}; nothing was run");
        ApiFailure::new(FailureKind::BadRequest, "malformed_body", message)
    })
}

fn unsupported_value(field: &str, cause: &str) -> ApiFailure {
    ApiFailure::new(FailureKind::Unprocessable, "unsupported_value", cause).with_param(field)
}
