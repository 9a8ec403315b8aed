//! Codecs of the two ends of a forwarding connection.

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event;

use crate::peer::frame;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::member;

/// Codec of the forwarding proxy, which speaks to a home as to a member.
#[derive(Debug, Default)]
pub struct Forwarding;

/// Codec of the home, which serves the forwarding proxy as a caller.
#[derive(Debug, Default)]
pub struct Serving;

impl member::Codec for Forwarding {
    fn encode(
        &mut self,
        command: member::Command<'_>,
        outbox: &mut BytesMut,
    ) -> Result<(), protocol::Withheld> {
        let request = match command {
            member::Command::Startup { group, .. } => frame::Request::Startup {
                group: group.into(),
            },
            member::Command::Run {
                id,
                text,
                verb,
                floor,
                options,
            } => match options {
                Some(options) => frame::Request::Run {
                    id: id.clone(),
                    text: text.clone(),
                    verb,
                    forwarded: caller::Forwarded {
                        options,
                        session_commit: floor,
                    },
                },
                None => unforwardable("statement without options"),
            },
            member::Command::Execute {
                id,
                prepared,
                arguments,
                floor,
                options,
                ..
            } => match options {
                Some(options) => frame::Request::Execute {
                    id: id.clone(),
                    prepared: prepared.clone(),
                    arguments: arguments.clone(),
                    forwarded: caller::Forwarded {
                        options,
                        session_commit: floor,
                    },
                },
                None => unforwardable("statement without options"),
            },
            member::Command::Set { name, value } => frame::Request::Set {
                name: name.into(),
                value: value.clone(),
            },
            member::Command::Rollback => frame::Request::Rollback,
            member::Command::Reset => frame::Request::Reset,
            member::Command::Terminate => frame::Request::Terminate,
            // A home probes and commands the members itself, and prepares statements at the members itself.
            member::Command::Begin
            | member::Command::Prepare { .. }
            | member::Command::Deallocate(_)
            | member::Command::Status
            | member::Command::Hold(_)
            | member::Command::Release
            | member::Command::Demote(_) => unforwardable("command for a member only"),
        };
        let start = outbox.len();
        frame::encode(&request, outbox);
        match frame::fits(outbox.len() - start) {
            true => Ok(()),
            false => Err(protocol::Withheld::TooLong),
        }
    }

    fn read_back<'a>(&self, _message: &'a [u8]) -> member::ReadBack<'a> {
        member::ReadBack::Opaque
    }

    fn decode(
        &mut self,
        inbox: &mut BytesMut,
    ) -> Result<Option<member::Frame>, protocol::WireError> {
        Ok(frame::decode(inbox)?.map(|response| match response {
            frame::Response::Row(row) => member::Frame::Row(row),
            frame::Response::Complete(signature) => member::Frame::Complete(signature),
            frame::Response::Done => member::Frame::Complete(Bytes::from_static(member::UNSIGNED)),
            frame::Response::Error(code, text) => member::Frame::Error(code, text),
            frame::Response::Ready(state, point) => member::Frame::Ready(state, point),
            frame::Response::Closing => member::Frame::Closing,
        }))
    }

    fn member_status(&self, _row: &Bytes) -> Option<event::MemberStatus> {
        None
    }
}

/// Ends the connection instead of sending a command that the forwarding protocol cannot express.
fn unforwardable(what: &str) -> frame::Request {
    log::error!("event=unforwardable what=\"{what}\"");
    frame::Request::Terminate
}

impl caller::Codec for Serving {
    fn decode(
        &mut self,
        inbox: &mut BytesMut,
    ) -> Result<Option<caller::Message>, protocol::WireError> {
        Ok(frame::decode(inbox)?.map(|request| match request {
            frame::Request::Startup { group } => caller::Message::Startup {
                database: group,
                key: Bytes::new(),
            },
            frame::Request::Run {
                id,
                text,
                verb,
                forwarded,
            } => query(id, text, verb.into(), Some(forwarded)),
            frame::Request::Execute {
                id,
                prepared,
                arguments,
                forwarded,
            } => {
                let statement = caller::Statement::ExecutePrepared {
                    prepared,
                    arguments,
                };
                query(id, Bytes::new(), statement, Some(forwarded))
            }
            frame::Request::Set { name, value } => {
                let statement = caller::Statement::Set { name, value };
                query(Bytes::new(), Bytes::new(), statement, None)
            }
            frame::Request::Rollback => query(
                Bytes::new(),
                Bytes::new(),
                caller::Statement::Rollback,
                None,
            ),
            frame::Request::Reset => {
                query(Bytes::new(), Bytes::new(), caller::Statement::Reset, None)
            }
            frame::Request::Terminate => caller::Message::Terminate,
        }))
    }

    fn can_encode(&self, _reply: caller::Reply<'_>) -> bool {
        true
    }

    fn encode(&mut self, reply: caller::Reply<'_>, outbox: &mut BytesMut) {
        let response = match reply {
            caller::Reply::Ready(state, point) => frame::Response::Ready(state, point),
            caller::Reply::Row(row) => frame::Response::Row(row.clone()),
            caller::Reply::Complete(signature) => frame::Response::Complete(signature.clone()),
            caller::Reply::Done => frame::Response::Done,
            caller::Reply::Error(code, text) => {
                frame::Response::Error(protocol::Code::clone(code), text.into())
            }
            caller::Reply::Closing => frame::Response::Closing,
        };
        frame::encode(&response, outbox);
    }
}

fn query(
    id: Bytes,
    text: Bytes,
    statement: caller::Statement,
    forwarded: Option<caller::Forwarded>,
) -> caller::Message {
    caller::Message::Query(caller::Query {
        id,
        text,
        statement,
        forwarded,
    })
}
