//! Loading of a folder: it yields a configuration or the findings with their locations.

use policy::config::{Config, Finding, SourceFile, load};
use quickcheck::quickcheck;

const SITE: &str = r#"{
  "data_centres": {"a": {"region": "r", "distance_ms": {"b": 1.1}}, "b": {"region": "r"}},
  "workspaces": {"desk": {"key_sha256": ["KEY1"], "weight": 2}},
  "endpoints": {
    "e1": {"group": "engines", "address": "10.0.0.1:8000", "data_centre": "a"},
    "s1": {"group": "register", "address": "10.0.0.2:8000", "data_centre": "b"}
  },
  "deployments": {
    "letters": {"group": "engines", "kind": "engine", "models": ["m"]},
    "register": {"group": "register", "kind": "service", "routes": [
      {"path": "/entries", "repeatable": false, "timeout_ms": 5000},
      {"path": "/status"}
    ]}
  }
}"#;

fn site() -> String {
    SITE.replace("KEY1", &"1".repeat(64))
}

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile { name: name.to_owned(), text: text.to_owned() }
}

fn findings(files: &[SourceFile]) -> Vec<Finding> {
    load(files).err().map(|findings| findings.iter().cloned().collect()).unwrap_or_default()
}

/// Loads the site with `overlay` merged over it as a second file.
fn with(overlay: &str) -> Result<Config, Vec<Finding>> {
    let files = [file("10.json", &site()), file("20.json", overlay)];
    load(&files).map(|loaded| loaded.config).map_err(|_| findings(&files))
}

#[test]
fn later_files_add_members_and_replace_values() {
    let overlay = r#"{"workspaces": {"desk": {"weight": 3, "concurrent": 5}}}"#;
    let config = with(overlay).unwrap();
    let desk = &config.workspaces[0];
    assert_eq!((desk.weight, desk.concurrent, desk.key_sha256.len()), (3, Some(5), 1));
}

