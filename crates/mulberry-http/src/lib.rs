//! Bounded blocking HTTP server.
