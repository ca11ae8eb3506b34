//! Checks of announcements that arrive over HTTP.

use mulberry_http::{Request, Response, StatusCode};
use mulberry_types::{Announcement, TargetKind};

/// Longest name of a target, zone, model or service.
const MAX_NAME_BYTES: usize = 128;

/// Most models that one engine may announce.
const MAX_MODELS: usize = 64;

/// Parses and checks the body of `POST /targets/announce`.
///
/// # Errors
/// The answer for the target, which names the field and the remedy.
pub fn parse_announcement(request: &Request) -> Result<Announcement, Box<Response>> {
    let announcement: Announcement = serde_json::from_slice(&request.body)
        .map_err(|error| refuse(&format!("the body is no announcement: {error}")))?;
    check(&announcement).map_err(|problem| refuse(&problem))?;
    Ok(announcement)
}

fn check(announcement: &Announcement) -> Result<(), String> {
    check_name("target", &announcement.target)?;
    check_name("zone", &announcement.zone)?;
    if announcement.slots == 0 {
        return Err("slots: is 0; announce at least 1".to_owned());
    }
    match &announcement.kind {
        TargetKind::Engine { models } => {
            if announcement.memory_tokens == 0 || announcement.prefill_tokens_per_s == 0 {
                return Err(
                    "memory_tokens and prefill_tokens_per_s: an engine has more than 0 of \
                            each; announce its real figures"
                        .to_owned(),
                );
            }
            if models.len() > MAX_MODELS {
                return Err(format!("models: are too many; announce at most {MAX_MODELS}"));
            }
            models.iter().try_for_each(|model| check_name("models", model))
        }
        TargetKind::Service { service } => check_name("service", service),
    }
}

fn check_name(field: &str, name: &str) -> Result<(), String> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(format!("{field}: has {} bytes; use 1 to {MAX_NAME_BYTES}", name.len()));
    }
    Ok(())
}

fn refuse(problem: &str) -> Box<Response> {
    Box::new(Response::error(StatusCode::BAD_REQUEST, "invalid_announcement", "not_run", problem))
}
