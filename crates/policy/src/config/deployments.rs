//! Reads and checks the `deployments` section: groups, models, weights, limits and routes.

use indexmap::IndexMap;

use super::{
    DeploymentRules, EndpointKind, Limits, RouteRules, ServeRules, Weights,
    fields::Fields,
    finding::Findings,
    load::read_section,
    names::NameIndex,
    tree::{Node, Value},
};
use crate::{Deployment, EndpointGroup, Model, Tokens};

/// Maximum deadline that may be configured, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum queue length that may be configured. A waiting request takes a few kilobytes, so that
/// a longer queue wouldn't fit into a small instance's memory.
const MAX_WAITING_REQUESTS: u64 = 1_000_000;
/// Maximum weight. Only the ratio of the weights matters, and a ratio above 1000 amounts to
/// ignoring one of them, which weight 0 expresses.
const MAX_WEIGHT: f64 = 1_000.0;
/// Maximum output that may be configured, as large as the largest prompts.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;
/// Maximum length of a route's path.
const MAX_PATH_BYTES: usize = 1_024;

/// Reads all deployments; faulty ones are reported and left out.
pub(super) fn read_deployments(
    node: Option<&Node>,
    names: &NameIndex<'_>,
    findings: &mut Findings,
) -> IndexMap<Deployment, DeploymentRules> {
    read_section(node, "deployments", findings, |node, path, findings| {
        read_deployment(node, path, names, findings)
    })
}

fn read_deployment(
    node: &Node,
    path: &str,
    names: &NameIndex<'_>,
    findings: &mut Findings,
) -> Option<DeploymentRules> {
    let mut fields = Fields::open(node, path, findings)?;
    let group = fields.required::<EndpointGroup>("group", "an endpoint group's name", findings);
    let kind = fields.required("kind", "\"engine\" or \"service\"", findings);
    let models = fields.optional::<Vec<Model>>("models", "a list of models' names", findings);
    let weights = fields.node("weights");
    let weights = weights.and_then(|node| read_weights(node, &fields.path("weights"), findings));
    let limits = fields.node("limits");
    let limits = limits.and_then(|node| read_limits(node, &fields.path("limits"), findings));
    let limits = limits.unwrap_or_default();
    let routes = fields.node("routes");
    let routes = read_routes(routes, &fields.path("routes"), &limits, findings);
    let policy = fields.optional("policy", "a scheduler's name", findings).unwrap_or_default();
    let serve = fields.optional("serve", "a model and a version to load", findings);
    check_model_to_load(&fields, serve.as_ref(), kind, findings);
    check_group(&fields, group.as_ref(), kind, names, findings);
    check_models(&fields, models.as_deref().unwrap_or_default(), kind, names, findings);
    fields.close(findings);
    Some(DeploymentRules {
        group: group?,
        kind: kind?,
        models: models.unwrap_or_default(),
        weights: weights.unwrap_or_default(),
        limits,
        routes,
        policy,
        serve,
    })
}

fn check_group(
    fields: &Fields<'_>,
    group: Option<&EndpointGroup>,
    kind: Option<EndpointKind>,
    names: &NameIndex<'_>,
    findings: &mut Findings,
) {
    let Some(group) = group else { return };
    let location = fields.location_of("group");
    let path = fields.path("group");
    if !names.has_endpoints_in(group.as_str()) {
        findings.push(location, &path, format!("no endpoint serves in the group {group}"));
    }
    if names.count_group_uses(group.as_str()) > 1 {
        let message = format!(
            "another deployment has the group {group} too; each would fill the endpoints as if \
             the other weren't there"
        );
        findings.push(location, &path, message);
    }
    if kind == Some(EndpointKind::Service) && group.as_str().contains('/') {
        let message = "expected a name without `/`, because it is one segment of callers' paths";
        findings.push(location, &path, message);
    }
}

/// Roles that engines accept.
const ENGINE_ROLES: [&str; 3] = ["mixed", "prefill", "decode"];

fn check_model_to_load(
    fields: &Fields<'_>,
    serve: Option<&ServeRules>,
    kind: Option<EndpointKind>,
    findings: &mut Findings,
) {
    let Some(serve) = serve else { return };
    let (location, path) = (fields.location_of("serve"), fields.path("serve"));
    if kind == Some(EndpointKind::Service) {
        findings.push(location, &path, "expected nothing to load for a plain service");
    }
    if !ENGINE_ROLES.contains(&serve.role.as_str()) {
        let message = format!("expected the role mixed, prefill or decode, found {}", serve.role);
        findings.push(location, &path, message);
    }
    // Model and version become path segments of the weight store's URLs.
    let is_segment = |text: &str| {
        !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b))
    };
    if !is_segment(&serve.model) || !is_segment(&serve.version) {
        let message = "expected model and version of letters, digits, `.`, `_` and `-`";
        findings.push(location, &path, message);
    }
}

fn check_models(
    fields: &Fields<'_>,
    models: &[Model],
    kind: Option<EndpointKind>,
    names: &NameIndex<'_>,
    findings: &mut Findings,
) {
    let location = fields.location_of("models");
    let path = fields.path("models");
    match kind {
        Some(EndpointKind::Engine) if models.is_empty() => {
            findings.push(location, &path, "expected at least one model for engines");
        }
        Some(EndpointKind::Service) if !models.is_empty() => {
            findings.push(location, &path, "expected no models for a plain service");
        }
        _ => {}
    }
    for model in models {
        if names.count_model_uses(model.as_str()) > 1 {
            let message = format!("the model {model} is listed more than once");
            findings.push(location, &path, message);
        }
    }
}

