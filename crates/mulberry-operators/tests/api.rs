//! The HTTP side of the operator API: statuses, headers and bodies.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod support;

use std::sync::{Arc, Mutex};

use mulberry_operators::{OperatorToken, OperatorTokens};
use support::{Behaviour, Group, Instance, TOKEN};

/// Status, the headers that matter, and the body.
fn exchange(instance: &Instance, token: &str, request: &str, body: &str) -> String {
    let (method, path) = request.split_once(' ').unwrap();
    let url = format!("http://{}{path}", instance.address());
    let response = attohttpc::RequestBuilder::new(method.parse().unwrap(), url)
        .bearer_auth(token)
        .follow_redirects(false)
        .text(body)
        .send()
        .unwrap();
    let mut text = response.status().as_u16().to_string();
    for name in ["location", "x-leader-address", "retry-after", "allow", "www-authenticate"] {
        if let Some(value) = response.headers().get(name) {
            text += &format!("\n{name}: {}", value.to_str().unwrap());
        }
    }
    text + "\n" + &response.text().unwrap()
}

fn exchange_all(instance: &Instance, requests: &[(&str, &str)]) -> String {
    let texts = requests.iter().map(|(request, body)| {
        format!("{request}\n{body}\n-> {}\n", exchange(instance, TOKEN, request, body))
    });
    texts.collect::<Vec<_>>().join("\n")
}

/// Guards against a changed status or body that operators' programs rely on, and against an audit
/// trail that believes the name in the body.
#[test]
fn changes_and_reads() {
    let group = Arc::new(Mutex::new(Group::default()));
    let leader = Instance::start(&group, Behaviour::Leads);
    let out = r#"{"id":"c1","operator":"mallory","expected_version":0,"operations":[{"set_zone":{"zone":"z1","state":"out"}}]}"#;
    let late = r#"{"id":"c2","operator":"","expected_version":0,"operations":[]}"#;
    let wrong = r#"{"id":"c3","operator":"","expected_version":1,"operations":[{"remove_service":{"name":"gone"}}]}"#;
    let reused = r#"{"id":"c1","operator":"","expected_version":1,"operations":[]}"#;
    insta::assert_snapshot!(exchange_all(
        &leader,
        &[
            ("POST /v1/changes", out),
            ("POST /v1/changes", out),
            ("POST /v1/changes", late),
            ("POST /v1/changes", wrong),
            ("POST /v1/changes", reused),
            ("GET /v1/configuration", ""),
            ("GET /v1/audit?from_version=0&limit=10", ""),
            ("GET /v1/audit?from_version=1", ""),
            ("GET /v1/status", ""),
            ("POST /v1/members", r#"{"promote":{"replica":"0000000000000003"}}"#),
            ("POST /v1/leader/transfer", "{}"),
        ],
    ));
    assert_eq!(group.lock().unwrap().member_changes.len(), 1);
    assert_eq!(group.lock().unwrap().transfers, [None]);
}

/// Guards against malformed requests that reach the control group, and errors without a remedy.
#[test]
fn malformed_requests_are_refused_with_the_path_of_the_field() {
    let group = Arc::new(Mutex::new(Group::default()));
    let leader = Instance::start(&group, Behaviour::Leads);
    let typo = r#"{"id":"c","operator":"","expected_version":0,"operations":[{"put_workspace":{"name":"w","workspace":{"api_key_sha256":[],"wieght":2}}}]}"#;
    insta::assert_snapshot!(exchange_all(
        &leader,
        &[
            ("POST /v1/changes", typo),
            ("POST /v1/changes", r#"{"id":"","operator":"","expected_version":0,"operations":[]}"#),
            ("POST /v1/changes", "{} x"),
            ("GET /v1/changes", ""),
            ("POST /v1/status", ""),
            ("GET /v1/audit?limit=5000", ""),
            ("GET /v1/audit?from_version=x", ""),
            ("POST /v1/members", r#"{"remove":{"replica":"7"}}"#),
            ("GET /", ""),
        ],
    ));
    assert_eq!(leader.calls(), 0);
}

/// Guards against an API that answers anyone.
#[test]
fn requests_without_a_valid_token_are_refused() {
    let group = Arc::new(Mutex::new(Group::default()));
    let leader = Instance::start(&group, Behaviour::Leads);
    for token in ["wrong", "token-of-ad", "token-of-ada2"] {
        let answer = exchange(&leader, token, "GET /v1/configuration", "");
        assert!(answer.starts_with("401\nwww-authenticate: Bearer\n"), "{answer}");
    }
    assert_eq!(leader.calls(), 0);
}

/// Guards against a failed request that is not told apart: not run, or outcome unknown.
#[test]
fn instances_that_cannot_serve_say_so() {
    let group = Arc::new(Mutex::new(Group::default()));
    let leader_address = "127.0.0.1:7001".parse().unwrap();
    let instance = Instance::start(&group, Behaviour::Follows(Some(leader_address)));
    let change = r#"{"id":"c1","operator":"","expected_version":0,"operations":[]}"#;
    let mut answers = Vec::new();
    for behaviour in [
        Behaviour::Follows(Some(leader_address)),
        Behaviour::Follows(None),
        Behaviour::Unavailable,
        Behaviour::LosesOutcomes(1),
        Behaviour::Rejects,
    ] {
        *instance.behaviour.lock().unwrap() = behaviour;
        answers.push(exchange(&instance, TOKEN, "POST /v1/changes", change));
    }
    insta::assert_snapshot!(answers.join("\n\n"));
}

/// Guards against settings that would let nobody or the wrong operator in.
#[test]
fn operator_settings_are_checked() {
    let token = |operator: &str, digest: &str| OperatorToken {
        operator: operator.into(),
        token_sha256: digest.to_owned(),
    };
    let digest = "ab".repeat(32);
    let errors = [
        vec![token("", &digest)],
        vec![token("ada", "AB")],
        vec![token("ada", &digest), token("bob", &digest)],
    ]
    .map(|operators| OperatorTokens::new(&operators).unwrap_err().to_string());
    insta::assert_snapshot!(errors.join("\n"));
}
