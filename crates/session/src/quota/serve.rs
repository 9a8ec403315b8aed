//! Answers to questions for tokens.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use fulmarlift_broker::quota::message;
use fulmarlift_core::id;
use tokio::net::TcpStream;

use crate::clock;
use crate::deployment::Deployment;
use crate::shell;
use crate::updates::frame;

/// Time without a question after which the connection of another proxy is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers the questions of another proxy, and before the first one its greeting, until it closes the connection.
pub(crate) async fn answer_questions<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    mut stream: TcpStream,
    accepted: BytesMut,
    first: message::QuotaQuestion,
) -> io::Result<()> {
    let answer = frame::Message::QuotaAnswer(shell.answer_question(&first));
    frame::send_first(&mut stream, accepted, &answer.encode()).await?;
    let mut inbox = BytesMut::new();
    loop {
        let next = frame::receive(&mut stream, &mut inbox);
        let question = match tokio::time::timeout(IDLE_TIMEOUT, next).await?? {
            frame::Message::QuotaQuestion(question) => question,
            _ => return Err(io::Error::from(io::ErrorKind::InvalidData)),
        };
        let answer = frame::Message::QuotaAnswer(shell.answer_question(&question));
        frame::send(&mut stream, &answer.encode()).await?;
    }
}

impl<D: Deployment> shell::Shell<D> {
    /// Answers a question as the coordinator of its shard, or tells who that is as far as this proxy knows.
    pub(super) fn answer_question(
        &self,
        question: &message::QuotaQuestion,
    ) -> message::QuotaAnswer {
        let not_coordinator = |holder| message::QuotaAnswer::NotCoordinator { holder };
        let mut state = self.quotas.state.borrow_mut();
        let shard = state.as_mut().and_then(|state| state.shard(question.shard));
        let Some(shard) = shard else {
            return not_coordinator(None);
        };
        let now = clock::now();
        match &mut shard.coordinator {
            Some(coordinator) if coordinator.is_valid(now) => coordinator.answer(now, question),
            _ => not_coordinator(shard.lease.holder().map(|holder| id::of(&holder.vm))),
        }
    }
}
