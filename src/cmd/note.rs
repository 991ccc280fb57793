//! `gentiantally note`: publishes and shows release notes.

use std::fs;

use node::api::{FleetStatus, HistoryEntry, PublishAnswer};
use notes::{EntryChange, FleetState};

use super::client::{NodeClient, write_json, write_line};
use crate::{
    cli::{NoteAction, NoteDiff, NoteHistory, NotePublish, NoteShow, NoteStatus},
    launch::ProgramError,
};

/// Runs one of the actions on release notes.
///
/// # Errors
/// `ProgramError::Usage` when the note's file can't be read,
/// `ProgramError::Failed` when the call to the node or the output fails.
pub fn run(action: NoteAction) -> Result<(), ProgramError> {
    match action {
        NoteAction::Publish(command) => publish(&command),
        NoteAction::Show(command) => show(&command),
        NoteAction::History(command) => history(&command),
        NoteAction::Diff(command) => diff(&command),
        NoteAction::Status(command) => status(&command),
    }
}

fn publish(command: &NotePublish) -> Result<(), ProgramError> {
    let text = fs::read_to_string(&command.file)
        .map_err(|error| ProgramError::Usage(format!("read {}: {error}", command.file)))?;
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let mut path = format!("/v1/operator/notes?rebase={}", command.rebase);
    if let Some(base) = command.base {
        path = format!("{path}&base={base}");
    }
    let answer: PublishAnswer = smol::block_on(client.post("publish", &path, text))?;
    if command.json {
        return write_json(&answer);
    }
    if answer.repeated {
        return write_line(&format!(
            "already accepted as release note {}",
            answer.version
        ));
    }
    write_line(&format!("accepted as release note {}", answer.version))
}

fn history(command: &NoteHistory) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let path = format!("/v1/operator/notes?after={}", command.after);
    let entries: Vec<HistoryEntry> = smol::block_on(client.get("history", &path))?;
    if command.json {
        return write_json(&entries);
    }
    for entry in &entries {
        write_line(&format!("{} {} {}", entry.version, entry.id, entry.summary))?;
    }
    Ok(())
}

fn diff(command: &NoteDiff) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let path = format!("/v1/operator/notes?from={}&to={}", command.from, command.to);
    let changes: Vec<EntryChange> = smol::block_on(client.get("diff", &path))?;
    if command.json {
        return write_json(&changes);
    }
    for change in &changes {
        write_line(&format!("{:?} {}", change.change, change.entry))?;
        if !change.before.is_empty() {
            write_line(&format!("  - {}", change.before))?;
        }
        if !change.after.is_empty() {
            write_line(&format!("  + {}", change.after))?;
        }
    }
    Ok(())
}

fn show(command: &NoteShow) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let state: FleetState = smol::block_on(client.get("show", "/v1/operator/notes"))?;
    if command.json {
        return write_json(&state);
    }
    write_line(&format!("release note {}", state.version))?;
    for (name, entry) in &state.organisations {
        write_line(&format!(
            "organisation {name}: {:?}, models {}, services {}",
            entry.plan,
            entry.models.join(" "),
            entry.services.join(" ")
        ))?;
    }
    for (name, entry) in &state.models {
        write_line(&format!("model {name}: version {}", entry.version))?;
    }
    for (name, entry) in &state.adapters {
        write_line(&format!(
            "adapter {name}: of {}, version {}",
            entry.model, entry.version
        ))?;
    }
    for (name, entry) in &state.services {
        write_line(&format!("service {name}: {:?}", entry.guarantee))?;
    }
    Ok(())
}

fn status(command: &NoteStatus) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let status: FleetStatus = smol::block_on(client.get("status", "/v1/operator/status"))?;
    if command.json {
        return write_json(&status.members);
    }
    let newest = status
        .members
        .iter()
        .map(|member| member.note_version)
        .max();
    let newest = newest.unwrap_or(0).max(status.note_version);
    write_line(&format!("newest release note {newest}"))?;
    for member in &status.members {
        let lag = newest - member.note_version;
        write_line(&format!(
            "{}: {} in force, {}",
            member.node,
            member.note_version,
            if lag == 0 { "up to date" } else { "lagging" }
        ))?;
    }
    Ok(())
}
