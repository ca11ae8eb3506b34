//! Whether this registry takes part in a group with a leader, for operators.

use std::net::SocketAddr;

use mulberry_consensus::MemberId;

use super::Node;
use super::replica::Replica;

/// Time after which a missing group or leader is logged, and interval between the lines. An election and the admission
/// of a new member take less.
const REPORT_INTERVAL_MS: u64 = 5_000;

/// Age up to which a hello shows that a registry can be reached.
const HEARD_WITHIN_MS: u64 = 1_500;

/// How a registry takes part in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GroupStatus {
    /// The data folder is not open.
    Closed,

    /// It is not among the members that it knows, or knows none: no leader has admitted it.
    Outside,

    /// It is a member but knows no leader.
    Leaderless,

    Following,
}

/// The status, since when it has lasted, and when to log it next.
#[derive(Debug)]
pub(super) struct GroupReport {
    status: GroupStatus,
    since_ms: u64,
    due_ms: u64,
}

impl Default for GroupReport {
    fn default() -> GroupReport {
        GroupReport { status: GroupStatus::Closed, since_ms: 0, due_ms: REPORT_INTERVAL_MS }
    }
}

impl Node {
    fn group_status(&self) -> GroupStatus {
        match &self.replica {
            None => GroupStatus::Closed,
            Some(Replica { raft, .. }) if !raft.members().contains(raft.id()) => {
                GroupStatus::Outside
            }
            Some(Replica { raft, .. }) if raft.leader().is_none() => GroupStatus::Leaderless,
            Some(_) => GroupStatus::Following,
        }
    }

    /// Logs a status that lasts too long, with what tells its causes apart.
    pub(super) fn report_group_status(&mut self, now_ms: u64) {
        let status = self.group_status();
        let is_member = matches!(status, GroupStatus::Leaderless | GroupStatus::Following);
        self.metrics.is_member.set(i64::from(is_member));
        if status != self.group_report.status {
            let due_ms = now_ms + REPORT_INTERVAL_MS;
            self.group_report = GroupReport { status, since_ms: now_ms, due_ms };
        }
        if now_ms < self.group_report.due_ms {
            return;
        }
        self.group_report.due_ms = now_ms + REPORT_INTERVAL_MS;
        let waited_ms = now_ms - self.group_report.since_ms;
        let heard: Vec<SocketAddr> = self
            .hellos
            .iter()
            .filter(|(_, (_, received_ms))| received_ms + HEARD_WITHIN_MS >= now_ms)
            .map(|(address, _)| *address)
            .collect();
        match (status, &self.replica) {
            (GroupStatus::Outside, Some(_)) => tracing::warn!(
                event = "not_admitted",
                waited_ms,
                seeds = ?self.settings.seeds,
                heard = ?heard
            ),
            (GroupStatus::Leaderless, Some(replica)) => {
                let addresses = |member: &MemberId| self.address_of(*member);
                let voters = &replica.raft.members().voters;
                tracing::warn!(
                    event = "no_leader",
                    waited_ms,
                    term = replica.raft.term(),
                    last_index = replica.raft.last_index(),
                    voters = ?voters.iter().map(addresses).collect::<Vec<_>>(),
                    heard = ?heard
                );
            }
            _ => {}
        }
    }
}
