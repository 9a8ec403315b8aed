//! PostgreSQL types that a member supports, and their text and binary formats.

use bytes::{BufMut, BytesMut};
use rusqlite::types::ValueRef;

use crate::member::{error, log};

/// Format code of the protocol for the text format.
pub const TEXT_FORMAT: i16 = 0;
/// Format code of the protocol for the binary format.
pub const BINARY_FORMAT: i16 = 1;

/// Type of a column or parameter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PgType {
    /// `bool`.
    Bool,
    /// `bytea`.
    Bytea,
    /// `int2`.
    Int2,
    /// `int4`.
    Int4,
    /// `int8`.
    Int8,
    /// `float4`.
    Float4,
    /// `float8`.
    Float8,
    /// `text`.
    Text,
}

impl PgType {
    /// Returns the object ID of the type.
    pub fn oid(self) -> u32 {
        match self {
            PgType::Bool => 16,
            PgType::Bytea => 17,
            PgType::Int8 => 20,
            PgType::Int2 => 21,
            PgType::Int4 => 23,
            PgType::Text => 25,
            PgType::Float4 => 700,
            PgType::Float8 => 701,
        }
    }

    /// Returns the size of the type in bytes, or -1 if it varies.
    pub fn size_bytes(self) -> i16 {
        match self {
            PgType::Bool => 1,
            PgType::Int2 => 2,
            PgType::Int4 | PgType::Float4 => 4,
            PgType::Int8 | PgType::Float8 => 8,
            PgType::Bytea | PgType::Text => -1,
        }
    }

    /// Returns the type with the object ID, or `None` if the member does not support it.
    pub fn from_oid(oid: u32) -> Option<Self> {
        Some(match oid {
            16 => PgType::Bool,
            17 => PgType::Bytea,
            20 => PgType::Int8,
            21 => PgType::Int2,
            23 => PgType::Int4,
            25 | 1042 | 1043 | 19 => PgType::Text,
            700 => PgType::Float4,
            701 => PgType::Float8,
            _ => return None,
        })
    }

    /// Returns the type that a cast names; text if the member does not know the name. As in PostgreSQL, `integer` is
    /// `int4`.
    pub fn from_cast(name: &str) -> Self {
        match name.to_ascii_lowercase().as_str() {
            "int" | "integer" | "int4" => PgType::Int4,
            _ => Self::from_declared(name),
        }
    }

    /// Returns the type of a column from its declaration; text if the member does not know the name. `integer` is
    /// `int8` here: SQLite's INTEGER columns, which also stand for `bigserial`, hold 64 bits.
    pub fn from_declared(name: &str) -> Self {
        let lower = name.to_ascii_lowercase();
        let base = lower.split(['(', ' ']).next().unwrap_or("");
        match base {
            "bool" | "boolean" => PgType::Bool,
            "bytea" | "blob" => PgType::Bytea,
            "smallint" | "int2" => PgType::Int2,
            "int" | "int4" => PgType::Int4,
            "integer" | "bigint" | "int8" | "serial" | "bigserial" => PgType::Int8,
            "float4" => PgType::Float4,
            "real" | "double" | "float8" | "float" | "numeric" | "decimal" => PgType::Float8,
            _ => PgType::Text,
        }
    }

    /// Returns the type of an expression from a value of it; `None` for a null value.
    pub fn from_value(value: ValueRef<'_>) -> Option<Self> {
        match value {
            ValueRef::Null => None,
            ValueRef::Integer(_) => Some(PgType::Int8),
            ValueRef::Real(_) => Some(PgType::Float8),
            ValueRef::Text(_) => Some(PgType::Text),
            ValueRef::Blob(_) => Some(PgType::Bytea),
        }
    }

    /// Returns the name of SQLite's type for a cast.
    pub fn sqlite_name(self) -> &'static str {
        match self {
            PgType::Bool | PgType::Int2 | PgType::Int4 | PgType::Int8 => "INTEGER",
            PgType::Float4 | PgType::Float8 => "REAL",
            PgType::Bytea => "BLOB",
            PgType::Text => "TEXT",
        }
    }
}

/// Decodes a parameter from its wire format.
pub fn decode(
    bytes: Option<&[u8]>,
    kind: PgType,
    format: i16,
) -> Result<log::Value, error::SqlError> {
    let Some(bytes) = bytes else {
        return Ok(log::Value::Null);
    };
    let value = if format == BINARY_FORMAT {
        decode_binary(bytes, kind)
    } else {
        std::str::from_utf8(bytes)
            .ok()
            .and_then(|text| decode_text(text, kind))
    };
    value.ok_or_else(|| {
        let message = format!("invalid input for type {kind:?}");
        error::SqlError::new(error::INVALID_TEXT_REPRESENTATION, message)
    })
}

