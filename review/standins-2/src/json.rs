//! A small JSON reader and writer.

/// JSON value. Objects keep their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        match self.get(name) {
            Some(Self::Number(n)) => Some(*n),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Self::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut reader = Reader { chars, at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.chars.len()).then_some(value)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(b) => write!(f, "{b}"),
            Self::Number(n) => write!(f, "{n}"),
            Self::Text(text) => write!(f, "{}", quote(text)),
            Self::List(items) => {
                let items: Vec<String> = items.iter().map(ToString::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Self::Object(fields) => {
                let fields = fields.iter().map(|(n, v)| format!("{}:{v}", quote(n)));
                write!(f, "{{{}}}", fields.collect::<Vec<_>>().join(","))
            }
        }
    }
}

impl From<f64> for Json {
    fn from(n: f64) -> Self {
        Self::Number(n)
    }
}
impl From<u64> for Json {
    fn from(n: u64) -> Self {
        Self::Number(n as f64)
    }
}
impl From<bool> for Json {
    fn from(b: bool) -> Self {
        Self::Bool(b)
    }
}
impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}
impl From<String> for Json {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}
impl From<Vec<Json>> for Json {
    fn from(items: Vec<Json>) -> Self {
        Self::List(items)
    }
}

/// Builds an object from pairs of name and value.
#[macro_export]
macro_rules! object {
    ($($name:expr => $value:expr),* $(,)?) => {
        $crate::json::Json::Object(vec![$(($name.to_string(), $crate::json::Json::from($value))),*])
    };
}

fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn space(&mut self) {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, c: char) -> Option<()> {
        self.space();
        (self.chars.get(self.at) == Some(&c)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        for c in word.chars() {
            self.take(c)?;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.chars.get(self.at)? {
            '{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take('}').is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(':')?;
                    fields.push((name, self.value()?));
                    if self.take(',').is_none() {
                        self.take('}')?;
                        return Some(Json::Object(fields));
                    }
                }
            }
            '[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(']').is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(',').is_none() {
                        self.take(']')?;
                        return Some(Json::List(items));
                    }
                }
            }
            '"' => self.string().map(Json::Text),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => {
                let first = self.at;
                let is_part = |c: &char| c.is_ascii_digit() || "+-.eE".contains(*c);
                while self.chars.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text: String = self.chars[first..self.at].iter().collect();
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut out = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(out),
                '\\' => {
                    let c = *self.chars.get(self.at)?;
                    self.at += 1;
                    match c {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'b' => out.push('\u{8}'),
                        'f' => out.push('\u{c}'),
                        'u' => {
                            let digits: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&digits, 16).ok()?;
                            out.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                        }
                        c => out.push(c),
                    }
                }
                c => out.push(c),
            }
        }
    }
}
