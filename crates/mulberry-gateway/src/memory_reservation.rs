//! Memory reserved at helper engines for a prompt that does not fit on one engine.
//!
//! Memory is reserved at all helpers or at none. A reservation is short-lived and renewed while its request runs, so
//! that the memory is free soon after a gateway has crashed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_http1::{
    BodyDecoder, Framing, Headers, Http1Connection, RequestHead, response_framing,
};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::attempt::connect_target;
use crate::dialect::TargetCall;
use crate::shared::Shared;

/// Time after which an engine releases a reservation that is not renewed.
const RESERVATION_TTL_MS: u64 = 3_000;

/// Interval between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout for an engine's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum length of a response head, and of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Maximum idle time of a pooled connection that is reused.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// A helper engine and the number of tokens to reserve memory for at it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HelperEngine {
    pub id: Arc<str>,
    pub address: SocketAddr,
    pub tokens: u64,
}

/// Memory reserved at helper engines; released when dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    shared: Rc<Shared>,
    ticket: Rc<str>,
    helpers: Rc<[HelperEngine]>,
    renewal: JoinHandle<()>,
}

impl MemoryReservation {
    /// Reserves the memory at all helpers.
    ///
    /// # Errors
    /// Returns the helper that refused; memory reserved at the others is released.
    pub(crate) async fn take(
        shared: &Rc<Shared>,
        ticket: String,
        helpers: Vec<HelperEngine>,
    ) -> Result<MemoryReservation, Arc<str>> {
        let ticket: Rc<str> = ticket.into();
        let helpers: Rc<[HelperEngine]> = helpers.into();
        let renewal =
            tokio::task::spawn_local(renew(shared.clone(), ticket.clone(), helpers.clone()));
        // Created before the calls are sent: if a helper refuses or the request is cancelled, dropping it releases the
        // memory at all helpers.
        let reservation = MemoryReservation { shared: shared.clone(), ticket, helpers, renewal };
        let mut calls = JoinSet::new();
        for helper in reservation.helpers.iter().cloned() {
            let shared = shared.clone();
            let call = shared.dialect.reserve(
                &helper.id,
                &reservation.ticket,
                helper.tokens,
                RESERVATION_TTL_MS,
            );
            calls.spawn_local(async move {
                let result = send_with_timeout(&shared, &helper, &call).await;
                (result, helper)
            });
        }
        while let Some(joined) = calls.join_next().await {
            let Ok((result, helper)) = joined else { continue };
            if result != Ok(200) {
                tracing::info!(
                    event = "loan_refused",
                    ticket = %reservation.ticket,
                    target_id = %helper.id,
                    tokens = helper.tokens,
                    answer = ?result
                );
                return Err(helper.id);
            }
        }
        tracing::info!(
            event = "loan_taken",
            ticket = %reservation.ticket,
            lenders = reservation.helpers.len(),
            tokens = reservation.helpers.iter().map(|helper| helper.tokens).sum::<u64>()
        );
        Ok(reservation)
    }

    pub(crate) fn ticket(&self) -> &str {
        &self.ticket
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.renewal.abort();
        for helper in self.helpers.iter().cloned() {
            let shared = self.shared.clone();
            let call = shared.dialect.release(&helper.id, &self.ticket);
            tokio::task::spawn_local(async move {
                if let Err(reason) = send_with_timeout(&shared, &helper, &call).await {
                    // The engine frees the memory when the reservation expires.
                    tracing::info!(event = "loan_not_returned", target_id = %helper.id, reason);
                }
            });
        }
    }
}

async fn renew(shared: Rc<Shared>, ticket: Rc<str>, helpers: Rc<[HelperEngine]>) {
    loop {
        sleep(RENEWAL_INTERVAL).await;
        for helper in helpers.iter() {
            let call =
                shared.dialect.reserve(&helper.id, &ticket, helper.tokens, RESERVATION_TTL_MS);
            match send_with_timeout(&shared, helper, &call).await {
                Ok(200) => {}
                result => tracing::warn!(
                    event = "loan_not_renewed",
                    ticket = %ticket,
                    target_id = %helper.id,
                    answer = ?result
                ),
            }
        }
    }
}

/// Sends a call to an engine with a timeout. Returns the response status.
async fn send_with_timeout(
    shared: &Shared,
    helper: &HelperEngine,
    call: &TargetCall,
) -> Result<u16, String> {
    timeout(RESPONSE_TIMEOUT, send_call(shared, helper, call))
        .await
        .unwrap_or_else(|_| Err("no response before the timeout".to_owned()))
}

async fn send_call(
    shared: &Shared,
    helper: &HelperEngine,
    call: &TargetCall,
) -> Result<u16, String> {
    let mut connection = match shared.pool.take(&helper.id, MAX_IDLE) {
        Some(connection) => connection,
        None => {
            shared.metrics.target_connections.inc();
            let stream = connect_target(helper.address, RESPONSE_TIMEOUT).await;
            Http1Connection::new(stream.map_err(|error| error.to_string())?)
        }
    };
    let mut headers = Headers::default();
    headers.push("Host", helper.address.to_string().as_bytes());
    for (name, value) in &call.headers {
        headers.push(name, value.as_bytes());
    }
    headers.push("Content-Length", call.body.len().to_string().as_bytes());
    let head = RequestHead {
        method: call.method.into(),
        target: call.path.as_str().into(),
        minor_version: 1,
        headers,
    };
    let mut bytes = Vec::new();
    head.encode(&mut bytes);
    bytes.extend_from_slice(&call.body);
    connection.write_all(&bytes).await.map_err(|error| error.to_string())?;
    let response = connection.read_response(MAX_RESPONSE_BYTES).await;
    let response = response.map_err(|error| error.to_string())?;
    shared.target_responded(
        &helper.id,
        response.status,
        &shared.dialect.response_fields(&response),
    );
    let framing = response_framing(call.method, &response).map_err(|error| error.to_string())?;
    let body = connection.read_whole_body(BodyDecoder::new(framing), MAX_RESPONSE_BYTES).await;
    body.map_err(|error| error.to_string())?;
    let is_reusable =
        response.keeps_alive() && framing != Framing::UntilClose && !connection.has_unread();
    if is_reusable {
        shared.pool.put(&helper.id, connection, &response);
    }
    Ok(response.status)
}
