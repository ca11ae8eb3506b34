//! The commands.

use std::io::{BufRead, IsTerminal, Read, Write};
use std::path::Path;
use std::time::Duration;

use eyre::eyre;
use mulberry_operators::{MemberChange, OperatorClient, ReplicaId, Status};
use mulberry_plan::{ApplyError, Plan, PrintedPlan, read_configuration};
use mulberry_types::{AuditRecord, ConfigurationVersion, TargetState, ZoneState};
use rand::Rng;
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::connection::connect;
use crate::explain::explain;
use crate::failure::Failure;
use crate::flags::{
    KeyCmd, LeaderCmd, MembersCmd, Mulberryctl, MulberryctlCmd, TargetCmd, ZoneCmd,
};
use crate::output::{print, print_json};

/// Attempts of a change whose meaning does not depend on the version. At the design size of 0.24
/// changes per second, even two conflicts in a row are rare.
const MAX_ATTEMPTS: u32 = 8;

const DEFAULT_AUDIT_LIMIT: usize = 100;

/// No API key is longer.
const MAX_KEY_BYTES: u64 = 4_096;

/// Runs the command of the arguments.
pub fn run(flags: &Mulberryctl) -> Result<(), Failure> {
    match &flags.subcommand {
        MulberryctlCmd::Plan(command) => {
            let plan = plan_file(&connect(flags)?, &command.file)?;
            print_plan(flags, &plan);
            Ok(())
        }
        MulberryctlCmd::Explain(command) => explain(&command.request, &command.logs),
        MulberryctlCmd::Apply(command) => apply(flags, &command.file, command.yes),
        MulberryctlCmd::Get(_) => get(flags),
        MulberryctlCmd::Audit(command) => {
            let from_version = ConfigurationVersion(command.from_version.unwrap_or(0));
            let limit = command.limit.unwrap_or(DEFAULT_AUDIT_LIMIT);
            audit(flags, from_version, limit)
        }
        MulberryctlCmd::Zone(command) => match &command.subcommand {
            ZoneCmd::Out(zone) => set_zone(flags, &zone.name, ZoneState::Out),
            ZoneCmd::In(zone) => set_zone(flags, &zone.name, ZoneState::In),
        },
        MulberryctlCmd::Target(command) => match &command.subcommand {
            TargetCmd::Drain(target) => set_target(flags, &target.name, TargetState::Drained),
            TargetCmd::Return(target) => set_target(flags, &target.name, TargetState::In),
        },
        MulberryctlCmd::Status(_) => status(flags),
        MulberryctlCmd::Members(command) => {
            let change = match &command.subcommand {
                MembersCmd::AddLearner(learner) => {
                    MemberChange::AddLearner { replica: learner.replica, address: learner.address }
                }
                MembersCmd::Promote(learner) => MemberChange::Promote { replica: learner.replica },
                MembersCmd::Remove(member) => MemberChange::Remove { replica: member.replica },
            };
            connect(flags)?.change_members(&change)?;
            print_done(flags, "done; check the group with mulberryctl status");
            Ok(())
        }
        MulberryctlCmd::Leader(command) => {
            let LeaderCmd::Transfer(transfer) = &command.subcommand;
            connect(flags)?.transfer(transfer.replica)?;
            print_done(flags, "done; check the leader with mulberryctl status");
            Ok(())
        }
        MulberryctlCmd::Key(command) => {
            let KeyCmd::Hash(_) = &command.subcommand;
            hash_key(flags)
        }
    }
}

fn plan_file(client: &OperatorClient, file: &Path) -> Result<PrintedPlan, Failure> {
    let wanted = read_configuration(file)?;
    Ok(Plan::read(client)?.configuration(wanted).print()?)
}

fn print_plan(flags: &Mulberryctl, plan: &PrintedPlan) {
    if !flags.json {
        print(&plan.to_string());
        return;
    }
    print_json(&json!({
        "change": plan.change(),
        "differences": plan.differences(),
        "wanted": plan.wanted(),
    }));
}

fn apply(flags: &Mulberryctl, file: &Path, yes: bool) -> Result<(), Failure> {
    if !yes && !std::io::stdin().is_terminal() {
        return Err(Failure::usage(eyre!(
            "nobody can be asked; use --yes to apply without asking"
        )));
    }
    let client = connect(flags)?;
    let plan = plan_file(&client, file)?;
    print_plan(flags, &plan);
    if !yes && !plan.is_empty() && !ask("apply this change? [y/N] ") {
        return Err(Failure::rejected(eyre!("not applied; nothing was changed")));
    }
    let applied = plan.apply(&client)?;
    print_version(flags, "in force with", applied.version, !plan.is_empty());
    Ok(())
}

fn ask(question: &str) -> bool {
    eprint!("{question}");
    let _ = std::io::stderr().flush();
    let mut answer = String::new();
    let is_read = std::io::stdin().lock().read_line(&mut answer).is_ok();
    is_read && matches!(answer.trim(), "y" | "Y" | "yes")
}

