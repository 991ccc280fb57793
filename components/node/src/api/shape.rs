//! Answers in the usual OpenAI-compatible shapes.

use serde::Serialize;
use types::TokenCount;

use super::prompt_run::PromptRun;

/// Which of the two shapes a caller asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerShape {
    /// `text_completion`.
    Text,
    /// `chat.completion`.
    Chat,
}

/// Where in a streamed answer a chunk stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamPlace {
    /// A token, counted from 0.
    Token(TokenCount),
    /// Behind the last token; with their number.
    End(TokenCount),
}

/// A whole answer or one chunk of a streamed one.
#[derive(Serialize)]
pub struct CompletionAnswer {
    id: String,
    object: &'static str,
    created: u64,
    model: String,
    choices: Vec<AnswerChoice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Serialize)]
struct AnswerChoice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatPart>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatPart>,
    logprobs: Option<()>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChatPart {
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

impl AnswerShape {
    /// The whole answer.
    #[must_use]
    pub fn whole(
        self,
        run: &PromptRun,
        created: u64,
        text: &str,
        tokens: TokenCount,
    ) -> CompletionAnswer {
        let mut choice = empty_choice(Some(run.finish_reason(tokens)));
        match self {
            Self::Text => choice.text = Some(text.to_owned()),
            Self::Chat => {
                choice.message = Some(ChatPart {
                    role: Some("assistant"),
                    content: Some(text.to_owned()),
                });
            }
        }
        let object = match self {
            Self::Text => "text_completion",
            Self::Chat => "chat.completion",
        };
        self.answer(run, created, object, choice, Some(usage(run, tokens)))
    }

    /// One chunk of a streamed answer.
    #[must_use]
    pub fn chunk(
        self,
        run: &PromptRun,
        created: u64,
        place: StreamPlace,
        text: &str,
    ) -> CompletionAnswer {
        let (finish_reason, tokens) = match place {
            StreamPlace::Token(_) => (None, None),
            StreamPlace::End(tokens) => (Some(run.finish_reason(tokens)), Some(tokens)),
        };
        let mut choice = empty_choice(finish_reason);
        match self {
            Self::Text => choice.text = Some(text.to_owned()),
            Self::Chat => {
                choice.delta = Some(ChatPart {
                    role: (place == StreamPlace::Token(0)).then_some("assistant"),
                    content: finish_reason.is_none().then(|| text.to_owned()),
                });
            }
        }
        let object = match self {
            Self::Text => "text_completion",
            Self::Chat => "chat.completion.chunk",
        };
        let usage = tokens.map(|tokens| usage(run, tokens));
        self.answer(run, created, object, choice, usage)
    }

    fn answer(
        self,
        run: &PromptRun,
        created: u64,
        object: &'static str,
        choice: AnswerChoice,
        usage: Option<TokenUsage>,
    ) -> CompletionAnswer {
        let prefix = match self {
            Self::Text => "cmpl",
            Self::Chat => "chatcmpl",
        };
        CompletionAnswer {
            id: format!("{prefix}-{}", run.shown_id),
            object,
            created,
            model: run.model.clone(),
            choices: vec![choice],
            usage,
        }
    }
}

fn empty_choice(finish_reason: Option<&'static str>) -> AnswerChoice {
    AnswerChoice {
        index: 0,
        text: None,
        message: None,
        delta: None,
        logprobs: None,
        finish_reason,
    }
}

fn usage(run: &PromptRun, tokens: TokenCount) -> TokenUsage {
    TokenUsage {
        prompt_tokens: run.prompt_tokens,
        completion_tokens: tokens,
        total_tokens: run.prompt_tokens + tokens,
        prompt_tokens_details: PromptUsage {
            cached_tokens: run.cached_tokens,
        },
    }
}
