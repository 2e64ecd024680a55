//! The search's state: everything that distinguishes two points of a history.

use std::{
    fmt,
    hash::{Hash, Hasher},
    rc::Rc,
};

use policy::{
    Incarnation, InstanceId,
    ledger::{ClaimId, Claimant, Writer},
};

/// A call that an instance handles.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Call {
    /// Number of the call in order of arrival.
    pub(crate) number: u8,
    pub(crate) attempt: u32,
    pub(crate) id: Option<ClaimId>,
    pub(crate) claimant: Claimant,
}

/// The batch in flight; `record` is an index of interned records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct InFlight {
    pub(crate) sequence: u64,
    pub(crate) record: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Instance {
    pub(crate) incarnation: u64,
    /// The range of records that the instance has read.
    pub(crate) read_start: u8,
    pub(crate) read_end: u8,
    pub(crate) sequence: u64,
    /// Indices of interned entries.
    pub(crate) queue: Vec<u16>,
    pub(crate) in_flight: Option<InFlight>,
    /// Whether the batch in flight got no reply and may be appended again.
    pub(crate) unanswered: bool,
    pub(crate) call: Option<Call>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct State {
    /// Indices of interned records; records below position `first` have been dropped.
    pub(crate) log: Vec<u16>,
    pub(crate) first: u8,
    pub(crate) late_appends: Vec<u16>,
    pub(crate) instances: [Instance; 2],
    /// Calls that were sent but haven't reached the endpoint.
    pub(crate) sent_calls: Vec<u8>,
    pub(crate) run_count: u8,
    /// Number of calls that had arrived when a caller was last told "not run".
    pub(crate) calls_before_not_run: u8,
    pub(crate) send_count: u8,
    /// Index of the interned answer that an instance has read from the log.
    pub(crate) stored_answer: Option<u16>,
    pub(crate) calls: u8,
    pub(crate) crashes: u8,
    pub(crate) faulty_appends: u8,
    pub(crate) log_truncations: u8,
    pub(crate) violation: Option<&'static str>,
}

impl State {
    pub(crate) fn faults(&self) -> u8 {
        self.log_truncations + self.crashes + self.faulty_appends
    }
}

/// A state and the step that led to it. Equality and hash ignore the step.
#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) state: Rc<State>,
    pub(crate) step: &'static str,
    pub(crate) instance: usize,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

impl Node {
    pub(crate) fn start() -> Self {
        let instance = Instance {
            incarnation: 1,
            read_start: 0,
            read_end: 0,
            sequence: 1,
            queue: Vec::new(),
            in_flight: None,
            unanswered: false,
            call: None,
        };
        let state = State {
            log: Vec::new(),
            first: 0,
            late_appends: Vec::new(),
            instances: [instance.clone(), instance],
            sent_calls: Vec::new(),
            run_count: 0,
            calls_before_not_run: 0,
            send_count: 0,
            stored_answer: None,
            calls: 0,
            crashes: 0,
            faulty_appends: 0,
            log_truncations: 0,
            violation: None,
        };
        Node { state: Rc::new(state), step: "start", instance: 0 }
    }

    pub(crate) fn describe(&self) -> String {
        match self.state.violation {
            Some(violation) => format!("{self}: {violation}"),
            None => self.to_string(),
        }
    }
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "instance {}: {}", self.instance, self.step)
    }
}

/// The writer identity of an instance in its current incarnation.
pub(crate) fn writer(state: &State, i: usize) -> Writer {
    let name = ["entry-0", "entry-1"][i];
    let incarnation = Incarnation(state.instances[i].incarnation);
    Writer { instance: InstanceId::new(name).expect("valid name"), incarnation }
}
