//! Session values that members refuse.

#[path = "support/scripted.rs"]
#[allow(dead_code)]
mod scripted;
#[path = "support/scripted_system.rs"]
#[allow(dead_code)]
mod scripted_system;
mod support;

use scripted::Reaction;
use scripted_system::{Limits, READ, System};

/// More refusals than a statement has attempts.
const REFUSALS: usize = 12;

/// A refusal is an answer, so the connection can be used further. Members allow few connections, and each new one costs them a slot.
#[tokio::test]
async fn statement_behind_refused_session_value_uses_up_one_connection_at_most() {
    let test = async {
        let system = System::start(false, Limits::default()).await;
        system.run_single("s1", "READ 1", READ).await;
        let refusal = ("- SET", Reaction::Refuses("MALFORMED"));
        system
            .member
            .script
            .borrow_mut()
            .extend([refusal; REFUSALS]);
        let mut caller = system.connect().await;
        caller.set("zone", "").await;
        let connections_before = system.member.connections.get();
        caller.run("s2.0", "READ 1", READ).await;
        let opened = system.member.connections.get() - connections_before;
        let received = system.member.received.borrow();
        let refused = received.iter().filter(|(id, _)| id == "-").count();
        assert!(opened <= 1, "{opened} connections for {refused} commands");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
