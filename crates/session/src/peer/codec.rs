//! The two ends of a forwarding connection, as codecs of a member's and of a caller's protocol.

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event::Standing;

use crate::peer::frame::{self, Request, Response};
use crate::protocol::caller::{self, Forwarded, Message, Query, Reply, Statement};
use crate::protocol::member::{self, Command, Frame, Verb};
use crate::protocol::{Code, WireError};

/// The end that forwards, which sees the home as a member.
#[derive(Debug, Default)]
pub struct Forwarding;

/// The end that serves, which sees the other proxy as a caller.
#[derive(Debug, Default)]
pub struct Serving;

impl member::Codec for Forwarding {
    fn encode(&mut self, command: Command<'_>, outbox: &mut BytesMut) {
        let request = match command {
            Command::Startup { group, .. } => Request::Startup {
                group: group.into(),
            },
            Command::Run {
                id,
                text,
                verb,
                floor,
                terms,
            } => match terms {
                Some(route) => Request::Run {
                    id: id.clone(),
                    text: text.clone(),
                    verb,
                    forwarded: Forwarded { route, own: floor },
                },
                None => unforwardable("statement without terms"),
            },
            Command::Execute {
                id,
                prepared,
                arguments,
                floor,
                terms,
            } => match terms {
                Some(route) => Request::Execute {
                    id: id.clone(),
                    prepared: prepared.clone(),
                    arguments: arguments.clone(),
                    forwarded: Forwarded { route, own: floor },
                },
                None => unforwardable("statement without terms"),
            },
            Command::Set { name, value } => Request::Set {
                name: name.into(),
                value: value.clone(),
            },
            Command::Rollback => Request::Rollback,
            Command::Reset => Request::Reset,
            Command::Terminate => Request::Terminate,
            // A home looks after its leaders itself, and prepares what it needs.
            Command::Begin
            | Command::Prepare(_)
            | Command::Status
            | Command::Hold(_)
            | Command::Release
            | Command::Demote(_) => unforwardable("question to a member"),
        };
        frame::put(&request, outbox);
    }

    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        Ok(frame::take(inbox)?.map(|response| match response {
            Response::Row(row) => Frame::Row(row),
            Response::Complete(signature) => Frame::Complete(signature),
            Response::Done => Frame::Complete(Bytes::from_static(b"-")),
            Response::Error(code, text) => Frame::Error(code, text),
            Response::Ready(state, point) => Frame::Ready(state, point),
        }))
    }

    fn standing(&self, _row: &Bytes) -> Option<Standing> {
        None
    }
}

/// Ends the connection, since what was to be sent makes no sense to a home.
fn unforwardable(what: &str) -> Request {
    log::error!("event=unforwardable what=\"{what}\"");
    Request::Terminate
}

impl caller::Codec for Serving {
    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Message>, WireError> {
        Ok(frame::take(inbox)?.map(|request| match request {
            Request::Startup { group } => Message::Startup { database: group },
            Request::Run {
                id,
                text,
                verb,
                forwarded,
            } => {
                let statement = match verb {
                    Verb::Begin(mode) => Statement::Begin(mode),
                    Verb::Commit => Statement::Commit,
                    Verb::Rollback => Statement::Rollback,
                    Verb::Run(mode) => Statement::Run(mode),
                };
                query(id, text, statement, Some(forwarded))
            }
            Request::Execute {
                id,
                prepared,
                arguments,
                forwarded,
            } => {
                let statement = Statement::ExecutePrepared {
                    prepared,
                    arguments,
                };
                query(id, Bytes::new(), statement, Some(forwarded))
            }
            Request::Set { name, value } => {
                let statement = Statement::Set { name, value };
                query(Bytes::new(), Bytes::new(), statement, None)
            }
            Request::Rollback => query(Bytes::new(), Bytes::new(), Statement::Rollback, None),
            Request::Reset => query(Bytes::new(), Bytes::new(), Statement::Reset, None),
            Request::Terminate => Message::Terminate,
        }))
    }

    fn encode(&mut self, reply: Reply<'_>, outbox: &mut BytesMut) {
        let response = match reply {
            Reply::Ready(state, point) => Response::Ready(state, point),
            Reply::Row(row) => Response::Row(row.clone()),
            Reply::Complete(signature) => Response::Complete(signature.clone()),
            Reply::Done => Response::Done,
            Reply::Error(code, text) => Response::Error(Code::clone(code), text.into()),
        };
        frame::put(&response, outbox);
    }
}

fn query(id: Bytes, text: Bytes, statement: Statement, forwarded: Option<Forwarded>) -> Message {
    Message::Query(Query {
        id,
        text,
        statement,
        forwarded,
    })
}
