//! The parts of a prompt, as far as callers tell them, and what each costs.

use smallvec::SmallVec;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a caller says of a prompt: its parts in order, and bounds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last belongs to this request or its session.
    pub parts: SmallVec<[Part; 4]>,
    /// Length of the whole prompt.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// The last part that other requests share, which decides where the prompt is at home.
    pub fn last_shared_part(&self) -> Option<Part> {
        self.parts.len().checked_sub(2).map(|at| self.parts[at])
    }

    /// Tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }

    /// Tokens that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }

    /// What a team is charged: each token of the prompt once, each generated one twice.
    ///
    /// Shared parts count whether a target keeps them or not, so that a team's share doesn't depend
    /// on where its requests were sent.
    pub fn charged_tokens(&self) -> u32 {
        self.prompt_tokens + 2 * self.max_output_tokens
    }
}
