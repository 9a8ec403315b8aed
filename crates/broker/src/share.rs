//! Connections to a member, shared between workspaces.
//!
//! A connection to a member serves one workspace, and a member allows few connections. So a proxy keeps connections of the workspaces that
//! use them, and closes the one that has been idle longest when another workspace needs one.

use std::time::Instant;

use fulmarlift_core::id;

use crate::member_state;

/// Connections of a proxy's share that a single workspace cannot hold, so that its transactions cannot keep all other workspaces
/// waiting.
const RESERVED_FOR_OTHERS: u32 = 1;

/// What a request of a workspace does about a connection to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// It uses an idle connection of its workspace.
    Use,
    /// It waits for a connection that has to be opened.
    Open,
    /// As [`Self::Open`], after this idle connection of another workspace is closed.
    Replace(id::ConnId),
    /// It waits until a connection is given back or the member allows another one.
    Wait,
}

/// Chooses what a request of a workspace does about a connection to a member. Without workspaces all connections are alike.
pub fn choose(
    state: &member_state::MemberState,
    workspace: Option<id::WorkspaceId>,
    now: Instant,
) -> Choice {
    if state.has_idle(workspace) {
        return Choice::Use;
    }
    if !state.may_open(now) {
        return Choice::Wait;
    }
    let has_room = state.connections() < state.connection_share;
    let held = workspace.map_or(0, |workspace| state.held_by(workspace));
    if held > 0 && held + RESERVED_FOR_OTHERS >= state.connection_share {
        return Choice::Wait;
    }
    if has_room {
        return Choice::Open;
    }
    // The connection that has been idle longest is the first one. Without workspaces all idle connections are alike.
    match state.idle.first() {
        Some(idle) => Choice::Replace(idle.conn),
        None => Choice::Wait,
    }
}
