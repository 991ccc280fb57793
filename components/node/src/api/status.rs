//! Status of a node and its view of the fleet, for operators.

use membership::{MemberRecord, MemberState, UpstreamState};
use serde::{Deserialize, Serialize};
use types::{EngineId, IncarnationNumber, NodeId, NoteVersion, ZoneId};

use super::ApiContext;

/// Status of one node, and the members and engines it knows.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FleetStatus {
    /// Node that answered the request.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Version of the release note in force on the node.
    pub note_version: NoteVersion,
    /// Number of prompts open on the node.
    pub open_prompts: usize,
    /// Known members, among them the node itself.
    pub members: Vec<MemberStatus>,
    /// Known engines.
    pub engines: Vec<EngineStatus>,
}

/// Status of one member, as the answering node knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberStatus {
    /// Id of the member.
    pub node: NodeId,
    /// Availability zone of the member.
    pub zone: ZoneId,
    /// `alive`, `leaving`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Version of the release note in force on the member, as last received.
    pub note_version: NoteVersion,
    /// Address on which the member serves callers and operators.
    pub callers: String,
}

/// Status of one engine, as the answering node knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineStatus {
    /// Id of the engine.
    pub engine: EngineId,
    /// Availability zone of the engine.
    pub zone: ZoneId,
    /// `usable`, `on trial`, `backing off` or `leaving`.
    pub state: String,
    /// Incarnation of the engine; a restart begins a new one.
    pub incarnation: IncarnationNumber,
    /// Whether the answering node owns the engine.
    pub owned: bool,
}

impl FleetStatus {
    /// Collects the status of the node that `context` belongs to.
    #[must_use]
    pub fn from_context(context: &ApiContext) -> Self {
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
    // The node's own membership record may still hold an older version.
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
