//! Routing, admission, reservation and retry decisions.
