//! A connection in use.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_broker::event;
use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::clock;
use crate::link;
use crate::protocol::member;
use crate::shell;
use crate::world::World;

/// Exclusive use of a connection. Dropped without [`Lease::give_back`], the connection is closed.
pub struct Lease<W: World> {
    shell: Rc<shell::Shell<W>>,
    conn: id::ConnId,
    link: Option<shell::Wire<W>>,
    member: id::MemberId,
    running_since: Option<Instant>,
    floor: Option<floor::Point>,
}

impl<W: World> Lease<W> {
    /// Takes a connection on which a statement counts as running.
    pub(super) fn new(shell: &Rc<shell::Shell<W>>, conn: id::ConnId, link: shell::Wire<W>) -> Self {
        Self {
            shell: Rc::clone(shell),
            conn,
            member: link.member(),
            link: Some(link),
            running_since: Some(clock::now()),
            floor: None,
        }
    }

    /// Returns the member at the other end.
    pub fn member(&self) -> id::MemberId {
        self.member
    }

    /// Returns the connection.
    pub fn link(&mut self) -> &mut shell::Wire<W> {
        self.link
            .as_mut()
            .expect("the link is there until the lease is given back")
    }

    /// Returns whether a home of the group is at the other end, rather than a member.
    pub fn is_home(&self) -> bool {
        self.link.as_ref().is_some_and(shell::Wire::is_home)
    }

    /// Notes which point the next statement demands.
    pub fn demand(&mut self, floor: Option<floor::Point>) {
        self.floor = floor;
    }

    /// Notes that a further statement is sent.
    pub fn start(&mut self) {
        if self.running_since.is_none() {
            self.shell
                .handle(event::Event::StatementStarted(self.member));
        }
        self.running_since = Some(clock::now());
    }

    /// Reports how the statement ended. The first report after a start counts.
    pub fn report(&mut self, answer: event::Answer, point: Option<floor::Point>) {
        let Some(since) = self.running_since.take() else {
            return;
        };
        let took = clock::now().saturating_duration_since(since);
        self.shell
            .handle(event::Event::StatementEnded(event::Report {
                member: self.member,
                answer,
                point,
                floor: self.floor,
                took: Some(took),
            }));
    }

    /// Reports that no answer came.
    pub fn report_failure(&mut self, error: &link::LinkError, commit: bool) {
        let answer = match error {
            link::LinkError::Silent => event::Answer::Silent { commit },
            link::LinkError::Broken(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                event::Answer::Silent { commit }
            }
            link::LinkError::Broken(_) | link::LinkError::Wire(_) => event::Answer::Broken,
        };
        self.report(answer, None);
    }

    /// Sends what was added to the link and returns the next answer.
    ///
    /// # Errors
    ///
    /// [`link::LinkError`] when the connection cannot be used any more.
    pub async fn exchange(&mut self, deadline: Instant) -> Result<member::Answer, link::LinkError> {
        self.link().exchange(deadline).await
    }

    /// Returns a clean connection.
    pub fn give_back(mut self) {
        self.report(event::Answer::Unfinished, None);
        if let Some(link) = self.link.take() {
            let mut inner = self.shell.inner.borrow_mut();
            inner.idle.insert(self.conn, link);
        }
        self.shell.handle(event::Event::Returned {
            conn: self.conn,
            reusable: true,
        });
    }

    /// Ends a transaction that nobody wants to finish, in the background, and returns the connection.
    pub fn roll_back(mut self)
    where
        W: World,
    {
        const ROLLBACK_FOR: Duration = Duration::from_millis(1_000);
        tokio::task::spawn_local(async move {
            self.link().push(member::Command::Rollback);
            let deadline = clock::now() + ROLLBACK_FOR;
            match self.exchange(deadline).await {
                Ok(answer) if answer.state == crate::protocol::State::Idle => self.give_back(),
                // The connection is closed, which rolls back as well.
                _ => {}
            }
        });
    }
}

impl<W: World> Drop for Lease<W> {
    fn drop(&mut self) {
        self.report(event::Answer::Unfinished, None);
        if let Some(link) = self.link.take() {
            link.close();
            self.shell.handle(event::Event::Returned {
                conn: self.conn,
                reusable: false,
            });
        }
    }
}
