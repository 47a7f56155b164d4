//! Budgets for extra calls, such as hedges and retries.

/// `Budget` allows extra calls in proportion to regular ones, with a bounded reserve.
///
/// Over any run of calls the extra ones stay at or below `ratio` times the regular ones plus the
/// reserve.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Tokens earned by one regular call.
    ratio: f64,
    /// Largest number of tokens that can be saved.
    reserve: f64,
    /// Invariant: `0 <= tokens <= reserve`.
    tokens: f64,
}

impl Budget {
    /// Creates a budget with a full reserve.
    pub fn new(ratio: f64, reserve: f64) -> Self {
        Self::with_tokens(ratio, reserve, reserve)
    }

    /// Creates a budget with a part of its reserve.
    pub fn with_tokens(ratio: f64, reserve: f64, tokens: f64) -> Self {
        Self {
            ratio,
            reserve,
            tokens: tokens.clamp(0.0, reserve),
        }
    }

    /// Replaces the ratio; saved tokens are kept.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Replaces the reserve; saved tokens beyond it are dropped.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
        self.tokens = self.tokens.min(reserve);
    }

    /// Adds the tokens earned by a number of regular calls.
    pub fn earn(&mut self, calls: usize) {
        self.tokens = (self.tokens + self.ratio * calls as f64).min(self.reserve);
    }

    /// Attempts to take the token for one extra call.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives back the token of an extra call that did not run.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.reserve);
    }
}
