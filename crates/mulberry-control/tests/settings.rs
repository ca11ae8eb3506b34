//! Validation of settings files.

use mulberry_control::ControlSettings;
use mulberry_types::parse_settings;

/// Guards against default settings that fail validation.
#[test]
fn the_default_settings_are_valid() {
    ControlSettings::default().check().unwrap();
    let text = serde_json::to_string(&ControlSettings::default()).unwrap();
    assert_eq!(parse_settings::<ControlSettings>(&text).unwrap(), ControlSettings::default());
}

/// Guards against an invalid setting that is detected only at run time, and against an error message
/// without the path of the field.
#[test]
fn invalid_settings_are_rejected_with_the_path_of_the_field() {
    let digest = "0".repeat(64);
    let cases = [
        (r#"{"nmae": "x"}"#.to_owned(), "nmae"),
        (r#"{"peer_address": "localhost:7101"}"#.to_owned(), "peer_address"),
        (r#"{"name": ""}"#.to_owned(), "name"),
        (r#"{"operator_address": "127.0.0.1:0"}"#.to_owned(), "operator_address"),
        (r#"{"operator_address": "127.0.0.1:7101"}"#.to_owned(), "operator_address"),
        (
            r#"{"peer_address": "0.0.0.0:7101", "peers": ["0.0.0.0:7101"]}"#.to_owned(),
            "peer_address",
        ),
        (r#"{"peers": ["127.0.0.1:7102"]}"#.to_owned(), "peers"),
        (r#"{"peers": ["127.0.0.1:7101", "127.0.0.1:7101"]}"#.to_owned(), "peers[1]"),
        (r#"{"snapshot_entries": 1}"#.to_owned(), "snapshot_entries"),
        (r#"{"data_folder": ""}"#.to_owned(), "data_folder"),
        (r#"{"log_level": "inof"}"#.to_owned(), "log_level"),
        (r#"{"log": {"segment_bytes": 1}}"#.to_owned(), "log"),
        (
            r#"{"operators": [{"operator": "a", "token_sha256": "xyz"}]}"#.to_owned(),
            "operators[0].token_sha256",
        ),
        (
            format!(
                r#"{{"operators": [{{"operator": "a", "token_sha256": "{digest}"}},
                    {{"operator": "b", "token_sha256": "{digest}"}}]}}"#
            ),
            "operators[1].token_sha256",
        ),
    ];
    for (text, path) in cases {
        let error = match parse_settings::<ControlSettings>(&text) {
            Ok(settings) => settings.check().unwrap_err(),
            Err(error) => error,
        };
        let message = error.to_string();
        assert!(message.contains(path), "{text}: {message}");
    }
}
