//! Generates the answer text of a stand-in engine, a pure function of the model,
//! version, adapter and prompt.

use sha2::{Digest, Sha256};
use types::{AdapterId, ModelId, ModelVersion, TokenCount};

const TOKEN_TEXT_BYTES: usize = 3;
const NO_ADAPTER: &str = "";

/// Hash from which the tokens of an answer are derived, the same on every engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AnswerSeed {
    digest: [u8; 32],
}

impl AnswerSeed {
    pub(crate) fn new(
        model: &ModelId,
        version: &ModelVersion,
        adapter: Option<&AdapterId>,
        prompt: &str,
    ) -> Self {
        let adapter = adapter.map_or(NO_ADAPTER, String::as_str);
        let mut digest = Sha256::new();
        for part in [model.as_str(), version.as_str(), adapter, prompt] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        Self {
            digest: digest.finalize().into(),
        }
    }

    pub(crate) fn token(&self, index: TokenCount) -> String {
        let digest = Sha256::new()
            .chain_update(self.digest)
            .chain_update(index.to_be_bytes());
        let word = hex::encode(&digest.finalize()[..TOKEN_TEXT_BYTES]);
        if index == 0 {
            return word;
        }
        format!(" {word}")
    }
}

/// Returns the text of token `index`, counted from 0, of the answer to `prompt`.
#[must_use]
pub fn expected_token(
    model: &ModelId,
    version: &ModelVersion,
    adapter: Option<&AdapterId>,
    prompt: &str,
    index: TokenCount,
) -> String {
    AnswerSeed::new(model, version, adapter, prompt).token(index)
}

/// Returns the text of the first `tokens` tokens of the answer to `prompt`.
#[must_use]
pub fn expected_answer(
    model: &ModelId,
    version: &ModelVersion,
    adapter: Option<&AdapterId>,
    prompt: &str,
    tokens: TokenCount,
) -> String {
    let seed = AnswerSeed::new(model, version, adapter, prompt);
    (0..tokens).map(|index| seed.token(index)).collect()
}
