//! Journal records of the engine's state: the records of a snapshot, and the names that are kept at a start.
//! This module writes nothing itself.

use super::*;

/// The names that are kept at a start, as (is a tenant, number): those of the configuration, those that
/// messages and outcomes that clients may still repeat refer to, and of each kind the one with the highest
/// number, so that no number is assigned again. All others are dropped; this is the only place where names are
/// dropped.
pub(super) fn names_to_keep(records: &[Record], core: &Core, now: Micros) -> BTreeSet<(bool, u32)> {
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
            Record::Remembered { owner: Some(owner), at, protected_until, .. } => {
                let expires_at = at.plus(memory::RETENTION).max(protected_until.unwrap_or_default());
                if expires_at > now {
                    kept.insert((true, *owner));
                }
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

/// Whether the front is owed a report of this outcome.
pub(super) fn needs_report(accepted: &AcceptedMessage, outcome: FinalOutcome) -> bool {
    match outcome {
        FinalOutcome::Closed => false,
        FinalOutcome::Delivered => accepted.report_delivery,
        FinalOutcome::Undeliverable | FinalOutcome::Deferred(_) => true,
    }
}

/// All records that a compaction keeps. Retired names stay, so that their numbers are not assigned again.
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
    records.extend(remembered.map(|(owner, (id_scope, id), ended)| Record::Remembered {
        owner: (owner != memory::NO_OWNER).then_some(owner),
        id_scope: *id_scope,
        id: id.clone(),
        at: ended.at,
        outcome: ended.outcome,
        protected_until: Some(ended.protected_until),
        history: ended.history,
    }));
    records.extend(paused.iter().map(|&tenant| Record::Paused { tenant, paused: true }));
    for (&number, message) in messages {
        let out = message.call.and_then(|call| calls.get(&call));
        let attempts = message.attempts - u32::from(out.is_some());
        records.push(Record::Accepted(message.accepted.clone()));
        if message.attempts > 0 || message.may_have_run.is_some() {
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
