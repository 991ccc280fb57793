//! The guards of the state machine, each of which a test can take away.

/// One rule that at-most-once rests on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderGuard {
    /// A lost answer to a write is resolved by reading the row back.
    ReadBack,
    /// Nothing is sent before the row says `Sending` and that is acknowledged.
    MarkBeforeSend,
    /// A row that says `Sending` is never taken over by its age.
    NoTakeoverWhileSending,
    /// Nothing is sent twice by one attempt.
    SendOnce,
    /// A send without an answer is in doubt, never not run.
    UnknownIsInDoubt,
    /// Every row change names the version it follows.
    VersionCheck,
    /// A clean failure says nothing of sends by earlier attempts.
    CountEarlierSends,
    /// An attempt that was refused is never sent, even if its row shows up.
    RefusalIsFinal,
    /// The same key with another body is a conflict.
    RejectOtherBody,
    /// A send is repeated only under the promise the first one was made under.
    ResendUnderSameRule,
}

/// Which guards hold: all of them, unless a test takes one away.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct GuardSet {
    missing: Option<OrderGuard>,
}

impl GuardSet {
    /// All guards but one; for tests of the checker.
    #[must_use]
    pub fn without(guard: OrderGuard) -> Self {
        Self {
            missing: Some(guard),
        }
    }

    /// Whether the guard holds.
    #[must_use]
    pub fn holds(self, guard: OrderGuard) -> bool {
        self.missing != Some(guard)
    }
}
