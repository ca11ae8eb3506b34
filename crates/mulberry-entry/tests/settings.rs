//! Tests of settings files.

use mulberry_entry::EntrySettings;
use mulberry_types::parse_settings;

/// Guards against defaults that fail validation or do not survive serialization.
#[test]
fn default_settings_are_valid() {
    EntrySettings::default().check().unwrap();
    let text = serde_json::to_string(&EntrySettings::default()).unwrap();
    assert_eq!(parse_settings::<EntrySettings>(&text).unwrap(), EntrySettings::default());
}

/// Guards against an invalid setting that is detected only at run time, and against an error without the
/// path of the field. An unspecified peer address would be advertised to other entries, which could not
/// connect to it.
#[test]
fn invalid_settings_are_refused_with_their_path() {
    let cases = [
        (r#"{"nod": 1}"#, "nod"),
        (r#"{"zone": ""}"#, "zone"),
        (r#"{"caller_listen": "localhost:8000"}"#, "caller_listen"),
        (r#"{"target_listen": "127.0.0.1:8000"}"#, "target_listen"),
        (r#"{"peer_listen": "0.0.0.0:8003"}"#, "peer_advertise"),
        (r#"{"peer_listen": "[::]:8003"}"#, "peer_advertise"),
        (r#"{"peer_advertise": "0.0.0.0:8003"}"#, "peer_advertise"),
        (r#"{"control": []}"#, "control"),
        (r#"{"log_level": "inof"}"#, "log_level"),
        (r#"{"placement": "best"}"#, "placement"),
        (r#"{"max_requests_in_flight": 0}"#, "max_requests_in_flight"),
        (r#"{"max_queued_requests": 0}"#, "max_queued_requests"),
        (r#"{"max_body_bytes": 0}"#, "max_body_bytes"),
        (r#"{"engine_silence_ms": 0}"#, "engine_silence_ms"),
    ];
    for (text, path) in cases {
        let error = match parse_settings::<EntrySettings>(text) {
            Ok(settings) => settings.check().unwrap_err(),
            Err(error) => error,
        };
        let message = error.to_string();
        assert!(message.contains(path), "{text}: {message}");
    }
}

/// Guards against refusing an unspecified listening address when a reachable address is advertised.
#[test]
fn unspecified_listener_is_valid_with_an_advertised_address() {
    let text = r#"{"peer_listen": "0.0.0.0:8003", "peer_advertise": "192.0.2.1:8003"}"#;
    parse_settings::<EntrySettings>(text).unwrap().check().unwrap();
}
