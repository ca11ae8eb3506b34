//! Replicated state machine: configuration, claims and membership.