/// Decodes a value from its text format.
pub fn decode_text(text: &str, kind: PgType) -> Option<log::Value> {
    Some(match kind {
        PgType::Bool => log::Value::Integer(decode_bool(text)?),
        PgType::Int2 | PgType::Int4 | PgType::Int8 => {
            log::Value::Integer(text.trim().parse().ok()?)
        }
        PgType::Float4 | PgType::Float8 => log::Value::Real(text.trim().parse().ok()?),
        PgType::Bytea => log::Value::Blob(decode_hex(text)?),
        PgType::Text => log::Value::Text(text.into()),
    })
}

fn decode_binary(bytes: &[u8], kind: PgType) -> Option<log::Value> {
    Some(match kind {
        PgType::Bool => log::Value::Integer(i64::from(*bytes.first()? != 0)),
        PgType::Int2 => log::Value::Integer(i16::from_be_bytes(bytes.try_into().ok()?).into()),
        PgType::Int4 => log::Value::Integer(i32::from_be_bytes(bytes.try_into().ok()?).into()),
        PgType::Int8 => log::Value::Integer(i64::from_be_bytes(bytes.try_into().ok()?)),
        PgType::Float4 => log::Value::Real(f32::from_be_bytes(bytes.try_into().ok()?).into()),
        PgType::Float8 => log::Value::Real(f64::from_be_bytes(bytes.try_into().ok()?)),
        PgType::Bytea => log::Value::Blob(bytes.to_vec()),
        PgType::Text => log::Value::Text(std::str::from_utf8(bytes).ok()?.into()),
    })
}

fn decode_bool(text: &str) -> Option<i64> {
    match text.trim().to_ascii_lowercase().as_str() {
        "t" | "true" | "on" | "yes" | "1" => Some(1),
        "f" | "false" | "off" | "no" | "0" => Some(0),
        _ => None,
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let Some(digits) = text.strip_prefix("\\x") else {
        return Some(text.as_bytes().to_vec());
    };
    let digits = digits.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

/// Appends a field of a data row: its length, and its value in the requested format.
pub fn encode(value: ValueRef<'_>, kind: PgType, format: i16, out: &mut BytesMut) {
    if let ValueRef::Null = value {
        out.put_i32(NULL_LENGTH);
        return;
    }
    let start = out.len();
    out.put_i32(0);
    if format == BINARY_FORMAT {
        encode_binary(value, kind, out);
    } else {
        encode_text(value, kind, out);
    }
    let length = (out.len() - start - LENGTH_BYTES) as i32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends the text format of a value that is not null.
pub fn encode_text(value: ValueRef<'_>, kind: PgType, out: &mut BytesMut) {
    match (kind, value) {
        (PgType::Bool, _) => out.put_u8(if as_integer(value) != 0 { b't' } else { b'f' }),
        (PgType::Bytea, _) => {
            out.put_slice(b"\\x");
            for byte in as_bytes(value).iter() {
                out.put_slice(format!("{byte:02x}").as_bytes());
            }
        }
        (_, ValueRef::Integer(number)) => out.put_slice(number.to_string().as_bytes()),
        (_, ValueRef::Real(number)) => out.put_slice(number.to_string().as_bytes()),
        (_, ValueRef::Text(bytes) | ValueRef::Blob(bytes)) => out.put_slice(bytes),
        (_, ValueRef::Null) => {}
    }
}

fn encode_binary(value: ValueRef<'_>, kind: PgType, out: &mut BytesMut) {
    match kind {
        PgType::Bool => out.put_u8(u8::from(as_integer(value) != 0)),
        PgType::Int2 => out.put_i16(as_integer(value) as i16),
        PgType::Int4 => out.put_i32(as_integer(value) as i32),
        PgType::Int8 => out.put_i64(as_integer(value)),
        PgType::Float4 => out.put_f32(as_real(value) as f32),
        PgType::Float8 => out.put_f64(as_real(value)),
        PgType::Bytea | PgType::Text => out.put_slice(&as_bytes(value)),
    }
}

fn as_integer(value: ValueRef<'_>) -> i64 {
    match value {
        ValueRef::Integer(number) => number,
        ValueRef::Real(number) => number as i64,
        ValueRef::Text(text) => {
            let text = std::str::from_utf8(text).unwrap_or("");
            text.parse()
                .ok()
                .or_else(|| decode_bool(text))
                .unwrap_or_default()
        }
        ValueRef::Null | ValueRef::Blob(_) => 0,
    }
}

fn as_real(value: ValueRef<'_>) -> f64 {
    match value {
        ValueRef::Integer(number) => number as f64,
        ValueRef::Real(number) => number,
        ValueRef::Text(text) => std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or_default(),
        ValueRef::Null | ValueRef::Blob(_) => 0.0,
    }
}

fn as_bytes(value: ValueRef<'_>) -> std::borrow::Cow<'_, [u8]> {
    match value {
        ValueRef::Text(bytes) | ValueRef::Blob(bytes) => bytes.into(),
        ValueRef::Integer(number) => number.to_string().into_bytes().into(),
        ValueRef::Real(number) => number.to_string().into_bytes().into(),
        ValueRef::Null => Vec::new().into(),
    }
}

const LENGTH_BYTES: usize = 4;
const NULL_LENGTH: i32 = -1;
