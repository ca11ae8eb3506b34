//! Periodic renewal of the lease.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberry_types::{ControlReply, ControlRequest, Renew};

use crate::control_client::ControlClient;
use crate::entry::Entry;

const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a failed renewal, before the next control instance is tried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Renews the lease until it is ended by a planned stop.
pub fn renew_forever(entry: &Entry, control: &Arc<ControlClient>) {
    let mut sequence = 0;
    while !entry.lease.is_ended() {
        let started = Instant::now();
        sequence += 1;
        let delay = if renew_once(entry, control, sequence) {
            RENEWAL_INTERVAL.saturating_sub(started.elapsed())
        } else {
            RETRY_DELAY
        };
        std::thread::sleep(delay);
    }
}

/// Sends one renewal. Returns whether a control instance replied.
fn renew_once(entry: &Entry, control: &ControlClient, sequence: u64) -> bool {
    // Version and epoch are read before the request is sent, so that the renewal never reports more
    // than this entry has applied.
    let renew = entry.lease.update(|state, now_ms| {
        state.lease.renewal_sent(sequence, now_ms);
        Renew {
            member: entry.as_member(),
            sequence,
            have_version: entry.configuration.current().version,
            have_epoch: state.ownership.epoch(),
        }
    });
    match control.call_once(&ControlRequest::Renew(renew)) {
        Ok(ControlReply::Granted(grant)) => {
            entry.apply_grant(grant);
            true
        }
        Ok(ControlReply::Expelled) => {
            tracing::warn!("expelled");
            entry.relinquish_lease();
            true
        }
        Ok(reply) => {
            tracing::warn!(?reply, "unexpected_renewal_reply");
            true
        }
        Err(_) => false,
    }
}
