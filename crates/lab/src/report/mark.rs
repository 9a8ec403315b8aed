//! Faults as they are marked in a plot.

use std::time::Duration;

use crate::experiment;

/// A fault with its place in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Mark {
    /// What is written beside it.
    pub label: String,
    /// Its start in seconds.
    pub from_s: f64,
    /// Its end in seconds, unless it lasts for good.
    pub until_s: Option<f64>,
}

impl Mark {
    /// Returns the mark of a fault.
    pub fn of(fault: &experiment::Fault) -> Self {
        match *fault {
            experiment::Fault::Rush { window, factor } => {
                Self::window(format!("{factor} times the load"), window)
            }
            experiment::Fault::Lag {
                window,
                member,
                lag,
            } => {
                let label = format!("member {member} is {} s behind", lag.as_secs());
                Self::window(label, window)
            }
            experiment::Fault::StoreDown { window } => Self::window("store down".into(), window),
            experiment::Fault::KillMember { at, member } => {
                Self::instant(format!("member {member} dies"), at)
            }
            experiment::Fault::KillProxy { at, proxy } => {
                Self::instant(format!("proxy {proxy} dies"), at)
            }
            experiment::Fault::Silence { at, member } => {
                Self::instant(format!("connections of member {member} go silent"), at)
            }
            experiment::Fault::Leaving { at, member } => {
                Self::instant(format!("VM of member {member} is leaving"), at)
            }
        }
    }

    fn window(label: String, window: experiment::Window) -> Self {
        Self {
            label,
            from_s: window.from.as_secs_f64(),
            until_s: Some(window.until.as_secs_f64()),
        }
    }

    fn instant(label: String, at: Duration) -> Self {
        Self {
            label,
            from_s: at.as_secs_f64(),
            until_s: None,
        }
    }
}
