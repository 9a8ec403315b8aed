//! Marks of faults in plots and reports.

use std::time::Duration;

use crate::experiment;

/// Label and time of a fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Mark {
    /// Description of the fault.
    pub label: String,
    /// Start of the fault, in seconds after the start of the measurement.
    pub from_s: f64,
    /// End of the fault, in seconds after the start of the measurement, if it lasts for a time window.
    pub until_s: Option<f64>,
}

impl Mark {
    /// Creates the mark of a fault.
    pub fn from_fault(fault: &experiment::Fault) -> Self {
        match *fault {
            experiment::Fault::Rush { window, factor } => {
                Self::from_window(format!("{factor} times the load"), window)
            }
            experiment::Fault::Lag {
                window,
                member,
                lag,
            } => {
                let label = format!("member {member} is {} s behind", lag.as_secs());
                Self::from_window(label, window)
            }
            experiment::Fault::StoreDown { window } => {
                Self::from_window("store down".into(), window)
            }
            experiment::Fault::KillMember { at, member } => {
                Self::from_instant(format!("member {member} dies"), at)
            }
            experiment::Fault::KillProxy { at, proxy } => {
                Self::from_instant(format!("proxy {proxy} dies"), at)
            }
            experiment::Fault::Silence { at, member } => {
                Self::from_instant(format!("connections of member {member} go silent"), at)
            }
            experiment::Fault::Leaving { at, member } => {
                Self::from_instant(format!("VM of member {member} is leaving"), at)
            }
        }
    }

    fn from_window(label: String, window: experiment::Window) -> Self {
        Self {
            label,
            from_s: window.from.as_secs_f64(),
            until_s: Some(window.until.as_secs_f64()),
        }
    }

    fn from_instant(label: String, at: Duration) -> Self {
        Self {
            label,
            from_s: at.as_secs_f64(),
            until_s: None,
        }
    }
}
