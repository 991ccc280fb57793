//! OpenAI-compatible completion responses.

use serde::Serialize;
use types::TokenCount;

use super::prompt_run::PromptRun;

/// Response format of the endpoint that the caller used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFormat {
    /// `text_completion`, of `/v1/completions`.
    Text,
    /// `chat.completion`, of `/v1/chat/completions`.
    Chat,
}

/// Position of a chunk in a streamed answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamPosition {
    /// Index of the token in the chunk, from 0.
    Token(TokenCount),
    /// After the last token; holds the number of tokens in the answer.
    End(TokenCount),
}

/// A complete answer or one chunk of a streamed answer.
#[derive(Serialize)]
pub struct CompletionResponse {
    id: String,
    object: &'static str,
    created: u64,
    model: String,
    choices: Vec<CompletionChoice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Serialize)]
struct CompletionChoice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatContent>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatContent>,
    logprobs: Option<()>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChatContent {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
}

#[derive(Serialize)]
struct TokenUsage {
    prompt_tokens: TokenCount,
    completion_tokens: TokenCount,
    total_tokens: TokenCount,
    prompt_tokens_details: PromptUsage,
}

#[derive(Serialize)]
struct PromptUsage {
    cached_tokens: TokenCount,
}

impl ResponseFormat {
    /// Builds the response with the complete answer.
    #[must_use]
    pub fn full_response(
        self,
        run: &PromptRun,
        created: u64,
        text: &str,
        tokens: TokenCount,
    ) -> CompletionResponse {
        let mut choice = empty_choice(Some(run.finish_reason(tokens)));
        match self {
            Self::Text => choice.text = Some(text.to_owned()),
            Self::Chat => {
                choice.message = Some(ChatContent {
                    role: Some("assistant"),
                    content: Some(text.to_owned()),
                });
            }
        }
        let object = match self {
            Self::Text => "text_completion",
            Self::Chat => "chat.completion",
        };
        self.build_response(run, created, object, choice, Some(token_usage(run, tokens)))
    }

    /// Builds one chunk of a streamed answer.
    #[must_use]
    pub fn chunk(
        self,
        run: &PromptRun,
        created: u64,
        position: StreamPosition,
        text: &str,
    ) -> CompletionResponse {
        let (finish_reason, tokens) = match position {
            StreamPosition::Token(_) => (None, None),
            StreamPosition::End(tokens) => (Some(run.finish_reason(tokens)), Some(tokens)),
        };
        let mut choice = empty_choice(finish_reason);
        match self {
            Self::Text => choice.text = Some(text.to_owned()),
            Self::Chat => {
                choice.delta = Some(ChatContent {
                    role: (position == StreamPosition::Token(0)).then_some("assistant"),
                    content: finish_reason.is_none().then(|| text.to_owned()),
                });
            }
        }
        let object = match self {
            Self::Text => "text_completion",
            Self::Chat => "chat.completion.chunk",
        };
        let usage = tokens.map(|tokens| token_usage(run, tokens));
        self.build_response(run, created, object, choice, usage)
    }

    fn build_response(
        self,
        run: &PromptRun,
        created: u64,
        object: &'static str,
        choice: CompletionChoice,
        usage: Option<TokenUsage>,
    ) -> CompletionResponse {
        let prefix = match self {
            Self::Text => "cmpl",
            Self::Chat => "chatcmpl",
        };
        CompletionResponse {
            id: format!("{prefix}-{}", run.public_id),
            object,
            created,
            model: run.model.clone(),
            choices: vec![choice],
            usage,
        }
    }
}

fn empty_choice(finish_reason: Option<&'static str>) -> CompletionChoice {
    CompletionChoice {
        index: 0,
        text: None,
        message: None,
        delta: None,
        logprobs: None,
        finish_reason,
    }
}

fn token_usage(run: &PromptRun, tokens: TokenCount) -> TokenUsage {
    TokenUsage {
        prompt_tokens: run.prompt_tokens,
        completion_tokens: tokens,
        total_tokens: run.prompt_tokens + tokens,
        prompt_tokens_details: PromptUsage {
            cached_tokens: run.cached_tokens,
        },
    }
}