fn get(flags: &Mulberryctl) -> Result<(), Failure> {
    let answer = connect(flags)?.configuration()?;
    if flags.json {
        print_json(&answer);
        return Ok(());
    }
    let text = serde_json::to_string_pretty(&answer.configuration).map_err(Failure::usage)?;
    print(&text);
    // Not on standard output, which is a configuration file.
    eprintln!("version {}", answer.version);
    Ok(())
}

fn audit(
    flags: &Mulberryctl,
    from_version: ConfigurationVersion,
    limit: usize,
) -> Result<(), Failure> {
    for record in connect(flags)?.audit(from_version, limit)?.records {
        if flags.json {
            print_json(&record);
            continue;
        }
        let AuditRecord { change_id, operator, at_unix_ms, from_version, to_version, operations } =
            record;
        let operations = serde_json::to_string(&operations).map_err(Failure::usage)?;
        print(&format!(
            "version={to_version} from_version={from_version} at_unix_ms={at_unix_ms} \
             operator={operator} change={} operations={operations}",
            change_id.0
        ));
    }
    Ok(())
}

fn set_zone(flags: &Mulberryctl, name: &str, state: ZoneState) -> Result<(), Failure> {
    let is = match state {
        ZoneState::In => "in",
        ZoneState::Out => "out",
    };
    apply_on_any_version(flags, &format!("zone {name} is {is} with"), |plan| plan.zone(name, state))
}

fn set_target(flags: &Mulberryctl, name: &str, state: TargetState) -> Result<(), Failure> {
    let is = match state {
        TargetState::In => "in",
        TargetState::Drained => "drained",
    };
    let text = format!("target {name} is {is} with");
    apply_on_any_version(flags, &text, |plan| plan.target(name, state))
}

/// Applies a change that means the same on every version: reads and plans again after a conflict.
fn apply_on_any_version(
    flags: &Mulberryctl,
    text: &str,
    set: impl Fn(Plan) -> Plan,
) -> Result<(), Failure> {
    let client = connect(flags)?;
    let mut attempt = 1;
    loop {
        let plan = set(Plan::read(&client)?).print()?;
        match plan.apply(&client) {
            Ok(applied) => {
                print_version(flags, text, applied.version, !plan.is_empty());
                return Ok(());
            }
            Err(ApplyError::Conflict { .. }) if attempt < MAX_ATTEMPTS => {
                attempt += 1;
                // Random, so that two operators do not meet again and again.
                let pause_ms = rand::rng().random_range(20..200);
                std::thread::sleep(Duration::from_millis(pause_ms));
            }
            Err(error) => return Err(error.into()),
        }
    }
}

fn print_version(flags: &Mulberryctl, text: &str, version: ConfigurationVersion, is_changed: bool) {
    if flags.json {
        print_json(&json!({ "version": version, "changed": is_changed }));
    } else if is_changed {
        print(&format!("{text} version {version}"));
    } else {
        print(&format!("{text} version {version} already; nothing was changed"));
    }
}

fn print_done(flags: &Mulberryctl, text: &str) {
    if flags.json {
        print_json(&json!({ "done": true }));
    } else {
        print(text);
    }
}

fn status(flags: &Mulberryctl) -> Result<(), Failure> {
    let status = connect(flags)?.status()?;
    if flags.json {
        print_json(&status);
        return Ok(());
    }
    let Status { replica, leader, term, commit_index, version, epoch, .. } = &status;
    print(&format!(
        "replica={replica} leader={} term={term} commit_index={commit_index}",
        or_unknown(leader.map(|leader: ReplicaId| leader.to_string()))
    ));
    print(&format!(
        "version={version} epoch={epoch} settled_epoch={}",
        or_unknown(status.settled_epoch)
    ));
    for replica in &status.replicas {
        print(&format!(
            "replica={} role={} address={} lag_entries={} last_contact_ms={}",
            replica.replica,
            replica.role.name(),
            or_unknown(replica.address),
            or_unknown(replica.lag_entries),
            or_unknown(replica.last_contact_ms),
        ));
    }
    for entry in &status.entries {
        print(&format!(
            "entry={} incarnation={:x} zone={} address={} lease_age_ms={} applied_version={} \
             applied_epoch={}",
            entry.node,
            entry.incarnation.0,
            entry.zone,
            entry.peer_address,
            entry.lease_age_ms,
            entry.applied_version,
            entry.applied_epoch,
        ));
    }
    Ok(())
}

fn or_unknown<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "unknown".to_owned(), |value| value.to_string())
}

fn hash_key(flags: &Mulberryctl) -> Result<(), Failure> {
    let mut key = Vec::new();
    std::io::stdin().take(MAX_KEY_BYTES + 1).read_to_end(&mut key).map_err(Failure::usage)?;
    let key = key.trim_ascii_end();
    if key.is_empty() || key.len() as u64 > MAX_KEY_BYTES {
        let bytes = key.len();
        return Err(Failure::usage(eyre!("the key has {bytes} bytes; use 1 to {MAX_KEY_BYTES}")));
    }
    let digest: String = Sha256::digest(key).iter().map(|byte| format!("{byte:02x}")).collect();
    if flags.json {
        print_json(&json!({ "api_key_sha256": digest }));
    } else {
        print(&digest);
    }
    Ok(())
}
