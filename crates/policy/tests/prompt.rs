//! Hashes of prompts.

use policy::prompt::{PromptHasher, estimate_tokens};
use quickcheck::quickcheck;

quickcheck! {
    fn splitting_the_text_makes_no_difference(text: Vec<u8>, repeat: u8, cuts: Vec<u16>) -> bool {
        let text = text.repeat(usize::from(repeat) + 1);
        let mut whole = PromptHasher::new();
        whole.update(&text);
        let mut pieces = PromptHasher::new();
        let mut rest = &text[..];
        for cut in cuts {
            let (piece, after) = rest.split_at(usize::from(cut).min(rest.len()));
            pieces.update(piece);
            rest = after;
        }
        pieces.update(rest);
        let whole = whole.finish();
        whole.block_hashes.len() == text.len() / 1024
            && whole.tokens == estimate_tokens(text.len())
            && whole == pieces.finish()
    }

    fn equal_prefixes_have_equal_hashes(head: u8, a: Vec<u8>, b: Vec<u8>) -> bool {
        let head = vec![head; 4096];
        let hash = |tail: &[u8]| {
            let mut hasher = PromptHasher::new();
            hasher.update(&head);
            hasher.update(tail);
            hasher.finish()
        };
        let (x, y) = (hash(&a), hash(&b));
        x.block_hashes[..4] == y.block_hashes[..4] && (a == b || x.fingerprint != y.fingerprint)
    }
}
