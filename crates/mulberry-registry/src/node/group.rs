//! Group formation and membership changes.

use std::collections::BTreeMap;

use mulberry_consensus::{DurableState, MemberId, Members, Raft, RaftSettings};

use super::Node;
use super::replica::{ProposalWaiter, raft_settings};
use crate::Command;
use crate::membership::{MemberView, plan_membership, silence_ms};
use crate::peer_message::PeerHello;

/// Interval between membership checks by the leader.
const MEMBERSHIP_CHECK_INTERVAL_MS: u64 = 100;

impl Node {
    /// Forms the initial group once all seeds agree on its members.
    pub(super) fn form_group(&mut self, now_ms: u64) {
        let own_address = self.settings.link_address;
        if !self.settings.bootstrap || !self.settings.seeds.contains(&own_address) {
            return;
        }
        let Some(replica) = &mut self.replica else { return };
        if !replica.raft.members().is_empty() {
            return;
        }
        let own = replica.raft.id();
        let others: Vec<&PeerHello> = self
            .settings
            .seeds
            .iter()
            .filter(|seed| **seed != own_address)
            .filter_map(|seed| self.hellos.get(seed).map(|(hello, _)| hello))
            .collect();
        let formed =
            others.iter().find(|hello| hello.has_group && hello.initial_members.contains(&own.0));
        let mut ids: Vec<u64> = others.iter().map(|hello| hello.member).collect();
        ids.push(own.0);
        ids.sort_unstable();
        if let Some(formed) = formed {
            ids.clone_from(&formed.initial_members);
        } else {
            replica.initial_members.clone_from(&ids);
            let all_agree = ids.len() == self.settings.seeds.len()
                && others.iter().all(|hello| !hello.has_group && hello.initial_members == ids);
            if !all_agree {
                return;
            }
        }
        let voters = ids.iter().copied().map(MemberId).collect();
        let members = Members { voters, learners: Vec::new() };
        tracing::info!(event = "group_formed", members = ids.len());
        let settings =
            RaftSettings { bootstrap: true, initial_members: members, ..raft_settings(own) };
        replica.raft = Raft::new(settings, DurableState::default(), now_ms);
        replica.initial_members = ids;
        self.hello_due_ms = 0;
    }

    /// On the leader, proposes membership changes and updates of member addresses.
    pub(super) fn manage_membership(&mut self, now_ms: u64) {
        if !self.is_leader() {
            self.leader_since_ms = None;
            return;
        }
        self.leader_since_ms.get_or_insert(now_ms);
        if now_ms < self.membership_due_ms {
            return;
        }
        self.membership_due_ms = now_ms + MEMBERSHIP_CHECK_INTERVAL_MS;
        let views = self.member_views(now_ms);
        let max_voters = self.settings.max_voters;
        let Some(replica) = &mut self.replica else { return };
        if replica.raft.members_committed() {
            let members = replica.raft.members().clone();
            let own = replica.raft.id();
            if let Some(plan) = plan_membership(own, &members, &views, max_voters) {
                match replica.raft.propose_members(plan.members.clone()) {
                    Ok(_) => tracing::info!(
                        event = "members_changed",
                        reason = plan.reason,
                        voters = plan.members.voters.len(),
                        voter_ids = ?plan.members.voters,
                        learners = plan.members.learners.len()
                    ),
                    Err(error) => tracing::debug!(event = "members_not_changed", %error),
                }
            }
        }
        let members: Vec<MemberId> = replica.raft.members().all().collect();
        let own = (replica.raft.id().0, self.settings.link_address);
        let hellos = self.hellos.values().map(|(hello, _)| (hello.member, hello.address));
        let changed_address = hellos.chain([own]).find(|(member, address)| {
            members.contains(&MemberId(*member))
                && replica.state.addresses.get(member) != Some(address)
        });
        if let (Some((member, address)), true) =
            (changed_address, replica.pending_proposals.is_empty())
        {
            replica.propose(
                &Command::SetMemberAddress { member, address },
                None,
                ProposalWaiter::NoReply,
            );
        }
    }

    pub(super) fn member_views(&self, now_ms: u64) -> Vec<MemberView> {
        let Some(replica) = &self.replica else { return Vec::new() };
        let raft = &replica.raft;
        let mut views: BTreeMap<MemberId, MemberView> = BTreeMap::new();
        for progress in raft.progress() {
            let mut hellos = self.hellos.values();
            let hello = hellos.find(|(hello, _)| hello.member == progress.member.0);
            let last_hello_ms = hello.map(|(_, received_ms)| *received_ms);
            // A new leader has not heard from any member yet.
            let last_reply_ms = progress.last_reply_ms.or(self.leader_since_ms);
            let silent_ms = silence_ms(now_ms, last_reply_ms, last_hello_ms);
            let is_displaced =
                replica.state.addresses.get(&progress.member.0).is_some_and(|address| {
                    self.hellos
                        .get(address)
                        .is_some_and(|(hello, _)| hello.member != progress.member.0)
                });
            let view = MemberView {
                member: progress.member,
                silent_ms,
                is_caught_up: progress.match_index >= raft.commit_index()
                    && progress.recently_active,
                is_displaced,
            };
            views.insert(progress.member, view);
        }
        for (hello, received_ms) in self.hellos.values() {
            views.entry(MemberId(hello.member)).or_insert(MemberView {
                member: MemberId(hello.member),
                silent_ms: Some(now_ms.saturating_sub(*received_ms)),
                is_caught_up: false,
                is_displaced: false,
            });
        }
        views.into_values().collect()
    }
}