fn read_weights(node: &Node, path: &str, findings: &mut Findings) -> Option<Weights> {
    let defaults = Weights::default();
    let mut fields = Fields::open(node, path, findings)?;
    let range = 0.0..=MAX_WEIGHT;
    let weights = Weights {
        long_first_token: fields.number(
            "long_first_token",
            range.clone(),
            defaults.long_first_token,
            findings,
        ),
        short_slowdown: fields.number("short_slowdown", range, defaults.short_slowdown, findings),
    };
    fields.close(findings);
    if weights.long_first_token == 0.0 && weights.short_slowdown == 0.0 {
        let message = "expected at least one weight above 0, or every placement costs the same";
        findings.push(Some(&node.location), path, message);
    }
    Some(weights)
}

fn read_limits(node: &Node, path: &str, findings: &mut Findings) -> Option<Limits> {
    let defaults = Limits::default();
    let mut fields = Fields::open(node, path, findings)?;
    let deadline = 1..=MAX_DEADLINE_MS;
    let limits = Limits {
        default_deadline_ms: fields.whole(
            "default_deadline_ms",
            deadline.clone(),
            defaults.default_deadline_ms,
            findings,
        ),
        max_deadline_ms: fields.whole(
            "max_deadline_ms",
            deadline,
            defaults.max_deadline_ms,
            findings,
        ),
        waiting: usize::try_from(fields.whole(
            "waiting",
            1..=MAX_WAITING_REQUESTS,
            defaults.waiting as u64,
            findings,
        ))
        .unwrap_or(defaults.waiting),
        default_output: Tokens(fields.whole(
            "default_output",
            1..=MAX_OUTPUT_TOKENS,
            defaults.default_output.0,
            findings,
        )),
        retry_share: fields.number("retry_share", 0.0..=1.0, defaults.retry_share, findings),
    };
    if limits.default_deadline_ms > limits.max_deadline_ms {
        let message = format!(
            "the default deadline of {} ms is later than max_deadline_ms, which is {} ms",
            limits.default_deadline_ms, limits.max_deadline_ms
        );
        let location = fields.location_of("default_deadline_ms");
        findings.push(location, &fields.path("default_deadline_ms"), message);
    }
    fields.close(findings);
    Some(limits)
}

fn read_routes(
    node: Option<&Node>,
    path: &str,
    limits: &Limits,
    findings: &mut Findings,
) -> Vec<RouteRules> {
    let Some(node) = node else { return Vec::new() };
    let Value::Array(items) = &node.value else {
        let message = format!("expected a list of routes, found {}", node.kind());
        findings.push(Some(&node.location), path, message);
        return Vec::new();
    };
    let mut routes: Vec<RouteRules> = Vec::new();
    for (i, item) in items.iter().enumerate() {
        let path = format!("{path}[{i}]");
        let Some(route) = read_route(item, &path, limits, findings) else { continue };
        let has_same_path = |other: &RouteRules| {
            other.path.trim_end_matches('/') == route.path.trim_end_matches('/')
        };
        if routes.iter().any(has_same_path) {
            let message = format!("another route has the path {} too", route.path);
            findings.push(Some(&item.location), &path, message);
        }
        routes.push(route);
    }
    routes
}

fn read_route(
    node: &Node,
    path: &str,
    limits: &Limits,
    findings: &mut Findings,
) -> Option<RouteRules> {
    let mut fields = Fields::open(node, path, findings)?;
    let route_path = fields.required::<String>("path", "a path as \"/registrations\"", findings);
    let repeatable = fields.flag("repeatable", true, findings);
    let timeout_ms = fields.optional_whole("timeout_ms", 1..=MAX_DEADLINE_MS, findings);
    let deduplicates = fields.flag("deduplicates", false, findings);
    if timeout_ms.is_some_and(|timeout| timeout > limits.max_deadline_ms) {
        let message =
            format!("expected at most limits.max_deadline_ms, {}", limits.max_deadline_ms);
        findings.push(fields.location_of("timeout_ms"), &fields.path("timeout_ms"), message);
    }
    if repeatable && deduplicates {
        let message = "deduplicates has a meaning only with \"repeatable\": false";
        findings.push(fields.location_of("deduplicates"), &fields.path("deduplicates"), message);
    }
    if let Some(message) = route_path.as_deref().and_then(path_error) {
        findings.push(fields.location_of("path"), &fields.path("path"), message);
    }
    fields.close(findings);
    Some(RouteRules { path: route_path?, repeatable, timeout_ms, deduplicates })
}

/// The error in a route's path, if any. A path that no request can match would leave calls that
/// must run at most once without their rule.
fn path_error(path: &str) -> Option<&'static str> {
    if !path.starts_with('/') {
        return Some("expected a path that starts with `/`");
    }
    if path.len() > MAX_PATH_BYTES {
        return Some("expected a path of at most 1024 bytes");
    }
    if path.contains("//") || path.split('/').any(|segment| segment == "." || segment == "..") {
        return Some("expected a path without empty, `.` and `..` segments");
    }
    if path.contains(|c: char| c.is_control() || c.is_whitespace() || "?#%".contains(c)) {
        return Some("expected a path without spaces, `?`, `#` and `%`");
    }
    None
}
