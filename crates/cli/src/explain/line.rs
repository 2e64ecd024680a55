//! One log line of an instance, as `key=value` pairs.

/// A line that names an event and its time.
#[derive(Debug)]
pub(super) struct Line<'a> {
    /// Seconds since 1970.
    pub(super) time: f64,
    pub(super) event: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Whatever stands before the first pair is passed over: collectors put names and times there. None
    /// where it is no line of an instance.
    pub(super) fn parse(text: &'a str) -> Option<Line<'a>> {
        let mut rest = &text[text.find("time=")?..];
        let mut fields = Vec::new();
        while let Some((key, after)) = rest.split_once('=') {
            let (value, next) = match after.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"')?,
                None => after.split_once(' ').unwrap_or((after, "")),
            };
            fields.push((key.trim_start(), value));
            rest = next;
        }
        let field = |name| fields.iter().find(|(key, _)| *key == name).map(|(_, value)| *value);
        Some(Line { time: field("time")?.parse().ok()?, event: field("event")?, fields })
    }

    pub(super) fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    pub(super) fn number(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse().ok()
    }
}
