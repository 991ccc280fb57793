//! What operators see of a node and its fleet.

use membership::{MemberRecord, MemberState, UpstreamState};
use serde::{Deserialize, Serialize};
use types::{EngineId, IncarnationNumber, NodeId, NoteVersion, ZoneId};

use super::ApiContext;

/// A node and what it knows of the others.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FleetStatus {
    /// The node that was asked.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Release note in force on it.
    pub note_version: NoteVersion,
    /// Prompts open on it.
    pub open_prompts: usize,
    /// The members it knows, itself among them.
    pub members: Vec<MemberStatus>,
    /// The engines it knows.
    pub engines: Vec<EngineStatus>,
}

/// One member.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// `alive`, `leaving`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Release note in force on it, as last heard.
    pub note_version: NoteVersion,
    /// Address for callers and operators.
    pub callers: String,
}

/// One engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// `usable`, `on trial`, `backing off` or `leaving`.
    pub state: String,
    /// Life of its process.
    pub incarnation: IncarnationNumber,
    /// Whether the node that was asked owns it.
    pub owned: bool,
}

impl FleetStatus {
    /// The status of the node behind `parts`.
    #[must_use]
    pub fn of(context: &ApiContext) -> Self {
        let snapshot = context.members.members();
        Self {
            node: context.settings.node.id.clone(),
            zone: context.settings.node.zone.clone(),
            note_version: context.notes.current().version,
            open_prompts: context.prompts.open_count(),
            members: snapshot
                .views
                .iter()
                .map(|view| &view.record)
                .map(|record| member_status(context, record))
                .collect(),
            engines: engine_statuses(context),
        }
    }
}

fn member_status(context: &ApiContext, record: &MemberRecord) -> MemberStatus {
    // Of itself a node knows more than membership has told yet.
    let note_version = if record.node == context.settings.node.id {
        context.notes.current().version
    } else {
        record.note_version
    };
    MemberStatus {
        node: record.node.clone(),
        zone: record.zone.clone(),
        state: member_state(record.state).to_owned(),
        note_version,
        callers: record.addresses.callers.to_string(),
    }
}

fn engine_statuses(context: &ApiContext) -> Vec<EngineStatus> {
    context
        .directory
        .engines()
        .into_iter()
        .map(|engine| EngineStatus {
            owned: context.fleet.owns(&engine.id, &engine.zone),
            state: upstream_state(engine.state).to_owned(),
            engine: engine.id,
            zone: engine.zone,
            incarnation: engine.incarnation,
        })
        .collect()
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

fn upstream_state(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Usable => "usable",
        UpstreamState::HalfOpen => "on trial",
        UpstreamState::BackingOff => "backing off",
        UpstreamState::Leaving => "leaving",
    }
}
