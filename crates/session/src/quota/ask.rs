//! Questions for tokens, each sent to the coordinator of its shard on a connection that stays open.

use std::io;
use std::rc::Rc;

use bytes::BytesMut;
use fulmarlift_broker::quota::client;
use fulmarlift_broker::quota::message;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::clock;
use crate::deployment::Deployment;
use crate::link;
use crate::shell;
use crate::updates::frame;

impl<D: Deployment> shell::Shell<D> {
    /// Sends a question to a proxy, which may be this one.
    pub(super) fn ask_for_tokens(
        self: &Rc<Self>,
        to: id::ProxyId,
        question: message::QuotaQuestion,
    ) {
        metrics::counter!("fulmarlift_quota_questions_total").increment(1);
        if to == id::of(self.vm_name()) {
            let answer = self.answer_question(&question);
            let (shard, number) = (question.shard, question.question);
            self.step_client_and_wake(shard, |client| client.answer(clock::now(), number, &answer));
            return;
        }
        let mut state = self.quotas.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            return;
        };
        let question = match state.links.get(to) {
            Some(link) => match link.send(question) {
                Ok(()) => return,
                // The connection has ended.
                Err(mpsc::error::SendError(question)) => question,
            },
            None => question,
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        // The receiver is there.
        let _ = sender.send(question);
        state.links.insert(to, sender);
        tokio::task::spawn_local(keep_link(Rc::clone(self), to, receiver));
    }

    fn end_question(self: &Rc<Self>, question: &message::QuotaQuestion) {
        let number = question.question;
        self.step_client_and_wake(question.shard, |client| client.lost(clock::now(), number));
    }
}

/// Sends questions to a proxy, one after the other, until the connection breaks. The questions that wait then are lost.
async fn keep_link<D: Deployment>(
    shell: Rc<shell::Shell<D>>,
    to: id::ProxyId,
    mut questions: mpsc::UnboundedReceiver<message::QuotaQuestion>,
) {
    let peer = shell.with_broker(|broker| broker.listed_peer(to));
    let ended = match peer {
        Some(peer) => exchange_questions(&shell, &peer, &mut questions).await,
        None => Err(io::Error::from(io::ErrorKind::NotFound)),
    };
    if let Err(error) = ended {
        log::debug!("event=quota_link_ended error=\"{error}\"");
    }
    questions.close();
    while let Ok(question) = questions.try_recv() {
        shell.end_question(&question);
    }
}

async fn exchange_questions<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    peer: &topology::Peer,
    questions: &mut mpsc::UnboundedReceiver<message::QuotaQuestion>,
) -> io::Result<()> {
    let mut inbox = BytesMut::new();
    let mut stream: Option<TcpStream> = None;
    while let Some(question) = questions.recv().await {
        let asking = ask(shell, peer, &mut stream, &mut inbox, &question);
        let answered = tokio::time::timeout(client::QUESTION_TIMEOUT, asking).await;
        let answered = answered.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)));
        let answer = match answered {
            Ok(answer) => answer,
            Err(error) => {
                shell.end_question(&question);
                return Err(error);
            }
        };
        let (shard, number) = (question.shard, question.question);
        shell.step_client_and_wake(shard, |client| client.answer(clock::now(), number, &answer));
    }
    Ok(())
}

/// Asks one question, and opens the connection if there is none.
async fn ask<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    peer: &topology::Peer,
    stream: &mut Option<TcpStream>,
    inbox: &mut BytesMut,
    question: &message::QuotaQuestion,
) -> io::Result<message::QuotaAnswer> {
    let encoded = frame::Message::QuotaQuestion(question.clone()).encode();
    let stream = match stream {
        Some(stream) => {
            frame::send(stream, &encoded).await?;
            stream
        }
        None => {
            let mut opened = link::connect(peer.updates_address).await?;
            frame::send(&mut opened, &frame::greet(shell, peer, &encoded)).await?;
            frame::receive_greeting(shell, peer, &mut opened, inbox).await?;
            stream.insert(opened)
        }
    };
    match frame::receive(stream, inbox).await? {
        frame::Message::QuotaAnswer(answer) => Ok(answer),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}
