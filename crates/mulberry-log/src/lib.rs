//! Data folder with a checksummed log and snapshots.
