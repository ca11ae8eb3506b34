//! Header fields in the order in which they came.

/// Names that concern one connection only and are never passed on.
const CONNECTION_NAMES: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header fields of one message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(Box<str>, Box<[u8]>)>,
}

impl Headers {
    /// First value of a field, compared without case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut fields = self.iter().filter(|(field, _)| field.eq_ignore_ascii_case(name));
        fields.next().map(|(_, value)| value)
    }

    /// First value as text; `None` when it is missing or no UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// All values of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter().filter(move |(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| (&**name, &**value))
    }

    pub fn push(&mut self, name: &str, value: &[u8]) {
        self.fields.push((name.into(), value.into()));
    }

    /// Replaces all values of a field by one.
    pub fn set(&mut self, name: &str, value: &[u8]) {
        self.remove(name);
        self.push(name, value);
    }

    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(field, _)| !field.eq_ignore_ascii_case(name));
    }

    /// Removes the fields that concern one connection: the known ones and those that `Connection` names.
    pub fn remove_connection_fields(&mut self) {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(|&byte| byte == b','))
            .map(|name| String::from_utf8_lossy(name).trim().to_ascii_lowercase())
            .collect();
        self.fields.retain(|(field, _)| {
            let field = field.to_ascii_lowercase();
            !CONNECTION_NAMES.contains(&field.as_str()) && !named.contains(&field)
        });
    }

    /// Whether a comma-separated field holds `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|value| value.split(|&byte| byte == b',')).any(|part| {
            std::str::from_utf8(part).is_ok_and(|part| part.trim().eq_ignore_ascii_case(token))
        })
    }
}
