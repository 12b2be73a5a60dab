use super::*;

#[test]
fn request_arguments_are_written_as_the_json_body_of_the_request() {
    let args = RequestArgs {
        set: "f1, f2".into(),
        at_most: 2,
        in_service: None,
        window: 600.0,
        deadline: Some(3_600.0),
        id: None,
    };
    let text = r#"{"set":["f1","f2"],"at_most":2,"window_s":600.0,"deadline_s":3600.0}"#;
    assert_eq!(request_body(&args), text);
}

#[test]
fn status_text_lists_plans_with_waiting_and_out_of_service_forwarders() {
    let body = serde_json::json!({
        "version": 7, "heard_s": 0.2, "voters": ["f0", "f1", "f2"],
        "mine": { "stage": "out", "fence": 6, "left_s": 12.5 },
        "rounds": [{ "id": "kernel", "standing": "open", "at_most": 1, "window_s": 60.0,
            "waiting": ["f2"], "out": ["f0"], "back": ["f1"], "written_off": [] }],
    });
    let text = status_text(&body);
    assert!(
        text.contains("kernel open: at most 1 out")
            && text.contains("this forwarder is out, lease 6, 12.5 s left")
    );
    assert!(text.contains("waiting: f2\n  out: f0\n  back: f1\n  written off: none"), "{text}");
    assert!(status_text(&serde_json::json!({})).contains("no maintenance plans"));
}
