//! Health checks, metrics and logs for the platform.
