//! Memory of engines lent to a prompt that does not fit one of them.
//!
//! A loan is taken at all engines or at none, held for a short time and renewed while its request lives, so that the
//! memory is free again soon after a gateway has died.

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

/// Time for which an engine keeps lent memory without a renewal.
const HOLD_MS: u64 = 3_000;

/// Time between two renewals.
const RENEW: Duration = Duration::from_millis(1_000);

/// Time for an engine to answer.
const ANSWER: Duration = Duration::from_millis(400);

/// Longest head and body of an answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// Longest idle time of a kept connection that is used.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// An engine that lends memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Lender {
    pub id: Arc<str>,
    pub address: SocketAddr,
    pub tokens: u64,
}

/// Lent memory; given back when dropped.
#[derive(Debug)]
pub(crate) struct Loan {
    shared: Rc<Shared>,
    ticket: Rc<str>,
    lenders: Rc<[Lender]>,
    renewal: JoinHandle<()>,
}

impl Loan {
    /// Takes the memory at all lenders.
    ///
    /// # Errors
    /// The lender that did not lend; what others have lent is given back.
    pub(crate) async fn take(
        shared: &Rc<Shared>,
        ticket: String,
        lenders: Vec<Lender>,
    ) -> Result<Loan, Arc<str>> {
        let ticket: Rc<str> = ticket.into();
        let lenders: Rc<[Lender]> = lenders.into();
        let renewal =
            tokio::task::spawn_local(renew(shared.clone(), ticket.clone(), lenders.clone()));
        // Made first, so that it is given back whole when a lender fails or the request ends meanwhile.
        let loan = Loan { shared: shared.clone(), ticket, lenders, renewal };
        let mut calls = JoinSet::new();
        for lender in loan.lenders.iter().cloned() {
            let shared = shared.clone();
            let call = shared.dialect.reserve(&lender.id, &loan.ticket, lender.tokens, HOLD_MS);
            calls.spawn_local(async move {
                let status = order(&shared, &lender, &call).await;
                (status, lender)
            });
        }
        while let Some(joined) = calls.join_next().await {
            let Ok((status, lender)) = joined else { continue };
            if status != Ok(200) {
                tracing::info!(
                    event = "loan_refused",
                    ticket = %loan.ticket,
                    target_id = %lender.id,
                    tokens = lender.tokens,
                    answer = ?status
                );
                return Err(lender.id);
            }
        }
        tracing::info!(
            event = "loan_taken",
            ticket = %loan.ticket,
            lenders = loan.lenders.len(),
            tokens = loan.lenders.iter().map(|lender| lender.tokens).sum::<u64>()
        );
        Ok(loan)
    }

    pub(crate) fn ticket(&self) -> &str {
        &self.ticket
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        self.renewal.abort();
        for lender in self.lenders.iter().cloned() {
            let shared = self.shared.clone();
            let call = shared.dialect.release(&lender.id, &self.ticket);
            tokio::task::spawn_local(async move {
                if let Err(reason) = order(&shared, &lender, &call).await {
                    // The memory is free once the time of the loan is over.
                    tracing::info!(event = "loan_not_returned", target_id = %lender.id, reason);
                }
            });
        }
    }
}

async fn renew(shared: Rc<Shared>, ticket: Rc<str>, lenders: Rc<[Lender]>) {
    loop {
        sleep(RENEW).await;
        for lender in lenders.iter() {
            let call = shared.dialect.reserve(&lender.id, &ticket, lender.tokens, HOLD_MS);
            match order(&shared, lender, &call).await {
                Ok(200) => {}
                answer => tracing::warn!(
                    event = "loan_not_renewed",
                    ticket = %ticket,
                    target_id = %lender.id,
                    answer = ?answer
                ),
            }
        }
    }
}

/// Gives an order to an engine. Returns the status of its answer.
async fn order(shared: &Shared, lender: &Lender, call: &TargetCall) -> Result<u16, String> {
    timeout(ANSWER, send_order(shared, lender, call))
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_owned()))
}

async fn send_order(shared: &Shared, lender: &Lender, call: &TargetCall) -> Result<u16, String> {
    let mut connection = match shared.pool.take(&lender.id, MAX_IDLE) {
        Some(connection) => connection,
        None => {
            shared.metrics.target_connections.inc();
            let stream = connect_target(lender.address, ANSWER).await;
            Http1Connection::new(stream.map_err(|error| error.to_string())?)
        }
    };
    let mut headers = Headers::default();
    headers.push("Host", lender.address.to_string().as_bytes());
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
    let answer = connection.read_response(MAX_ANSWER_BYTES).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let framing = response_framing(call.method, &answer).map_err(|error| error.to_string())?;
    let body = connection.read_whole_body(BodyDecoder::new(framing), MAX_ANSWER_BYTES).await;
    body.map_err(|error| error.to_string())?;
    let is_reusable =
        answer.keeps_alive() && framing != Framing::UntilClose && !connection.has_unread();
    if is_reusable {
        shared.pool.put(&lender.id, connection, &answer);
    }
    Ok(answer.status)
}
