//! Plans: differences, errors, and what is applied.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "../../mulberry-operators/tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use mulberry_operators::{ConfigurationAnswer, OperatorClient, OperatorError};
use mulberry_plan::{
    ApplyError, Plan, change_operations, differences, parse_configuration, read_configuration,
};
use mulberry_types::{
    Configuration, ConfigurationVersion, Operation, Priority, Repeatability, Service, ServiceKind,
    TargetOverride, TargetState, Workspace, Zone, ZoneState,
};
use proptest::prelude::*;
use support::{Behaviour, Group, Instance, TOKEN};

fn model(max_answer_tokens: u32) -> Service {
    Service {
        kind: ServiceKind::Model { max_answer_tokens },
        default_deadline_ms: 60_000,
        max_deadline_ms: 900_000,
    }
}

fn workspace(weight: u32) -> Workspace {
    Workspace {
        api_key_sha256: vec!["ab".repeat(32).into()],
        weight,
        priority: Priority::Normal,
        max_in_flight: 256,
    }
}

fn in_force() -> Configuration {
    Configuration {
        services: BTreeMap::from([("large".into(), model(4_096)), ("old".into(), model(512))]),
        workspaces: BTreeMap::from([("quotes".into(), workspace(1))]),
        zones: BTreeMap::from([("zone-1".into(), Zone { state: ZoneState::Out })]),
        targets: BTreeMap::from([("engine-7".into(), TargetOverride { state: TargetState::In })]),
    }
}

fn plan() -> Plan {
    let version = ConfigurationVersion(7);
    Plan::new(ConfigurationAnswer { version, configuration: in_force() })
}

fn wanted(plan: Plan) -> Plan {
    let operation = Operation {
        method: "POST".into(),
        path_prefix: "/orders".into(),
        repeatability: Repeatability::AtMostOnce,
    };
    let orders = Service { kind: ServiceKind::Plain { operations: vec![operation] }, ..model(1) };
    plan.service("orders", orders)
        .remove_service("old")
        .priority("quotes", Priority::High)
        .weight("quotes", 20)
        .zone("zone-1", ZoneState::In)
        .zone("zone-2", ZoneState::Out)
        .target("engine-7", TargetState::In)
        .target("engine-9", TargetState::Drained)
}

/// Replaces the random change id.
fn with_fixed_id(text: &str, id: &str) -> String {
    text.replace(id, "<id>")
}

/// Guards against a printed plan that hides a difference or shows one that is none.
#[test]
fn a_printed_plan_shows_the_wanted_configuration_and_the_differences() {
    let printed = wanted(plan()).print().unwrap();
    let id = &printed.change().id.0;
    insta::assert_snapshot!("printed", with_fixed_id(&printed.to_string(), id));
    let change = serde_json::to_string_pretty(printed.change()).unwrap();
    insta::assert_snapshot!("change", with_fixed_id(&change, id));
    insta::assert_json_snapshot!("differences", printed.differences());

    let unchanged = plan().target("engine-7", TargetState::In).print().unwrap();
    assert!(unchanged.is_empty() && unchanged.differences().is_empty());
    assert!(unchanged.to_string().ends_with("no difference from version 7 in force"));
    assert_ne!(unchanged.change().id, printed.change().id);
}

/// Guards against a plan that names something that is not there, and an error without a remedy.
#[test]
fn dangling_names_and_impossible_values_are_refused() {
    let empty = Plan::new(ConfigurationAnswer {
        version: ConfigurationVersion(0),
        configuration: Configuration::default(),
    });
    let errors = [
        plan().priority("qoutes", Priority::High).remove_service("odl").print(),
        empty.remove_workspace("quotes").print(),
        plan().weight("quotes", 0).print(),
        plan().workspace("copy", workspace(1)).print(),
        plan().zone("no spaces", ZoneState::Out).print(),
        plan().service("large", model(0)).print(),
    ]
    .map(|result| result.unwrap_err().to_string());
    insta::assert_snapshot!(errors.join("\n---\n"));
}

/// Guards against a file that is taken although a field is misspelt, and an error without its path.
#[test]
fn files_are_checked() {
    let missing = read_configuration("does/not/exist.json".as_ref()).unwrap_err().to_string();
    let texts = [
        r#"{"workspaces":{"quotes":{"api_key_sha256":[],"wieght":3}}}"#,
        r#"{"workspaces":{"quotes":{"api_key_sha256":[],"weight":"3"}}}"#,
        r#"{"workspaces":{"quotes":{"weight":3}}}"#,
        r#"{"workspaces":{"quotes":{"api_key_sha256":["secret"]}}}"#,
        r#"{"zones":{"zone-1":{"state":"off"}}}"#,
        r#"{"service":{}}"#,
        r#"{"workspaces":{"a":{"api_key_sha256":[]},"a":{"api_key_sha256":[],"weight":2}}}"#,
        r#"{"zones":{},"workspaces":{},"zones":{"zone-1":{"state":"out"}}}"#,
        r#"{} {}"#,
        r#"{"#,
    ];
    let errors = texts.map(|text| parse_configuration(text).unwrap_err().to_string());
    insta::assert_snapshot!(format!("{missing}\n{}", errors.join("\n")));
    let text = serde_json::to_string(&in_force()).unwrap();
    assert_eq!(parse_configuration(&text).unwrap(), in_force());
}

