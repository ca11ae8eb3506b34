//! Raft core without clock, socket or file.
