//! Renewal of the lease, every 500 ms.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberry_types::{ControlReply, ControlRequest, Renew};

use crate::control_link::ControlLink;
use crate::entry::Entry;

/// Time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed renewal, before the next control instance is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Renews the lease until the process stops renewing on a planned stop.
pub fn renew_forever(entry: &Entry, control: &Arc<ControlLink>) {
    let mut sequence = 0;
    while !entry.lease.is_ended() {
        let started = Instant::now();
        sequence += 1;
        let pause = if renew_once(entry, control, sequence) {
            RENEWAL_INTERVAL.saturating_sub(started.elapsed())
        } else {
            RETRY_PAUSE
        };
        std::thread::sleep(pause);
    }
}

/// Sends one renewal. Returns whether it was answered.
fn renew_once(entry: &Entry, control: &ControlLink, sequence: u64) -> bool {
    // The epoch is read before the version of the renewal is sent, so that it never claims more
    // than this entry has applied.
    let renew = entry.lease.update(|state, now_ms| {
        state.lease.renewal_sent(sequence, now_ms);
        Renew {
            member: entry.as_member(),
            sequence,
            have_version: entry.configuration.current().version,
            have_epoch: state.homes.epoch(),
        }
    });
    match control.call_once(&ControlRequest::Renew(renew)) {
        Ok(ControlReply::Granted(grant)) => {
            entry.apply_grant(grant);
            true
        }
        Ok(ControlReply::Expelled) => {
            tracing::warn!("expelled");
            entry.lose_lease();
            true
        }
        Ok(reply) => {
            tracing::warn!(?reply, "unexpected_renewal_reply");
            true
        }
        Err(_) => false,
    }
}
