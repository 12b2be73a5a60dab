//! The adapter as a process: invalid input ends it with a one-line error, and valid input always gets the
//! same reply, byte for byte.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "contract.answerSlackMs=20.0\ncontract.coldFrom=0.2\ncontract.coldMs=9000.0\n\
contract.drainGraceMs=800.0\ncontract.fallMultiple=2.0\ncontract.overloadForMs=2500.0\ndomain.callsOut=5\n\
policyLimits.maxAttempts=4\npolicyLimits.maxOpen=40\npolicyLimits.cancelling=true\nrequestClasses.count=1\n\
requestClasses.0.effect=retryable\nrequestClasses.0.hardLimitMs=9000.0\nrequestClasses.0.objectiveMs=2000.0\n\
unheard.of=7\nweights=nominal\nsiblings=2\n";

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cedarwharf-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let _ = stdin.write_all(input); // The process may have ended already: some tests check just that.
    drop(stdin);
    child.wait_with_output().unwrap()
}

fn frame(number: u32, now_ms: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut out = number.to_le_bytes().to_vec();
    out.extend(now_ms.to_le_bytes());
    out.extend((20 + body.len() as u32).to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    out.extend(body);
    out
}

fn start_record(instance: u32, seed: u64, info: &str) -> Vec<u8> {
    let mut out = [&1u16.to_le_bytes()[..], &instance.to_le_bytes(), &seed.to_le_bytes()].concat();
    out.extend((info.len() as u32).to_le_bytes());
    out.extend(info.as_bytes());
    out
}

fn list_record() -> Vec<u8> {
    let mut out = [&2u16.to_le_bytes()[..], &0u16.to_le_bytes(), &1u32.to_le_bytes()].concat();
    out.extend([10, 1, 2, 3, 0x5b, 0x1b, 0, 0, 0, 0, 9, 0, 1]);
    out.extend(6.0f32.to_le_bytes());
    out.extend(0.0f64.to_le_bytes());
    out
}

fn list_event(instance: u32) -> Vec<u8> {
    [&10u16.to_le_bytes()[..], &instance.to_le_bytes(), &[2], &1u32.to_le_bytes(), &0u16.to_le_bytes()]
        .concat()
}

fn message_event(instance: u32, id: u32) -> Vec<u8> {
    let mut out = [&8u16.to_le_bytes()[..], &instance.to_le_bytes(), &id.to_le_bytes()].concat();
    out.extend(9.0f32.to_le_bytes());
    out.extend(9_000.0f64.to_le_bytes());
    out.push(0);
    out.extend([0; 8 + 2 + 8 + 2]);
    out
}

fn attempt_ended_event(instance: u32, id: u32, attempt: u16, how: u16, note: u32) -> Vec<u8> {
    let mut out = [&9u16.to_le_bytes()[..], &instance.to_le_bytes(), &id.to_le_bytes()].concat();
    out.extend(attempt.to_le_bytes());
    out.extend([10, 1, 2, 3, 0x5b, 0x1b]);
    out.extend(how.to_le_bytes());
    out.extend(80.0f64.to_le_bytes());
    out.push(u8::from(how == 200));
    out.extend(note.to_le_bytes());
    out.push(0);
    out
}

fn expect_error(input: &[u8], expected: &[&str]) {
    let output = run(input);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(output.stdout.is_empty(), "no partial reply");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    for part in expected {
        assert!(stderr.contains(part), "{part:?} not in {stderr:?}");
    }
}

#[test]
fn empty_batch_is_answered_and_end_of_input_is_not_an_error() {
    let output = run(&frame(1, 15_424.25, &[]));
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout, [1, 0, 0, 0, 0, 0, 0, 0, 12, 0, 0, 0]);
}

