//! Commands that a connection has been given and that are not answered yet, and the transaction state of its other end.

use std::collections::VecDeque;

use crate::link;
use crate::protocol;
use crate::protocol::TransactionState;
use crate::protocol::member;

/// Effect of a command on the connection's transaction, if the command succeeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Opens,
    Begins,
    Commits,
    RollsBack,
    /// Reads or writes data, of which the answer needs a signature.
    Runs,
    Keeps,
}

impl Step {
    fn of(command: &member::Command<'_>) -> Self {
        match command {
            member::Command::Startup { .. } => Self::Opens,
            member::Command::Begin => Self::Begins,
            member::Command::Rollback => Self::RollsBack,
            member::Command::Execute { .. } => Self::Runs,
            member::Command::Run { verb, .. } => match verb {
                member::Verb::Begin(_) => Self::Begins,
                member::Verb::Commit => Self::Commits,
                member::Verb::Rollback => Self::RollsBack,
                member::Verb::Run(_) => Self::Runs,
            },
            _ => Self::Keeps,
        }
    }

    /// Returns the state after the command has succeeded in the given state.
    fn state_after(self, state: TransactionState) -> TransactionState {
        match self {
            Self::Begins => TransactionState::Transaction,
            Self::Commits | Self::RollsBack => TransactionState::Idle,
            Self::Opens | Self::Runs | Self::Keeps => state,
        }
    }
}

/// The steps of a connection.
#[derive(Debug)]
pub struct Steps {
    unanswered: VecDeque<Step>,
    /// State in the newest answer.
    state: TransactionState,
}

impl Default for Steps {
    fn default() -> Self {
        Self {
            unanswered: VecDeque::new(),
            state: TransactionState::Idle,
        }
    }
}

impl Steps {
    /// Records a command that is to be sent.
    pub fn push(&mut self, command: &member::Command<'_>) {
        self.unanswered.push_back(Step::of(command));
    }

    /// Records an answer to the oldest unanswered command.
    ///
    /// # Errors
    ///
    /// [`LinkError::State`](link::LinkError::State) if the command has succeeded and its answer tells another state than it leads to
    /// (after an error the other end may have kept, failed or ended the transaction), and
    /// [`LinkError::Wire`](link::LinkError::Wire) if the answer lacks the result or the signature.
    pub fn answer(&mut self, answer: &member::Answer) -> Result<(), link::LinkError> {
        let step = self.unanswered.pop_front().unwrap_or(Step::Keeps);
        let (expected, told) = (step.state_after(self.state), answer.state);
        self.state = told;
        if answer.error().is_some() {
            return Ok(());
        }
        if expected != told {
            return Err(link::LinkError::State { expected, told });
        }
        match (&answer.end, step) {
            (member::End::Ready, Step::Opens) => Ok(()),
            (member::End::Ready, _) => {
                Err(protocol::WireError::Malformed("answer without a result").into())
            }
            (member::End::Complete(signature), Step::Runs | Step::Commits)
                if !member::is_signature(signature) =>
            {
                Err(protocol::WireError::Malformed("answer without a signature").into())
            }
            _ => Ok(()),
        }
    }

    /// Returns the number of unanswered commands.
    pub fn unanswered(&self) -> usize {
        self.unanswered.len()
    }

    /// Returns the state in which the next command runs if all unanswered commands succeed.
    fn expected_state(&self) -> TransactionState {
        let states = self.unanswered.iter();
        states.fold(self.state, |state, step| step.state_after(state))
    }

    /// Checks that a statement runs in the state that its session believes in. It may follow a rollback that is not answered yet: if
    /// that fails, the statement runs in the transaction to roll back, which is never committed.
    ///
    /// # Errors
    ///
    /// The reason why the statement must not be sent.
    pub fn check(&self, believed: TransactionState) -> Result<(), protocol::Withheld> {
        let follows_rollback = self.unanswered.len() == 1 && self.unanswered[0] == Step::RollsBack;
        if !self.unanswered.is_empty() && !follows_rollback {
            return Err(protocol::Withheld::OutOfStep {
                left_bytes: 0,
                unanswered: self.unanswered.len(),
            });
        }
        let expected = self.expected_state();
        match expected == believed {
            true => Ok(()),
            false => Err(protocol::Withheld::State { expected, believed }),
        }
    }
}
