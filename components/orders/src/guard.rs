//! Safety rules of the state machine, which a test can disable one at a time.

/// A rule without which an order could run twice or be reported falsely.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderGuard {
    /// After a write whose result is unknown, the row is read back.
    ReadBack,
    /// Nothing is sent before the write of `Sending` is confirmed.
    MarkBeforeSend,
    /// A row in `Sending` is taken over only if the service allows a resend.
    NoTakeoverWhileSending,
    /// One attempt sends at most once.
    SendOnce,
    /// A send without a response is settled as in doubt, never as not run.
    UnknownIsInDoubt,
    /// Every write to an existing row is a compare-and-set on its version.
    VersionCheck,
    /// "Not run" from the last attempt does not cover earlier sends whose
    /// results are unknown.
    CountEarlierSends,
    /// A refused attempt never sends, even if its write takes effect
    /// later.
    RefusalIsFinal,
    /// A request with the same key but another path, media type or body is
    /// refused as a conflict.
    RejectOtherBody,
    /// A send is repeated only under the resend rule of the first send.
    ResendUnderSameRule,
}

/// Guards in force: all of them, unless a test disables one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct GuardSet {
    missing: Option<OrderGuard>,
}

impl GuardSet {
    /// All guards except `guard`, to test that a checker finds the fault.
    #[must_use]
    pub fn without(guard: OrderGuard) -> Self {
        Self {
            missing: Some(guard),
        }
    }

    /// Whether the guard is in force.
    #[must_use]
    pub fn holds(self, guard: OrderGuard) -> bool {
        self.missing != Some(guard)
    }
}
