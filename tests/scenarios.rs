//! Runs each script in `scenarios/` against the real program and compares the transcript with its snapshot.
//! `support/mod.rs` describes the language of the scripts. Scripts and snapshots are found by the names of
//! the tests.

mod support;

macro_rules! scenarios {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            let name = stringify!($name);
            let scenario = include_str!(concat!("scenarios/", stringify!($name), ".txt"));
            insta::assert_snapshot!(name, support::play(name, scenario));
        }
    )*};
}

scenarios! {
    malformed_input_is_answered_with_the_right_status
    one_message_is_taken_on_and_delivered
    a_told_wait_holds_back_the_next_message
    a_payment_that_may_have_run_is_not_sent_again
    a_payment_turned_away_goes_out_again
    a_repeated_id_is_answered_and_not_redone
    a_killed_node_ends_a_payment_that_was_out
    a_killed_node_goes_on_with_what_was_held
    notices_are_owed_until_their_204
    a_watch_goes_on_at_once_and_a_draining_server_gets_nothing
    a_wait_inside_a_batch_binds
    a_told_stop_lets_a_call_finish
    a_reload_takes_over_discovery_and_keeps_what_is_held
    a_spoilt_answer_ends_its_call_and_its_connection
    bad_clients_cost_the_usual_ones_nothing
    a_damaged_journal_does_not_keep_the_node_down
    amqp_a_publish_is_acked_delivered_and_answered
    amqp_a_channel_closed_after_taking_a_payment_ends_it
    amqp_a_late_confirm_changes_no_answer
    amqp_protocol_errors_get_their_reply_codes
    the_administration_shows_each_token_its_own
    a_broker_that_goes_while_a_payment_is_out_ends_it_once
    dns_sd_lists_a_server_and_a_failed_lookup_keeps_it
    dns_sd_a_service_without_instances_lists_none
    discovery_that_is_too_busy_is_asked_again_for_changes_only
    discovery_that_breaks_off_leaves_the_list_and_a_drain_binds
    staff_are_answered_beside_callers_that_hold_on
    figures_tell_each_end_once
    a_drain_sends_clients_away_and_back_to_work
    an_upgrade_is_seen_by_nobody
    a_drain_goes_on_in_the_process_that_follows
    a_drain_during_a_stop_and_a_stop_during_a_drain
}
