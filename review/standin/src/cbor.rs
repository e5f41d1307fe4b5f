//! CBOR values: what the protocol needs of RFC 8949, without tags and byte strings.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        const NULL: &Value = &Value::Null;
        match self {
            Value::Map(entries) => entries.iter().find(|(name, _)| name == key).map_or(NULL, |(_, value)| value),
            _ => NULL,
        }
    }
    pub fn text(&self) -> &str {
        if let Value::Text(text) = self { text } else { "" }
    }
    pub fn int(&self) -> u64 {
        match self {
            Value::Int(int) => *int as u64,
            Value::Float(float) => *float as u64,
            _ => 0,
        }
    }
    pub fn num(&self) -> f64 {
        match self {
            Value::Int(int) => *int as f64,
            Value::Float(float) => *float,
            _ => 0.0,
        }
    }
    pub fn list(&self) -> &[Value] {
        if let Value::List(items) = self { items } else { &[] }
    }
    pub fn is_null(&self) -> bool {
        *self == Value::Null
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::Text(text.into())
    }
}
impl From<String> for Value {
    fn from(text: String) -> Value {
        Value::Text(text)
    }
}
impl From<u64> for Value {
    fn from(int: u64) -> Value {
        Value::Int(int.into())
    }
}
impl From<f64> for Value {
    fn from(float: f64) -> Value {
        Value::Float(float)
    }
}
impl From<bool> for Value {
    fn from(bool: bool) -> Value {
        Value::Bool(bool)
    }
}
impl From<Vec<Value>> for Value {
    fn from(items: Vec<Value>) -> Value {
        Value::List(items)
    }
}
impl<T: Into<Value>> From<Option<T>> for Value {
    fn from(value: Option<T>) -> Value {
        value.map_or(Value::Null, Into::into)
    }
}

/// A map from pairs of a key and anything that becomes a value.
#[macro_export]
macro_rules! map {
    ($($key:expr => $value:expr),* $(,)?) => {
        $crate::cbor::Value::Map(vec![$(($key.to_string(), $crate::cbor::Value::from($value))),*])
    };
}

fn head(out: &mut Vec<u8>, major: u8, n: u64) {
    let major = major << 5;
    match n {
        0..=23 => out.push(major | n as u8),
        24..=0xff => out.extend([major | 24, n as u8]),
        0x100..=0xffff => {
            out.push(major | 25);
            out.extend((n as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(major | 26);
            out.extend((n as u32).to_be_bytes());
        }
        _ => {
            out.push(major | 27);
            out.extend(n.to_be_bytes());
        }
    }
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out, value);
    out
}

fn write(out: &mut Vec<u8>, value: &Value) {
    match value {
        Value::Null => out.push(0xf6),
        Value::Bool(bool) => out.push(if *bool { 0xf5 } else { 0xf4 }),
        Value::Int(int) if *int >= 0 => head(out, 0, *int as u64),
        Value::Int(int) => head(out, 1, (-1 - *int) as u64),
        Value::Float(float) => {
            out.push(0xfb);
            out.extend(float.to_be_bytes());
        }
        Value::Text(text) => {
            head(out, 3, text.len() as u64);
            out.extend(text.as_bytes());
        }
        Value::List(items) => {
            head(out, 4, items.len() as u64);
            items.iter().for_each(|item| write(out, item));
        }
        Value::Map(entries) => {
            head(out, 5, entries.len() as u64);
            for (key, value) in entries {
                head(out, 3, key.len() as u64);
                out.extend(key.as_bytes());
                write(out, value);
            }
        }
    }
}

pub fn decode(bytes: &[u8]) -> Option<Value> {
    let mut at = 0;
    read(bytes, &mut at)
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..at.checked_add(n)?)?;
    *at += n;
    Some(part)
}

fn uint(bytes: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    Some(take(bytes, at, n)?.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
}

fn half(bits: u16) -> f64 {
    let (sign, exp, frac) = (bits >> 15, (bits >> 10) & 31, f64::from(bits & 1023));
    let size = match exp {
        0 => frac * 2f64.powi(-24),
        31 if frac == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        _ => (1.0 + frac / 1024.0) * 2f64.powi(i32::from(exp) - 15),
    };
    if sign == 1 { -size } else { size }
}

fn read(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let first = *take(bytes, at, 1)?.first()?;
    let (major, info) = (first >> 5, first & 31);
    if major == 7 {
        return Some(match info {
            20 => Value::Bool(false),
            21 => Value::Bool(true),
            22 | 23 => Value::Null,
            25 => Value::Float(half(uint(bytes, at, 2)? as u16)),
            26 => Value::Float(f64::from(f32::from_bits(uint(bytes, at, 4)? as u32))),
            27 => Value::Float(f64::from_bits(uint(bytes, at, 8)?)),
            _ => return None,
        });
    }
    if info == 31 {
        // Of indefinite length: it ends with a break.
        let mut items = Vec::new();
        while bytes.get(*at)? != &0xff {
            items.push(read(bytes, at)?);
        }
        *at += 1;
        return match major {
            3 => Some(Value::Text(items.iter().map(Value::text).collect())),
            4 => Some(Value::List(items)),
            5 => Some(Value::Map(
                items.chunks_exact(2).map(|pair| (pair[0].text().to_string(), pair[1].clone())).collect(),
            )),
            _ => None,
        };
    }
    let n = match info {
        0..=23 => u64::from(info),
        24 => uint(bytes, at, 1)?,
        25 => uint(bytes, at, 2)?,
        26 => uint(bytes, at, 4)?,
        27 => uint(bytes, at, 8)?,
        _ => return None,
    };
    Some(match major {
        0 => Value::Int(n.into()),
        1 => Value::Int(-1 - i128::from(n)),
        3 => Value::Text(String::from_utf8(take(bytes, at, n as usize)?.to_vec()).ok()?),
        4 => Value::List((0..n).map(|_| read(bytes, at)).collect::<Option<_>>()?),
        5 => {
            let mut entries = Vec::new();
            for _ in 0..n {
                let Value::Text(key) = read(bytes, at)? else { return None };
                entries.push((key, read(bytes, at)?));
            }
            Value::Map(entries)
        }
        _ => return None,
    })
}
