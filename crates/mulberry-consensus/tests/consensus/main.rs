//! Tests of the Raft core: single replicas, directed scenarios and random schedules of whole groups.

mod replica;
mod scenarios;
mod schedules;
mod simulation;
