//! How much one read of the platform's store asks for.
//!
//! Load pattern: all reads share the store's link. When hundreds of routers have records to catch up
//! with, some answers don't begin within the timeout of their calls. The routers ask again, for as much.
//! The link stays full, and none of them makes progress.
//!
//! A read that times out therefore asks for a quarter the next time, and one that is answered for
//! twice as much. Smaller answers arrive in time, and the next read goes on where they end.

/// Largest size that is asked for, in KB.
const MAX_KB: u32 = 1024;

/// Smallest size, in KB. A record that is longer arrives once answered reads have raised the size.
const MIN_KB: u32 = 16;

/// Ratio of a size to that after a timeout.
const TIMEOUT_DIVISOR: u32 = 4;

/// Size of the next read.
#[derive(Clone, Copy, Debug)]
pub struct ReadSize {
    kb: u32,
}

impl Default for ReadSize {
    fn default() -> ReadSize {
        ReadSize { kb: MAX_KB }
    }
}

impl ReadSize {
    /// Size to ask for, in KB.
    pub fn kb(&self) -> u32 {
        self.kb
    }

    /// Records that a read was answered.
    pub fn record_answer(&mut self) {
        self.kb = (self.kb * 2).min(MAX_KB);
    }

    /// Records that a read timed out.
    pub fn record_timeout(&mut self) {
        self.kb = (self.kb / TIMEOUT_DIVISOR).max(MIN_KB);
    }
}
