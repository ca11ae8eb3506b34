//! Authenticated frames between the processes of the system.
