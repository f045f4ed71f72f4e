//! The parts of a prompt, as declared by the caller, and their sizes in tokens.

use smallvec::SmallVec;

/// A contiguous part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the part, chosen by callers; equal parts have equal ids.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// A prompt as its caller declares it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order of the prompt; the last one isn't shared beyond this request or its session.
    pub parts: SmallVec<[Part; 4]>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Limit on generated tokens.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// The last shared part, which determines the preferred target; `None` with fewer than two
    /// parts.
    pub fn last_shared_part(&self) -> Option<Part> {
        self.parts.len().checked_sub(2).map(|at| self.parts[at])
    }

    /// Tokens in shared parts, which are all parts but the last.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }

    /// Tokens outside shared parts.
    pub fn own_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }

    /// Tokens charged to the team: those of the prompt once, those that may be generated twice.
    ///
    /// Shared parts count in full also when they are cached, so that a team's share doesn't depend
    /// on where its requests are sent.
    pub fn charged_tokens(&self) -> u32 {
        self.prompt_tokens + 2 * self.max_output_tokens
    }
}
