//! Commands on their way to a member: each is read back from the encoded bytes, and sent only if it is still the same.

use bytes::BytesMut;

use crate::protocol;
use crate::protocol::member::{self, Codec, Command, ReadBack, Verb};
use crate::values;

/// Appends a command to the bytes that a connection sends next, unless the member would read another one.
///
/// # Errors
///
/// [`protocol::Withheld`] if the command must not be sent; nothing is appended.
pub fn append<C: Codec>(
    codec: &mut C,
    connection_state: &mut values::ConnectionState,
    command: Command<'_>,
    outbox: &mut BytesMut,
) -> Result<(), protocol::Withheld> {
    let start = outbox.len();
    let mut appended = codec.encode(command, outbox);
    if appended.is_ok() {
        let read = codec.read_back(&outbox[start..]);
        if !is_kept(command, read, connection_state) {
            appended = Err(protocol::Withheld::Changed);
        }
    }
    if appended.is_err() {
        outbox.truncate(start);
    }
    appended
}

/// Returns whether what a member reads is the command. A prepared statement must have a name of its own on the connection,
/// an execution the name of its definition, and a removal the name that the statement had.
fn is_kept(
    command: Command<'_>,
    read: ReadBack<'_>,
    connection_state: &mut values::ConnectionState,
) -> bool {
    match (command, read) {
        (_, ReadBack::Opaque) => true,
        (
            Command::Run {
                id,
                text,
                verb,
                floor,
                ..
            },
            ReadBack::Run(statement, read_verb),
        ) => {
            let sent = member::ReadStatement { id, floor, text };
            (statement, read_verb) == (sent, verb) && (floor.is_none() || may_have_floor(verb))
        }
        (
            Command::Execute {
                id,
                prepared,
                arguments,
                floor,
                ..
            },
            ReadBack::Execute { name, statement },
        ) => {
            let sent = member::ReadStatement {
                id,
                floor,
                text: arguments,
            };
            statement == sent
                && (floor.is_none() || prepared.mode == protocol::Mode::Read)
                && connection_state.has_name(prepared, name)
        }
        (Command::Set { name, value }, ReadBack::Set(read_name, read_value)) => {
            (name.as_bytes(), value.as_ref()) == (read_name, read_value)
        }
        (Command::Prepare { prepared, .. }, ReadBack::Prepare { name, mode, shape }) => {
            (prepared.mode, prepared.shape.as_bytes()) == (mode, shape)
                && connection_state.record_name(prepared, name)
        }
        (
            Command::Startup {
                group,
                member,
                workspace,
            },
            ReadBack::Startup {
                group: read_group,
                client,
                member: read_member,
            },
        ) => {
            let is_client = workspace.is_none_or(|workspace| workspace.as_bytes() == client);
            (group.as_bytes(), member.as_bytes()) == (read_group, read_member) && is_client
        }
        (Command::Deallocate(prepared_id), ReadBack::Deallocate(name)) => {
            connection_state.forget_name(prepared_id, name)
        }
        (Command::Hold(term), ReadBack::Hold(read_term))
        | (Command::Demote(term), ReadBack::Demote(read_term)) => term == read_term,
        (Command::Begin, ReadBack::Begin)
        | (Command::Rollback, ReadBack::Rollback)
        | (Command::Reset, ReadBack::Reset)
        | (Command::Status, ReadBack::Status)
        | (Command::Release, ReadBack::Release)
        | (Command::Terminate, ReadBack::Terminate) => true,
        _ => false,
    }
}

/// Returns whether a floor may precede a statement without changing it.
fn may_have_floor(verb: Verb) -> bool {
    matches!(verb, Verb::Begin(_) | Verb::Run(protocol::Mode::Read))
}