#[test]
fn message_is_sent_to_the_listed_endpoint() {
    let output = run(&frame(
        3,
        1_000.0,
        &[start_record(4, 1, SETTINGS), list_record(), list_event(4), message_event(4, 77)],
    ));
    assert!(output.status.success());
    let expected =
        [&7u16.to_le_bytes()[..], &4u32.to_le_bytes(), &77u32.to_le_bytes(), &[10, 1, 2, 3, 0x5b, 0x1b]];
    assert_eq!(output.stdout[4..8], 1u32.to_le_bytes());
    assert_eq!(output.stdout[12..28], expected.concat());
}

#[test]
fn truncated_frame_is_reported() {
    let whole = frame(7, 1_000.0, &[start_record(4, 1, SETTINGS)]);
    expect_error(&whole[..11], &["batch header", "11 of 20"]);
    expect_error(&whole[..60], &["batch 7", "cut short"]);
}

#[test]
fn length_or_count_that_does_not_match_the_frame_is_reported() {
    let mut short = frame(7, 1_000.0, &[]);
    short[12..16].copy_from_slice(&5u32.to_le_bytes());
    expect_error(&short, &["batch 7", "length 5"]);
    let mut more = frame(7, 1_000.0, &[start_record(4, 1, SETTINGS)]);
    more[16..20].copy_from_slice(&2u32.to_le_bytes());
    expect_error(&more, &["batch 7, record 1", "code"]);
    let mut fewer = frame(7, 1_000.0, &[start_record(4, 1, SETTINGS)]);
    fewer[16..20].copy_from_slice(&0u32.to_le_bytes());
    expect_error(&fewer, &["batch 7", "left over"]);
    let mut list = list_record();
    list[4..8].copy_from_slice(&9_999u32.to_le_bytes());
    expect_error(&frame(7, 1_000.0, &[list]), &["membersList", "9999"]);
}

#[test]
fn unknown_event_code_is_reported() {
    expect_error(&frame(2, 0.0, &[vec![99, 0, 1, 0, 0, 0]]), &["batch 2, record 0", "99"]);
}

#[test]
fn event_for_an_instance_that_was_never_started_is_reported() {
    expect_error(&frame(2, 0.0, &[message_event(6, 1)]), &["record 0", "instance 6 was never started"]);
}

#[test]
fn missing_or_unreadable_setting_is_reported() {
    let missing = SETTINGS.replace("contract.coldFrom=0.2\n", "");
    expect_error(&frame(2, 0.0, &[start_record(4, 1, &missing)]), &["contract.coldFrom", "missing"]);
    let odd = SETTINGS.replace("callsOut=5", "callsOut=many");
    expect_error(&frame(2, 0.0, &[start_record(4, 1, &odd)]), &["domain.callsOut", "many"]);
}

#[test]
fn settings_that_are_not_utf8_text_are_reported() {
    let mut bad = start_record(4, 1, SETTINGS);
    let last = bad.len() - 3;
    bad[last] = 0xff;
    expect_error(&frame(2, 0.0, &[bad]), &["batch 2, record 0", "not text"]);
}

#[test]
fn unknown_attempt_outcome_is_reported() {
    let records =
        [start_record(4, 1, SETTINGS), list_record(), list_event(4), attempt_ended_event(4, 77, 0, 799, 0)];
    expect_error(&frame(2, 0.0, &records), &["batch 2, record 3", "unknown outcome 799"]);
}

/// Numbers out of range are accepted: the dispatcher neither fails nor stops sending.
#[test]
fn infinite_and_negative_settings_do_not_stop_sending() {
    for (from, to) in [
        ("coldFrom=0.2", "coldFrom=inf"),
        ("coldFrom=0.2", "coldFrom=-3"),
        ("coldMs=9000.0", "coldMs=-1"),
        ("overloadForMs=2500.0", "overloadForMs=inf"),
        ("fallMultiple=2.0", "fallMultiple=NaN"),
        ("objectiveMs=2000.0", "objectiveMs=inf"),
        ("siblings=2", "siblings=0"),
        ("siblings=2", "realms.count=1\nrealms.0.quotaPerS=-1\nsiblings=2"),
    ] {
        let odd = SETTINGS.replace(from, to);
        let first = frame(
            3,
            1_000.0,
            &[start_record(4, 1, &odd), list_record(), list_event(4), message_event(4, 77)],
        );
        let lost = frame(4, 1_200.0, &[attempt_ended_event(4, 77, 0, 521, 0), message_event(4, 78)]);
        let output = run(&[first, lost].concat());
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.success() && stderr.is_empty(), "{to}: {stderr}");
        assert_eq!(actions(&output.stdout)[0].2[..2], 7u16.to_le_bytes(), "{to}: the message is sent");
    }
}

