//! Admission of a request: creates its exchange, or rejects it before a target is selected.

use std::rc::Rc;
use std::time::Duration;

use mulberry_http1::{Http1Connection, RequestHead};
use mulberry_routes::{LookupError, RouteMatch, RouteTable};
use tokio::time::{Instant, timeout_at};

use super::responses::send_error;
use super::selection::pick_service;
use super::{
    AfterResponse, ErrorResponse, Exchange, MAX_STARTUP_WAIT, MAX_STARTUP_WAIT_SHARE,
    NO_TARGET_RETRY_AFTER_MS,
};
use crate::dialect::CallerFields;
use crate::held_memory::BodyHold;
use crate::metrics::RequestLabels;
use crate::passed_request::PassedRequest;
use crate::shared::Shared;

/// `Retry-After` while this gateway is stopping; the load balancer sends the retry to another one.
pub(super) const STOPPING_RETRY_AFTER_MS: u64 = 100;

/// Serves a request that arrived at `arrived`, with its body and what counts it.
pub(crate) async fn serve(
    shared: &Rc<Shared>,
    client: &mut Http1Connection,
    head: RequestHead,
    body: (Vec<u8>, Option<BodyHold>),
    arrived: Instant,
) -> AfterResponse {
    let fields = shared.dialect.caller_fields(&head.headers);
    if shared.refuses_new_requests.get() {
        tracing::info!(
            event = "request_refused",
            request_id = fields.request_id.as_deref().unwrap_or(""),
            status = 503,
            reason = "stopping"
        );
        let error_response =
            ErrorResponse { status: 503, retry_after_ms: Some(STOPPING_RETRY_AFTER_MS) };
        return send_error(
            client,
            &error_response,
            "this gateway is stopping; retry at another one",
            false,
        )
        .await;
    }
    let can_decide = || {
        let Some(table) = shared.table() else { return false };
        shared.is_config_confirmed()
            || (shared.is_config_trusted() && find_route(&table, &head, &fields).is_ok())
    };
    let has_waited = !can_decide();
    if has_waited {
        let limit = fields.deadline_ms.map_or(MAX_STARTUP_WAIT, |ms| {
            MAX_STARTUP_WAIT.min(Duration::from_millis(ms).mul_f64(MAX_STARTUP_WAIT_SHARE))
        });
        tokio::select! {
            () = wait_until(shared, arrived + limit, can_decide) => {}
            () = client.wait_closed() => return AfterResponse::Close,
        }
    }
    let keeps_alive = head.keeps_alive() && !shared.is_stopping.get();
    let mut exchange = match Exchange::new(shared, head, body, fields, arrived, None) {
        Ok(exchange) => Exchange { has_waited, ..exchange },
        Err(rejection) => {
            let error_response = ErrorResponse {
                status: rejection.status,
                retry_after_ms: rejection.retry_after_ms,
            };
            rejection.log(shared);
            return send_error(client, &error_response, rejection.reason, keeps_alive).await;
        }
    };
    exchange.run(client, keeps_alive).await
}

/// Finds the route and tenant of a request.
fn find_route<'a>(
    table: &'a RouteTable,
    head: &RequestHead,
    fields: &CallerFields,
) -> Result<RouteMatch<'a>, LookupError> {
    let host = head.headers.text("host").unwrap_or_default();
    table.find(host, head.path(), fields.api_key.as_deref())
}

/// Waits until `condition` holds, at most until `limit`.
pub(super) async fn wait_until(shared: &Shared, limit: Instant, condition: impl Fn() -> bool) {
    loop {
        let changed = shared.changed.notified();
        if condition() || timeout_at(limit, changed).await.is_err() {
            return;
        }
    }
}

/// Why a request is rejected before a target is selected.
pub(super) struct AdmissionError {
    pub status: u16,
    pub retry_after_ms: Option<u64>,
    pub reason: &'static str,
    request_id: Option<Box<str>>,
    version: u64,
}

impl AdmissionError {
    pub(super) fn log(&self, shared: &Shared) {
        let labels = RequestLabels { kind: "none", outcome: "refused" };
        shared.metrics.requests.get_or_create(&labels).inc();
        tracing::info!(
            event = "request_refused",
            request_id = self.request_id.as_deref().unwrap_or(""),
            status = self.status,
            reason = self.reason,
            config_version = self.version
        );
    }
}

impl Exchange {
    /// A request that arrived at `arrived`, at this gateway or at the one that has passed it on.
    pub(super) fn new(
        shared: &Rc<Shared>,
        head: RequestHead,
        (body, body_hold): (Vec<u8>, Option<BodyHold>),
        fields: CallerFields,
        arrived: Instant,
        passed: Option<&PassedRequest>,
    ) -> Result<Exchange, AdmissionError> {
        let version = shared.config_version();
        let reject = |status, retry_after_ms, reason| AdmissionError {
            status,
            retry_after_ms,
            reason,
            request_id: fields.request_id.clone(),
            version,
        };
        let table = shared
            .table()
            .filter(|_| !(shared.settings.refuse_when_unlinked && shared.links.get() == 0));
        let Some(table) = table else {
            return Err(reject(
                503,
                Some(NO_TARGET_RETRY_AFTER_MS),
                "no configuration is known yet",
            ));
        };
        let is_confirmed = shared.is_config_confirmed();
        let unconfirmed = || {
            reject(503, Some(NO_TARGET_RETRY_AFTER_MS), "the configuration is not confirmed yet")
        };
        if !is_confirmed && !shared.is_config_trusted() {
            return Err(unconfirmed());
        }
        let found = find_route(&table, &head, &fields);
        let RouteMatch { route, tenant } = found.map_err(|error| match error {
            _ if !is_confirmed => unconfirmed(),
            LookupError::NoRoute => reject(404, None, "no route matches the host and path"),
            LookupError::UnknownKey => reject(401, None, "the API key belongs to no tenant"),
        })?;
        let route = route.clone();
        let tenant_name = tenant.map(|tenant| tenant.name.clone());
        let priority = tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority);
        let service = pick_service(&route);
        let mut fields = fields;
        fields.last_event = passed.and_then(|passed| passed.last_event).or(fields.last_event);
        let limit_ms = fields.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        if passed.is_none() {
            shared.with_budget(&service, |budget, now_ms, _| budget.count_request(now_ms));
        }
        let sent_to = passed.map_or_else(Vec::new, |passed| passed.sent_to.clone());
        Ok(Exchange {
            shared: shared.clone(),
            table,
            service,
            tenant: tenant_name,
            priority,
            head,
            body,
            body_hold,
            deadline: arrived + Duration::from_millis(limit_ms),
            shared_parts: fields.prompt_parts.split_last().map_or(&[][..], |(_, all)| all).into(),
            fields,
            arrived,
            sent_attempts: passed.map_or(0, |passed| passed.sends),
            unsent_attempts: 0,
            may_have_run: passed.is_some_and(|passed| passed.may_have_run),
            is_attempting: false,
            excluded: sent_to.clone(),
            sent_to,
            is_counted: passed.is_some_and(|passed| passed.is_counted),
            sends_elsewhere: passed.map(|passed| passed.sends),
            has_asked_peers: false,
            is_passed_on: false,
            last_target: None,
            last_failure: None,
            first_event_at: None,
            helpers: 0,
            forecast_ms: 0,
            reason: String::new(),
            has_waited: false,
            is_trial: false,
            route,
        })
    }
}
