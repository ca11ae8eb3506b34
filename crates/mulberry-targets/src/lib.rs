//! Announcements of targets and the client for engines.