/// A start record for a live instance replaces it with a new one that holds no messages.
#[test]
fn repeated_start_record_replaces_the_instance() {
    let first = frame(
        3,
        1_000.0,
        &[start_record(4, 1, SETTINGS), list_record(), list_event(4), message_event(4, 77)],
    );
    let again = frame(
        4,
        1_100.0,
        &[
            start_record(4, 2, SETTINGS),
            list_event(4),
            attempt_ended_event(4, 77, 0, 429, 0),
            message_event(4, 78),
        ],
    );
    let output = run(&[first, again].concat());
    assert!(output.status.success() && output.stderr.is_empty());
    let sent: Vec<Vec<u8>> = actions(&output.stdout).into_iter().map(|(_, _, record)| record).collect();
    let sends_of = |id: u32| {
        sent.iter().filter(|r| r[..2] == 7u16.to_le_bytes() && r[6..10] == id.to_le_bytes()).count()
    };
    assert_eq!((sends_of(77), sends_of(78)), (1, 1));
}

#[test]
fn instances_in_one_process_act_as_instances_in_separate_processes() {
    let script = |instances: &[u32]| {
        let mut input = Vec::new();
        for step in 0..60u32 {
            let mut records = Vec::new();
            if step == 0 {
                records.push(list_record());
            }
            for &instance in instances {
                if step == 0 || (step == 30 && instance == 2) {
                    records.extend(
                        (step == 30).then(|| [&4u16.to_le_bytes()[..], &instance.to_le_bytes()].concat()),
                    );
                    records.push(start_record(instance, u64::from(instance) * 7 + 1, SETTINGS));
                    records.push(list_event(instance));
                }
                records.push(message_event(instance, step * 10 + instance));
                if step % 3 == 1 {
                    let how = [200, 429, 408, 521][(step / 3 % 4) as usize];
                    records.push(attempt_ended_event(
                        instance,
                        (step - 1) * 10 + instance,
                        0,
                        how,
                        (step % 2) * 300,
                    ));
                }
            }
            input.extend(frame(step, f64::from(step) * 50.0, &records));
        }
        actions(&run(&input).stdout)
    };
    let mut separate: Vec<(u32, u32, Vec<u8>)> =
        [1, 2, 3].iter().flat_map(|&instance| script(&[instance])).collect();
    separate.sort_by_key(|(batch, instance, _)| (*batch, *instance));
    let together = script(&[1, 2, 3]);
    assert!(together.len() > 60, "{} actions", together.len());
    assert_eq!(together, separate);
}

/// All actions of a reply stream as batch, instance and bytes, in the order written.
fn actions(mut replies: &[u8]) -> Vec<(u32, u32, Vec<u8>)> {
    let u32_at = |bytes: &[u8], at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
    let mut all = Vec::new();
    while !replies.is_empty() {
        let (reply, rest) = replies.split_at(u32_at(replies, 8) as usize);
        replies = rest;
        let (batch, mut records) = (u32_at(reply, 0), &reply[12..]);
        while !records.is_empty() {
            let length = match records[0] {
                5 => 10,
                6 => 12,
                4 => 12,
                7 => 24,
                8 => 22,
                9 => 18,
                10 => 8 + u16::from_le_bytes([records[6], records[7]]) as usize,
                other => panic!("action {other}"),
            };
            let (record, after) = records.split_at(length);
            all.push((batch, u32_at(record, 2), record.to_vec()));
            records = after;
        }
    }
    all
}
