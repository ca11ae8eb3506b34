//! Targets whose responses have statuses that HTTP does not know.

mod common;

use std::time::{Duration, Instant};

use common::{Action, Fleet, Target, config, response, route};
use mulberry_routes::RouteKind;

fn with_status(status: &str, body: &str) -> Action {
    Action::SendAndHang(response(200, body).replacen("200", status, 1))
}

#[test]
fn a_status_outside_of_http_is_no_response() {
    let statuses = [
        "000", "001", "099", "101", "600", "999", "-20", "+20", "2x0", "abc", "20", "", "2000",
        "0200", "200.",
    ];
    let mut config = config(1);
    config.routes.push(route("/events/", RouteKind::Stream));
    let mut wrong = Vec::new();
    for (path, kind) in [("/once/", "plain"), ("/events/", "events")] {
        for body in ["", "id: 1\ndata: no\n\n"] {
            let actions = statuses.iter().map(|status| with_status(status, body)).collect();
            let target = Target::start("one", actions);
            let name = format!("status-{kind}-{}", body.len());
            let mut fleet = Fleet::ready(&name, config.clone(), &[&target]);
            for status in statuses {
                let since = Instant::now();
                let reply = fleet.post(path, "", "pay");
                if reply.status != 502 || since.elapsed() > Duration::from_secs(1) {
                    wrong.push((path, body, status, reply.status, since.elapsed()));
                }
            }
            fleet.kill_gateway();
            assert_eq!(target.received().len(), statuses.len());
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn a_request_with_such_a_response_is_sent_to_another_target() {
    let odd = Target::start("odd", vec![with_status("000", "")]);
    let healthy = Target::start("healthy", vec![Action::Send(response(200, "yes"))]);
    let fleet = Fleet::ready("status-retry", config(1), &[&odd, &healthy]);
    common::wait_until("the odd target is chosen", || {
        let reply = fleet.get("/safe/", "");
        assert_eq!((reply.status, reply.body.as_str()), (200, "yes"));
        !odd.received().is_empty()
    });
}
