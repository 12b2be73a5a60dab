use super::super::register::{Ballot, Message};
use super::*;

#[test]
fn stored_vote_is_decoded_and_a_corrupted_file_is_an_error() {
    let mut acceptor = Acceptor::default();
    acceptor.handle(&Message::Prepare(Ballot { round: 7, name: "a".into(), generation: 9 }));
    let file = encode(5, &acceptor);
    assert_eq!(decode(&file, 5), Ok(Some(acceptor)));
    assert_eq!(decode(&file, 6), Ok(None), "other voters");
    for cut in 0..file.len() {
        assert!(decode(&file[..cut], 5).is_err(), "cut at {cut}");
    }
    for at in 0..file.len() {
        let mut corrupted = file.clone();
        corrupted[at] ^= 0x04;
        assert!(!matches!(decode(&corrupted, 5), Ok(Some(_))), "byte {at}");
    }
}