#[test]
fn arrays_are_replaced_as_a_whole() {
    let config = with(r#"{"deployments": {"register": {"routes": [{"path": "/x"}]}}}"#).unwrap();
    assert_eq!(config.deployments[1].routes.len(), 1);
}

#[test]
fn files_merge_in_name_order_and_not_in_the_order_given() {
    let later = file("20.json", r#"{"workspaces": {"desk": {"weight": 7}}}"#);
    let loaded = load(&[later, file("10.json", &site())]).unwrap();
    assert_eq!(loaded.config.workspaces[0].weight, 7);
}

#[test]
fn all_findings_come_at_once_with_their_places() {
    let overlay = "{\n  \"x\": 1,\n  \"workspaces\": {\"desk\": {\"weight\": 0}},\n  \
                   \"endpoints\": {\"e1\": {\"data_centre\": \"é\"}}\n}";
    let found = with(overlay).unwrap_err();
    let places: Vec<_> = found.iter().map(|f| f.location.as_ref().unwrap().to_string()).collect();
    assert_eq!(places, ["20.json:2:3", "20.json:3:27", "20.json:4:24", "20.json:4:24"]);
    assert_eq!(found[1].path, "workspaces.desk.weight");
}

/// Each case: the file merged over the site, then the path of the expected finding and a part of
/// its message.
macro_rules! found {
    ($($case:ident: $overlay:expr => $path:expr, $message:expr;)*) => {$(
        #[test]
        fn $case() {
            let found = with($overlay).unwrap_err();
            assert!(
                found.iter().any(|f| f.path == $path && f.message.contains($message)),
                "{found:?}"
            );
        }
    )*};
}

found! {
    unknown_member: r#"{"endpoints": {"e1": {"grup": "x"}}}"# => "endpoints.e1.grup", "unknown member";
    member_given_twice: r#"{"ledger": {"streams": 1, "streams": 2}}"# => "ledger.streams", "stands twice";
    comment: "{} // no" => "", "Comments are not allowed";
    trailing_comma: r#"{"ledger": {"streams": 1,}}"# => "", "Trailing commas";
    single_quotes: "{'ledger': {}}" => "", "double quotes";
    not_an_object: "[]" => "", "one JSON object";
    bad_id: r#"{"workspaces": {"a b": {"key_sha256": []}}}"# => "workspaces.a b", "expected a name";
    key_hash: r#"{"workspaces": {"desk": {"key_sha256": ["secret"]}}}"# => "workspaces.desk.key_sha256[0]", "SHA-256";
    no_key: r#"{"workspaces": {"desk": {"key_sha256": []}}}"# => "workspaces.desk.key_sha256", "at least one key";
    key_of_two: r#"{"workspaces": {"other": {"key_sha256": ["1111111111111111111111111111111111111111111111111111111111111111"]}}}"# => "workspaces.other.key_sha256[0]", "given twice";
    weight_too_small: r#"{"workspaces": {"desk": {"weight": 0}}}"# => "workspaces.desk.weight", "from 1 to 1000";
    weight_too_large: r#"{"workspaces": {"desk": {"weight": 1001}}}"# => "workspaces.desk.weight", "from 1 to 1000";
    wrong_type: r#"{"workspaces": {"desk": {"weight": "3"}}}"# => "workspaces.desk.weight", "a whole number";
    number_beyond_all_bounds: r#"{"workspaces": {"desk": {"weight": 1e999}}}"# => "workspaces.desk.weight", "";
    unknown_group: r#"{"endpoints": {"e1": {"group": "nobody"}}}"# => "endpoints.e1.group", "no deployment has the group nobody";
    group_without_endpoints: r#"{"endpoints": {"e1": {"group": "register"}}}"# => "deployments.letters.group", "no endpoint serves";
    unknown_data_centre: r#"{"endpoints": {"e1": {"data_centre": "z"}}}"# => "endpoints.e1.data_centre", "has no z";
    distance_to_nowhere: r#"{"data_centres": {"a": {"distance_ms": {"z": 1}}}}"# => "data_centres.a.distance_ms.z", "has no z";
    negative_distance: r#"{"data_centres": {"a": {"distance_ms": {"b": -1}}}}"# => "data_centres.a.distance_ms.b", "from 0";
    same_address: r#"{"endpoints": {"s1": {"address": "10.0.0.1:8000"}}}"# => "endpoints.s1.address", "another endpoint";
    port_zero: r#"{"endpoints": {"s1": {"address": "10.0.0.1:0"}}}"# => "endpoints.s1.address", "nobody can connect";
    same_model: r#"{"deployments": {"register": {"kind": "engine", "models": ["m"]}}}"# => "deployments.letters.models", "more than once";
    same_group: r#"{"deployments": {"register": {"group": "engines"}}}"# => "deployments.letters.group", "another deployment";
    engine_without_model: r#"{"deployments": {"letters": {"models": []}}}"# => "deployments.letters.models", "at least one model";
    service_with_model: r#"{"deployments": {"register": {"models": ["x"]}}}"# => "deployments.register.models", "no models";
    weights_both_zero: r#"{"deployments": {"letters": {"weights": {"long_first_token": 0, "short_slowdown": 0}}}}"# => "deployments.letters.weights", "above 0";
    negative_weight: r#"{"deployments": {"letters": {"weights": {"short_slowdown": -1}}}}"# => "deployments.letters.weights.short_slowdown", "from 0";
    limits_contradict: r#"{"deployments": {"letters": {"limits": {"default_deadline_ms": 10, "max_deadline_ms": 5}}}}"# => "deployments.letters.limits.default_deadline_ms", "later than";
    retry_share: r#"{"deployments": {"letters": {"limits": {"retry_share": 1.5}}}}"# => "deployments.letters.limits.retry_share", "from 0 to 1";
    route_without_slash: r#"{"deployments": {"register": {"routes": [{"path": "x"}]}}}"# => "deployments.register.routes[0].path", "starts with";
    route_with_dots: r#"{"deployments": {"register": {"routes": [{"path": "/a/../b"}]}}}"# => "deployments.register.routes[0].path", "segments";
    routes_overlap: r#"{"deployments": {"register": {"routes": [{"path": "/x"}, {"path": "/x/"}]}}}"# => "deployments.register.routes[1]", "another route";
    route_timeout: r#"{"deployments": {"register": {"routes": [{"path": "/x", "timeout_ms": 700000}]}}}"# => "deployments.register.routes[0].timeout_ms", "at most";
    deduplicates_repeatable: r#"{"deployments": {"register": {"routes": [{"path": "/x", "deduplicates": true}]}}}"# => "deployments.register.routes[0].deduplicates", "only with";
    no_streams: r#"{"ledger": {"streams": 0}}"# => "ledger.streams", "from 1";
}

#[test]
fn deep_nesting_is_a_finding_and_no_overflow() {
    let text = "[".repeat(2_000_000);
    let found = findings(&[file("10.json", &text)]);
    assert!(found[0].message.contains("nest deeper"), "{found:?}");
}

#[test]
fn findings_are_bounded() {
    let members: Vec<_> = (0..2_000).map(|i| format!("\"m{i}\": 1")).collect();
    let files = [file("10.json", &format!("{{{}}}", members.join(",")))];
    let found = load(&files).unwrap_err();
    assert_eq!((found.iter().count(), found.count()), (500, 2_000));
}

quickcheck! {
    fn any_text_gives_findings_or_a_configuration(texts: Vec<String>) -> bool {
        let files: Vec<_> =
            texts.iter().enumerate().map(|(i, text)| file(&i.to_string(), text)).collect();
        load(&files).is_ok() || !findings(&files).is_empty()
    }

    /// Random text is rarely close to JSON, so this test replaces one range of a valid site's text.
    fn a_damaged_site_gives_findings_or_a_configuration(at: usize, len: u8, put: String) -> bool {
        let mut text: Vec<char> = site().chars().collect();
        let at = at % text.len();
        let end = (at + usize::from(len % 24)).min(text.len());
        text.splice(at..end, put.chars());
        let files = [file("10.json", &text.into_iter().collect::<String>())];
        load(&files).is_ok() || !findings(&files).is_empty()
    }
}
