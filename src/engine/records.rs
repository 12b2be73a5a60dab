//! What the journal holds of the core's state: the records of a snapshot, and which names a start goes on with. It writes
//! nothing itself.

use super::*;

/// The names that a start goes on with: those of the configuration, those that flows go by, and of each kind the last
/// that was given a number, so that none is given again. All others are forgotten here, as nowhere else.
pub(super) fn names_to_keep(records: &[Record], core: &Core) -> BTreeSet<(bool, u32)> {
    let mut kept = BTreeSet::new();
    let (mut last, mut configured) = ([None; 2], BTreeSet::new());
    configured.extend(core.classes.iter().map(|name| (false, name.as_bytes())));
    configured.extend(core.tenants.iter().map(|name| (true, name.as_bytes())));
    if core.tenants.is_empty() {
        configured.insert((true, &b""[..]));
    }
    for record in records {
        match record {
            Record::Accepted(accepted) => kept.extend([(false, accepted.class), (true, accepted.tenant)]),
            Record::Paused { tenant, .. } => {
                kept.insert((true, *tenant));
            }
            Record::Named { tenant, number, name } => {
                let last = &mut last[usize::from(*tenant)];
                *last = (*last).max(Some((*number, *tenant)));
                if configured.contains(&(*tenant, &name[..])) {
                    kept.insert((*tenant, *number));
                }
            }
            _ => {}
        }
    }
    kept.extend(last.into_iter().flatten().map(|(number, tenant)| (tenant, number)));
    kept
}

pub(super) fn named_record(tenant: bool, named: &NumberedName) -> Record {
    Record::Named { tenant, number: named.number, name: named.name.as_bytes().into() }
}

/// Whether the front wants to hear of an end.
pub(super) fn needs_report(accepted: &AcceptedMessage, outcome: FinalOutcome) -> bool {
    match outcome {
        FinalOutcome::Closed => false,
        FinalOutcome::Delivered => accepted.report_delivery,
        FinalOutcome::Undeliverable | FinalOutcome::Deferred(_) => true,
    }
}

/// All that must outlast a compaction. Retired names stay: their numbers are not to be given again.
pub(super) fn snapshot(
    directory: &Directory,
    messages: &BTreeMap<MessageId, HeldMessage>,
    calls: &BTreeMap<CallId, Call>,
    memory: &OutcomeMemory,
    paused: &BTreeSet<u32>,
) -> Vec<Record> {
    let mut records: Vec<Record> =
        directory.classes.iter().map(|(named, _)| named_record(false, named)).collect();
    records.extend(directory.tenants.iter().map(|(named, _)| named_record(true, named)));
    let remembered = memory.iter();
    records.extend(remembered.map(|(owner, (id_scope, id), outcome, at)| Record::Remembered {
        owner: (owner != memory::NO_OWNER).then_some(owner),
        id_scope: *id_scope,
        id: id.clone(),
        at,
        outcome,
    }));
    records.extend(paused.iter().map(|&tenant| Record::Paused { tenant, paused: true }));
    for (&number, message) in messages {
        let out = message.call.and_then(|call| calls.get(&call));
        let attempts = message.attempts - u32::from(out.is_some());
        records.push(Record::Accepted(message.accepted.clone()));
        if message.attempts > 0 {
            records.push(Record::AttemptSummary {
                message: number,
                attempts,
                may_have_run: message.may_have_run,
            });
        }
        if let Some(call) = out {
            records.push(Record::Sent { message: number, at: call.sent_at, endpoint: call.endpoint });
        }
        if let Some((outcome, at)) = message.outcome {
            records.push(Record::Ended { message: number, at, outcome });
        }
    }
    records
}
