//! Tokens of operations.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_broker::quota;
use fulmarlift_broker::quota::client;
use fulmarlift_core::id;
use tokio::sync::oneshot;

use crate::clock;
use crate::deployment::Deployment;
use crate::shell;

/// Token with which an operation was admitted; none if its workspace has no limit.
pub(crate) struct Charge<D: Deployment> {
    token: Option<(Rc<shell::Shell<D>>, client::Token)>,
}

impl<D: Deployment> Charge<D> {
    /// Returns the charge of an operation without a limit.
    pub(crate) fn free() -> Self {
        Self { token: None }
    }

    /// Gives the token back, since the operation has certainly not run.
    pub(crate) fn put_back(self) {
        if let Some((shell, token)) = self.token {
            let shard = quota::shard_of(token.workspace);
            let now = clock::now();
            shell.step_client_and_wake(shard, |client| client.put_back(now, token));
        }
    }
}

/// Forgets a waiting operation when its future is dropped.
struct CancelGuard<'a, D: Deployment> {
    shell: &'a Rc<shell::Shell<D>>,
    workspace: id::WorkspaceId,
    request: id::RequestId,
}

impl<D: Deployment> Drop for CancelGuard<'_, D> {
    fn drop(&mut self) {
        let mut state = self.shell.quotas.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            return;
        };
        state.waiting.remove(self.request);
        if let Some(shard) = state.shard(quota::shard_of(self.workspace)) {
            shard.client.cancel(self.workspace, self.request);
        }
    }
}

impl<D: Deployment> shell::Shell<D> {
    /// Waits for a token for an operation of a workspace, at most until the deadline.
    ///
    /// # Errors
    ///
    /// The time after which the caller may retry, if there is no token in time.
    pub(crate) async fn charge_operation(
        self: &Rc<Self>,
        workspace: Option<id::WorkspaceId>,
        deadline: Instant,
    ) -> Result<Charge<D>, Duration> {
        let Some(workspace) = workspace else {
            return Ok(Charge::free());
        };
        let is_limited = self.with_broker(|broker| {
            let workspace = broker.topology().workspace(workspace);
            workspace.is_some_and(|workspace| workspace.limit.is_some())
        });
        if !is_limited {
            return Ok(Charge::free());
        }
        // The first limit may have come with the newest configuration.
        self.apply_quota_changes();
        let request = self.next_request();
        let (sender, receiver) = oneshot::channel();
        if let Some(state) = self.quotas.state.borrow_mut().as_mut() {
            state.waiting.insert(request, sender);
        }
        let guard = CancelGuard {
            shell: self,
            workspace,
            request,
        };
        let operation = client::Operation {
            request,
            workspace,
            deadline,
        };
        let now = clock::now();
        self.step_client_and_wake(quota::shard_of(workspace), |client| {
            client.request(now, operation)
        });
        let decision = receiver
            .await
            .expect("a waiting operation is dropped only after a decision");
        std::mem::forget(guard);
        let waited = clock::now().saturating_duration_since(now);
        metrics::histogram!("fulmarlift_quota_wait_seconds").record(waited.as_secs_f64());
        match decision {
            Ok(token) => {
                metrics::counter!("fulmarlift_quota_operations_total", "outcome" => "admitted")
                    .increment(1);
                let token = Some((Rc::clone(self), token));
                Ok(Charge { token })
            }
            Err(retry_after) => {
                metrics::counter!("fulmarlift_quota_operations_total", "outcome" => "refused")
                    .increment(1);
                log::info!(
                    "event=quota_refused workspace={} waited_ms={} retry_after_ms={}",
                    self.workspace_name(workspace).as_deref().unwrap_or("none"),
                    waited.as_millis(),
                    retry_after.as_millis()
                );
                Err(retry_after)
            }
        }
    }
}
