//! Tells crashed engines from broken connections, and reports crashes.
//!
//! An engine whose process has ended refuses new connections. One that closed a connection for another reason accepts
//! them, and a machine that is cut off does not answer. If this gateway reaches no engine at all, refusals say nothing.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_http1::connect;
use tokio::time::timeout;

use crate::path_probes::is_path_at_fault;
use crate::shared::Shared;

/// Timeout for the connection that tells whether an engine has crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time in which a process that is ending closes a connection that its kernel has accepted.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a confirmed crash also explains other connections to the engine that break.
const CONFIRMED_TIME_MS: u64 = 400;

/// Engines that have recently crashed.
#[derive(Debug, Default)]
pub(crate) struct CrashDetector {
    confirmed_at_ms: RefCell<HashMap<Arc<str>, u64>>,
}

/// A request that its engine has not survived so far.
#[derive(Debug, Clone)]
pub(crate) struct BrokenRequest {
    pub id: Box<str>,
    pub engine: Arc<str>,
    pub address: SocketAddr,

    /// Key and shared parts of the prompt, as in a [`mulberry_quarantine::CrashReport`].
    pub key: u64,
    pub parts: Rc<[u64]>,
}

impl CrashDetector {
    /// Checks in the background whether the engine of a request has crashed, and if so reports it to the registries.
    pub(crate) fn check(shared: &Rc<Shared>, request: BrokenRequest) {
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let broken_at_ms = shared.now_ms();
            let has_crashed = shared.crash_detector.is_confirmed(broken_at_ms, &request.engine)
                || has_crashed(&shared, request.address).await;
            if has_crashed && !is_path_at_fault(&shared, &request.engine, broken_at_ms).await {
                shared.crash_detector.confirm(shared.now_ms(), &request.engine);
                shared.report_crash(broken_at_ms, &request);
            }
        });
    }

    fn is_confirmed(&self, now_ms: u64, engine: &str) -> bool {
        let confirmed = self.confirmed_at_ms.borrow();
        confirmed.get(engine).is_some_and(|at_ms| now_ms < at_ms + CONFIRMED_TIME_MS)
    }

    fn confirm(&self, now_ms: u64, engine: &Arc<str>) {
        let mut confirmed = self.confirmed_at_ms.borrow_mut();
        confirmed.retain(|_, at_ms| now_ms < *at_ms + CONFIRMED_TIME_MS);
        confirmed.entry(engine.clone()).or_insert(now_ms);
    }
}

/// Whether an address refuses connections, at once or after one that was closed without a byte.
async fn has_crashed(shared: &Shared, address: SocketAddr) -> bool {
    shared.metrics.target_connections.inc();
    let stream = match connect(address, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => return error.kind() == ErrorKind::ConnectionRefused,
    };
    match timeout(CLOSE_TIMEOUT, stream.peek(&mut [0])).await {
        Ok(Ok(0) | Err(_)) => {
            let again = connect(address, CONNECT_TIMEOUT).await;
            again.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
        }
        Ok(Ok(_)) | Err(_) => false,
    }
}
