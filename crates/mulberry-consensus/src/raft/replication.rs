//! Replication of entries and snapshots, and advancement of the commit index.

use super::{Raft, RoleState};
use crate::log::Log;
use crate::{AppendResult, Entry, MemberId, Members, MessageBody, Position, Snapshot};

/// Snapshot that is being received in chunks.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    pub(super) position: Position,
    pub(super) members: Members,
    pub(super) total_bytes: u64,
    pub(super) data: Vec<u8>,
}

impl Raft {
    /// Queues entries or snapshot chunks for every other member, up to the in-flight limits. Proposals made since the
    /// last call are sent as one batch.
    pub(super) fn replicate(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let mut messages = Vec::new();
        for (&member, progress) in &mut leader.progress {
            while let Some(body) = progress.next_message(
                &self.log,
                self.snapshot.as_ref(),
                &self.settings,
                self.commit_index,
                self.now_ms,
            ) {
                messages.push((member, body));
            }
        }
        for (member, body) in messages {
            self.send(member, body);
        }
    }

    pub(super) fn on_append_entries(
        &mut self,
        from: MemberId,
        previous: Position,
        entries: Vec<Entry>,
        leader_commit: u64,
    ) {
        self.follow_leader(from);
        let last_index = previous.index + entries.len() as u64;
        let in_order = (previous.index + 1..).zip(&entries).all(|(index, e)| e.index == index);
        assert!(in_order, "member {from} sent entries with non-consecutive indexes");

        // Committed entries always match the leader's and may have been compacted, so they need no check.
        if previous.index >= self.commit_index
            && self.log.term_at(previous.index) != Some(previous.term)
        {
            let hint = self.log.last_with_term_at_most(previous.index, previous.term);
            let result = AppendResult::Rejected { previous_index: previous.index, hint };
            self.send_append_entries_reply(from, result);
            return;
        }
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None if entry.index <= self.commit_index => continue,
                None => {}
            }
            self.append(entry);
        }
        let match_index = last_index.max(self.commit_index);
        self.set_commit_index(leader_commit.min(match_index).max(self.commit_index));
        self.send_append_entries_reply(from, AppendResult::Accepted { match_index });
    }

    pub(super) fn on_append_entries_reply(&mut self, from: MemberId, result: AppendResult) {
        let now_ms = self.now_ms;
        let last_index = self.log.last_index();
        let RoleState::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        progress.last_reply_ms = Some(now_ms);
        match result {
            AppendResult::Accepted { match_index } => {
                assert!(
                    match_index <= last_index,
                    "member {from} acknowledged index {match_index} but the leader's log ends at {last_index}"
                );
                progress.on_accepted(match_index, &self.log, now_ms);
                self.advance_transfer();
                self.advance_commit_index();
            }
            AppendResult::Rejected { previous_index, hint } => {
                progress.on_rejected(previous_index, hint, &self.log);
            }
        }
    }

    pub(super) fn on_heartbeat(&mut self, from: MemberId, commit_index: u64, round: u64) {
        self.follow_leader(from);
        self.set_commit_index(commit_index.max(self.commit_index));
        self.send_after_hard_state_sync(from, MessageBody::HeartbeatReply { round });
    }

    pub(super) fn on_heartbeat_reply(&mut self, from: MemberId, round: u64) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        progress.last_reply_ms = Some(self.now_ms);
        progress.round = progress.round.max(round);
        let check =
            progress.on_heartbeat_reply(&self.log, &self.settings, self.commit_index, self.now_ms);
        if let Some(check) = check {
            self.send(from, check);
        }
        self.confirm_reads();
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        from: MemberId,
        offset: u64,
        chunk: IncomingSnapshot,
    ) {
        self.follow_leader(from);
        let position = chunk.position;
        let has_entry = self.log.term_at(position.index) == Some(position.term);
        if position.index <= self.commit_index || has_entry {
            self.incoming_snapshot = None;
            self.set_commit_index(position.index.max(self.commit_index));
            let match_index = position.index;
            self.send_append_entries_reply(from, AppendResult::Accepted { match_index });
            return;
        }

        let IncomingSnapshot { members, total_bytes, data, .. } = chunk;
        let partial = self.incoming_snapshot.take().filter(|partial| partial.position == position);
        let mut incoming = partial.unwrap_or_else(|| IncomingSnapshot {
            position,
            members,
            total_bytes,
            data: Vec::new(),
        });
        if offset == incoming.data.len() as u64 {
            incoming.data.extend(data);
        }
        let received_bytes = incoming.data.len() as u64;
        let Position { term, index } = position;
        if received_bytes < incoming.total_bytes {
            self.incoming_snapshot = Some(incoming);
            self.send_after_hard_state_sync(
                from,
                MessageBody::InstallSnapshotReply { index, received_bytes },
            );
            return;
        }
        let IncomingSnapshot { members, data, .. } = incoming;
        self.install_snapshot(Snapshot { index, term, members, data });
        self.send_append_entries_reply(from, AppendResult::Accepted { match_index: index });
    }

    pub(super) fn on_install_snapshot_reply(
        &mut self,
        from: MemberId,
        index: u64,
        received_bytes: u64,
    ) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        progress.last_reply_ms = Some(self.now_ms);
        progress.on_snapshot_chunk_received(index, received_bytes);
    }

    /// Commits the entries that a majority of the voters has synced. The leader counts with the entries on its own
    /// disk.
    pub(super) fn advance_commit_index(&mut self) {
        let RoleState::Leader(leader) = &self.role else { return };
        let synced_index = self.writes.synced_index();
        let index = self.members().majority_value(|voter| {
            leader.progress.get(&voter).map_or(synced_index, |progress| progress.match_index)
        });
        // Entries of earlier terms can be overwritten even if a majority holds them. They commit only together with an
        // entry of the current term (section 5.4.2 of the Raft paper).
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.set_commit_index(index);
            self.confirm_reads();
            self.step_down_if_removed();
        }
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.log = Log::new(snapshot.position());
        self.members.reset(snapshot.index, snapshot.members.clone());
        self.writes.install_snapshot(snapshot.clone(), self.commit_index);
        self.set_commit_index(snapshot.index);
        self.pending_snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot.into());
    }
}