fn group_at_version_7() -> Arc<Mutex<Group>> {
    Arc::new(Mutex::new(Group {
        version: ConfigurationVersion(7),
        configuration: in_force(),
        ..Group::default()
    }))
}

/// Guards against a change that is not the printed one, or is applied twice.
#[test]
fn exactly_the_printed_change_is_applied_once() {
    let group = group_at_version_7();
    let instance = Instance::start(&group, Behaviour::LosesOutcomes(1));
    let client = OperatorClient::new(vec![instance.address()], TOKEN).unwrap();
    let printed = wanted(Plan::read(&client).unwrap()).print().unwrap();
    let version = ConfigurationVersion(8);
    assert_eq!(printed.apply(&client).unwrap().version, version);
    assert_eq!(printed.apply(&client).unwrap().version, version);
    let group = group.lock().unwrap();
    assert_eq!(group.audit.len(), 1);
    assert_eq!(group.audit[0].operations, printed.change().operations);
    assert_eq!(&*group.audit[0].operator, "ada");
    assert!(differences(&group.configuration, printed.wanted()).is_empty());
}

/// Guards against a plan that overwrites another operator's change.
#[test]
fn plans_that_cannot_be_applied_say_why() {
    let group = group_at_version_7();
    let instance = Instance::start(&group, Behaviour::IsOvertaken(1));
    let client = OperatorClient::new(vec![instance.address()], TOKEN).unwrap();
    let printed = wanted(Plan::read(&client).unwrap()).print().unwrap();
    let conflict = printed.apply(&client).unwrap_err();
    let current = ConfigurationVersion(8);
    assert_eq!(conflict, ApplyError::Conflict { expected: ConfigurationVersion(7), current });

    // The removed service is gone already: the control group refuses the operation.
    let outdated = ConfigurationAnswer { version: current, configuration: in_force() };
    group.lock().unwrap().configuration.services.clear();
    let invalid = Plan::new(outdated).remove_service("old").print().unwrap().apply(&client);
    let invalid = invalid.unwrap_err();

    *instance.behaviour.lock().unwrap() = Behaviour::Unavailable;
    let error = Plan::read(&hasty(&instance)).unwrap_err();
    let unavailable = printed.apply(&hasty(&instance)).unwrap_err();
    *instance.behaviour.lock().unwrap() = Behaviour::LosesOutcomes(u32::MAX);
    let unknown = printed.apply(&hasty(&instance)).unwrap_err();
    let ApplyError::Request { error: OperatorError::OutcomeUnknown { .. }, id } = &unknown else {
        panic!("{unknown:?}");
    };
    let text = format!("{conflict}\n{invalid}\n{error}\n{unavailable}\n{unknown}");
    let text = with_fixed_id(&text, &id.0).replace(&instance.address().to_string(), "<address>");
    insta::assert_snapshot!(text);
}

fn hasty(instance: &Instance) -> OperatorClient {
    let settings = mulberry_operators::OperatorClientSettings {
        time_limit_ms: 2_000,
        ..mulberry_operators::OperatorClientSettings::default()
    };
    OperatorClient::with_settings(vec![instance.address()], TOKEN, settings).unwrap()
}

fn names<T: Clone + std::fmt::Debug>(
    values: impl Strategy<Value = T>,
) -> impl Strategy<Value = BTreeMap<Arc<str>, T>> {
    let name = prop::sample::select(vec!["a", "b", "c", "d"]).prop_map(Arc::from);
    prop::collection::btree_map(name, values, 0..4)
}

prop_compose! {
    fn configurations()(
        services in names((1..4_u32).prop_map(model)),
        workspaces in names((1..4_u32).prop_map(|weight| Workspace {
            api_key_sha256: vec![],
            ..workspace(weight)
        })),
        zones in names(prop::sample::select(vec![ZoneState::In, ZoneState::Out])
            .prop_map(|state| Zone { state })),
        targets in names(prop::sample::select(vec![TargetState::In, TargetState::Drained])
            .prop_map(|state| TargetOverride { state })),
    ) -> Configuration {
        Configuration { services, workspaces, zones, targets }
    }
}

proptest! {
    /// Guards against operations that do not lead to the wanted configuration or are superfluous.
    #[test]
    fn the_operations_lead_to_the_wanted_configuration(
        from in configurations(),
        to in configurations(),
    ) {
        let operations = change_operations(&from, &to);
        let mut result = from.clone();
        for operation in &operations {
            let before = result.clone();
            operation.apply(&mut result).unwrap();
            prop_assert!(!differences(&before, &result).is_empty(), "superfluous: {operation:?}");
        }
        prop_assert_eq!(differences(&result, &to), vec![]);
        prop_assert_eq!(change_operations(&result, &to), vec![]);
        prop_assert_eq!(operations.is_empty(), differences(&from, &to).is_empty());
    }
}
